package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.routing.WorkKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against answers that are cut off although only their endpoint could go on with them. */
class StalledAttemptTest {
    private val fixture = ForwardingFixture()
    private val stream = WorkKind.EventStream(isResumable = true, gapTargetMs = 250)

    private fun arrive(call: ForwardedCall): EndpointId =
        assertIs<CallCommand.Dispatch>(fixture.arrive(call).single()).endpoint.id

    private fun stall(call: ForwardedCall, attempt: Int = 1): List<CallCommand> =
        fixture.commandsOf(ForwardingInput.AttemptStalled(call.id, attempt))

    private fun replace(call: ForwardedCall, attempt: Int): List<CallCommand> {
        val outcome = AttemptOutcome.Replaced("stream stalled")
        return fixture.commandsOf(ForwardingInput.AttemptEnded(call.id, attempt, outcome))
    }

    /** Guards against a stream that is cut off since the next endpoint does not take over. */
    @Nested
    inner class NoTakeover {
        private val failures = listOf(
            AttemptOutcome.Declined(DeclineReason.FULL),
            AttemptOutcome.NotSent("no connection"),
            AttemptOutcome.Withheld,
            AttemptOutcome.Broken("reset", isConnectionLost = true),
            AttemptOutcome.Answered(isSuccess = false)
        )

        @Test
        fun `the silent endpoint goes on if the other one does not take over`() {
            for (failure in failures) {
                val fixture = ForwardingFixture()
                fixture.listEndpoints(entry("e1"), entry("e2"))
                val call = fixture.call(stream)
                fixture.arrive(call)
                val stalled = ForwardingInput.AttemptStalled(call.id, 1)
                assertIs<CallCommand.TakeOver>(fixture.commandsOf(stalled).single())

                assertTrue(fixture.end(call, failure).isEmpty(), "$failure")
                val answered = AttemptOutcome.Answered(isSuccess = true)
                val end = ForwardingInput.AttemptEnded(call.id, 1, answered)
                assertTrue(fixture.commandsOf(end).isEmpty(), "$failure")
            }
        }

        @Test
        fun `a third endpoint is asked while attempts are left`() {
            fixture.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            val call = fixture.call(stream, maxAttempts = 3)
            arrive(call)
            stall(call)
            fixture.end(call, AttemptOutcome.Declined(DeclineReason.FULL))

            assertEquals(3, assertIs<CallCommand.TakeOver>(stall(call).single()).attempt)
        }

        @Test
        fun `the request ends if both attempts have`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call(stream)
            arrive(call)
            stall(call)
            fixture.end(call, AttemptOutcome.Declined(DeclineReason.FULL))

            assertIs<CallCommand.GiveUp>(replace(call, 1).single())
        }
    }

    @Nested
    inner class OtherEndpoint {
        @Test
        fun `another endpoint takes over from a silent one`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call(stream)
            val first = arrive(call)

            val takeOver = assertIs<CallCommand.TakeOver>(stall(call).single())
            assertTrue(takeOver.endpoint.id != first)
            assertEquals(2, takeOver.attempt)
        }

        @Test
        fun `the slot of a replaced attempt is released and the next one occupied`() {
            fixture.listEndpoints(entry("e1", slots = 1), entry("e2", slots = 1))
            val call = fixture.call(stream)
            val first = arrive(call)
            stall(call)
            assertTrue(fixture.arrive(fixture.call(stream, rank = 1)).isEmpty(), "no slot is free")

            val dispatch = assertIs<CallCommand.Dispatch>(replace(call, 1).single())
            assertEquals(first, dispatch.endpoint.id)
        }

        @Test
        fun `the end of a replaced attempt changes nothing`() {
            fixture.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            val call = fixture.call(stream, maxAttempts = 3)
            arrive(call)
            stall(call)
            val late = ForwardingInput.AttemptEnded(call.id, 1, AttemptOutcome.Broken("reset"))

            assertTrue(fixture.commandsOf(late).isEmpty())
            assertIs<CallCommand.Dispatch>(
                fixture.end(call, AttemptOutcome.Broken("reset")).single()
            )
        }

        @Test
        fun `a stall of a replaced attempt changes nothing`() {
            fixture.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            val call = fixture.call(stream, maxAttempts = 3)
            arrive(call)
            stall(call)

            assertTrue(stall(call).isEmpty())
        }
    }

    /** Guards against a read that starts anew elsewhere although its endpoint would answer. */
    @Nested
    inner class Hedge {
        private fun hedged(vararg entries: EndpointEntry): ForwardedCall {
            fixture.listEndpoints(*entries)
            val call = fixture.call()
            val first = arrive(call)
            val hedge = assertIs<CallCommand.Hedge>(stall(call).single())
            assertTrue(hedge.endpoint.id != first)
            assertEquals(2, hedge.attempt)
            return call
        }

        private fun end(call: ForwardedCall, attempt: Int, outcome: AttemptOutcome) =
            fixture.commandsOf(ForwardingInput.AttemptEnded(call.id, attempt, outcome))

        private fun assertAllFree() {
            repeat(2) { arrive(fixture.call(rank = 1)) }
        }

        @Test
        fun `an idempotent request runs on while another endpoint runs it as well`() {
            hedged(entry("e1"), entry("e2"))
        }

        @Test
        fun `the answer of either attempt releases the slots of both`() {
            for (attempt in 1..2) {
                val call = hedged(entry("e1", slots = 1), entry("e2", slots = 1))
                assertTrue(end(call, attempt, AttemptOutcome.Answered(true)).isEmpty())
                assertAllFree()
                fixture.listEndpoints()
            }
        }

        @Test
        fun `the slots of both attempts are released when the caller leaves`() {
            val call = hedged(entry("e1", slots = 1), entry("e2", slots = 1))
            fixture.send(ForwardingInput.CallClosed(call.id))
            assertAllFree()
        }

        @Test
        fun `a failure of one attempt leaves the other one to answer`() {
            val failures = listOf(
                AttemptOutcome.Broken("reset"),
                AttemptOutcome.Answered(isSuccess = false),
                AttemptOutcome.Declined(DeclineReason.FULL),
                AttemptOutcome.NotSent("no connection")
            )
            for (failure in failures) {
                val call = hedged(entry("e1"), entry("e2"), entry("e3"))
                assertTrue(end(call, 2, failure).isEmpty(), "$failure")
                assertTrue(end(call, 1, AttemptOutcome.Answered(true)).isEmpty(), "$failure")
            }
        }

        @Test
        fun `the request is given up when both attempts failed`() {
            val call = hedged(entry("e1"), entry("e2"))
            assertTrue(end(call, 1, AttemptOutcome.Broken("reset")).isEmpty())
            assertIs<CallCommand.GiveUp>(end(call, 2, AttemptOutcome.Broken("reset")).single())
        }

        @Test
        fun `a request is hedged once`() {
            val call = hedged(entry("e1"), entry("e2"), entry("e3"))
            assertTrue(stall(call, attempt = 1).isEmpty())
            assertTrue(stall(call, attempt = 2).isEmpty())
        }
    }

    @Nested
    inner class NoOtherEndpoint {
        @Test
        fun `a request that runs at most once stays with its endpoint`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call(WorkKind.AtMostOnce)
            arrive(call)

            assertTrue(stall(call).isEmpty())
        }

        @Test
        fun `an attempt goes on while no other endpoint has a free slot`() {
            fixture.listEndpoints(entry("e1", slots = 1), entry("e2", slots = 1))
            val call = fixture.call(stream, rank = 1)
            arrive(call)
            val other = fixture.call(stream, rank = 1)
            arrive(other)

            assertTrue(stall(call).isEmpty())
            fixture.end(other, AttemptOutcome.Answered(isSuccess = true))
            assertIs<CallCommand.TakeOver>(stall(call).single())
        }

        @Test
        fun `an attempt goes on when the retry budget is spent`() {
            fixture.listEndpoints(*Array(40) { entry("e$it", slots = 100) })
            val calls = List(200) { fixture.call(stream) }
            calls.forEach { arrive(it) }
            val (replaced, staying) = calls.partition { stall(it).isNotEmpty() }

            assertEquals(60, replaced.size)
            val answered = AttemptOutcome.Answered(isSuccess = true)
            assertTrue(fixture.end(staying.first(), answered).isEmpty())
        }

        @Test
        fun `an attempt goes on when too little time is left for another one`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call(stream, remainingMs = 100)
            arrive(call)
            fixture.nowMs = 90

            assertTrue(stall(call).isEmpty())
        }
    }
}

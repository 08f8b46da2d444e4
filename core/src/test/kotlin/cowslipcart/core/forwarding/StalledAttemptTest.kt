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

    private fun arrive(call: ForwardedCall): EndpointId =
        assertIs<CallCommand.Dispatch>(fixture.arrive(call).single()).endpoint.id

    private fun stall(call: ForwardedCall, attempt: Int = 1): List<CallCommand> =
        fixture.commandsOf(ForwardingInput.AttemptStalled(call.id, attempt))

    @Nested
    inner class OtherEndpoint {
        @Test
        fun `another endpoint takes over from a silent one`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call()
            val first = arrive(call)

            val dispatch = assertIs<CallCommand.Dispatch>(stall(call).single())
            assertTrue(dispatch.endpoint.id != first)
            assertEquals(2, dispatch.attempt)
        }

        @Test
        fun `the slot of a replaced attempt is released and the next one occupied`() {
            fixture.listEndpoints(entry("e1", slots = 1), entry("e2", slots = 1))
            val call = fixture.call()
            val first = arrive(call)
            stall(call)

            assertEquals(first, arrive(fixture.call(rank = 1)))
        }

        @Test
        fun `the end of a replaced attempt changes nothing`() {
            fixture.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            val call = fixture.call(maxAttempts = 3)
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
            val call = fixture.call(maxAttempts = 3)
            arrive(call)
            stall(call)

            assertTrue(stall(call).isEmpty())
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
            val call = fixture.call(rank = 1)
            arrive(call)
            val other = fixture.call(rank = 1)
            arrive(other)

            assertTrue(stall(call).isEmpty())
            fixture.end(other, AttemptOutcome.Answered(isSuccess = true))
            assertIs<CallCommand.Dispatch>(stall(call).single())
        }

        @Test
        fun `an attempt goes on when the retry budget is spent`() {
            fixture.listEndpoints(*Array(40) { entry("e$it", slots = 100) })
            val calls = List(200) { fixture.call() }
            calls.forEach { arrive(it) }
            val (replaced, staying) = calls.partition { stall(it).isNotEmpty() }

            assertEquals(60, replaced.size)
            val answered = AttemptOutcome.Answered(isSuccess = true)
            assertTrue(fixture.end(staying.first(), answered).isEmpty())
        }

        @Test
        fun `an attempt goes on when too little time is left for another one`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call(remainingMs = 100)
            arrive(call)
            fixture.nowMs = 90

            assertTrue(stall(call).isEmpty())
        }
    }
}

package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.routing.WorkKind
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against slow answers that a second copy would have cut, and against too many copies. */
class HedgingTest {
    private val stream = WorkKind.EventStream(isResumable = true, gapTargetMs = 250)

    private fun fixture(share: Double = 0.2) = ForwardingFixture(hedgeShare = share).apply {
        listEndpoints(entry("e1", slots = 6), entry("e2", slots = 6), entry("e3", slots = 6))
    }

    private fun ForwardingFixture.arriveAt(call: ForwardedCall): EndpointId =
        assertIs<CallCommand.Dispatch>(arrive(call).single()).endpoint.id

    /** Sends [count] requests, each of which is answered [tookMs] after it was sent. */
    private fun ForwardingFixture.serve(
        count: Int,
        tookMs: Long,
        kind: WorkKind = WorkKind.Idempotent
    ) = repeat(count) {
        val call = call(kind)
        arriveAt(call)
        nowMs += tookMs
        send(ForwardingInput.ResponseStarted(call.id, 1))
        end(call, AttemptOutcome.Answered(isSuccess = true))
    }

    private fun ForwardingFixture.tickAfter(waitMs: Long): List<CallCommand> {
        nowMs += waitMs
        return commandsOf(ForwardingInput.Tick)
    }

    @Nested
    inner class SlowRequests {
        @Test
        fun `a copy of a slow request goes to another endpoint`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            val slow = fixture.call()
            val first = fixture.arriveAt(slow)
            assertEquals(emptyList(), fixture.tickAfter(30))
            val copy = assertIs<CallCommand.Hedge>(fixture.tickAfter(20).single())
            assertNotEquals(first, copy.endpoint.id)
            assertEquals(2, copy.attempt)
        }

        @Test
        fun `the first answer ends the request, whichever attempt gave it`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            for (winner in 1..2) {
                fixture.serve(10, tookMs = 20)
                val slow = fixture.call()
                fixture.arriveAt(slow)
                assertEquals(1, fixture.tickAfter(60).size)
                fixture.send(ForwardingInput.ResponseStarted(slow.id, winner))
                val answered = AttemptOutcome.Answered(isSuccess = true)
                val input = ForwardingInput.AttemptEnded(slow.id, winner, answered)
                assertEquals(emptyList(), fixture.commandsOf(input))
                val late = ForwardingInput.AttemptEnded(slow.id, 3 - winner, answered)
                assertEquals(emptyList(), fixture.commandsOf(late))
                assertTrue(fixture.controller.loadReport(fixture.nowMs)!!.loads.isEmpty())
            }
        }

        @Test
        fun `half of the objective is the limit until the times of answers are known`() {
            val fixture = fixture(share = 0.2)
            fixture.serve(5, tookMs = 1)
            val slow = fixture.call()
            fixture.arriveAt(slow)
            assertEquals(emptyList(), fixture.tickAfter(149))
            assertIs<CallCommand.Hedge>(fixture.tickAfter(1).single())
        }

        @Test
        fun `a stream that has not begun moves to another endpoint`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20, kind = stream)
            val slow = fixture.call(stream)
            fixture.arriveAt(slow)
            assertIs<CallCommand.TakeOver>(fixture.tickAfter(60).single())
        }

        @Test
        fun `a tick is due when a request becomes slow`() {
            val fixture = fixture()
            assertEquals(Long.MAX_VALUE, fixture.controller.nextCopyAtMs())
            fixture.arriveAt(fixture.call())
            assertEquals(fixture.nowMs + 150, fixture.controller.nextCopyAtMs())
        }
    }

    @Nested
    inner class NoCopies {
        private fun assertNoCopy(fixture: ForwardingFixture, call: ForwardedCall) {
            fixture.arriveAt(call)
            repeat(20) { assertEquals(emptyList(), fixture.tickAfter(50)) }
        }

        @Test
        fun `none while the setting is 0`() {
            val fixture = fixture(share = 0.0)
            fixture.serve(30, tookMs = 20)
            assertNoCopy(fixture, fixture.call())
            assertEquals(Long.MAX_VALUE, fixture.controller.nextCopyAtMs())
        }

        @Test
        fun `none of a request that may run once`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            assertNoCopy(fixture, fixture.call(WorkKind.AtMostOnce))
        }

        @Test
        fun `none of a stream that can't be resumed`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            assertNoCopy(fixture, fixture.call(WorkKind.EventStream(false, 250)))
        }

        @Test
        fun `none of a stream that has begun`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20, kind = stream)
            val call = fixture.call(stream)
            fixture.arriveAt(call)
            fixture.send(ForwardingInput.ResponseStarted(call.id, 1))
            repeat(20) { assertEquals(emptyList(), fixture.tickAfter(50)) }
        }

        @Test
        fun `none beyond the attempts of the route`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            assertNoCopy(fixture, fixture.call(maxAttempts = 1))
        }

        @Test
        fun `none while most slots of the pool are taken`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            fixture.report(
                "peer",
                1,
                listOf("e1", "e2", "e3").associate {
                    EndpointId(it) to HostLoad(5, 0)
                }
            )
            assertNoCopy(fixture, fixture.call())
        }

        @Test
        fun `none to an endpoint that is draining or wants a pause`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            val slow = fixture.call()
            val first = fixture.arriveAt(slow)
            val others = listOf("e1", "e2", "e3").filter { EndpointId(it) != first }
            fixture.send(ForwardingInput.BackoffRequested(EndpointId(others[0]), 60_000))
            fixture.listEndpoints(
                entry(first.value, 6),
                entry(others[0], 6),
                entry(others[1], 6, isDraining = true)
            )
            repeat(20) { assertEquals(emptyList(), fixture.tickAfter(50)) }
        }

        @Test
        fun `none while the list of endpoints is out of date`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            val slow = fixture.call()
            fixture.arriveAt(slow)
            fixture.send(ForwardingInput.EndpointsKnown(Long.MIN_VALUE / 2, isStoreLost = false))
            repeat(20) { assertEquals(emptyList(), fixture.tickAfter(50)) }
        }
    }

    /** Guards against copies that double the load of a pool at the worst moment. */
    @Nested
    inner class Limits {
        /** Sends requests of which a share is slow; returns how many copies were sent. */
        private fun countCopies(
            fixture: ForwardingFixture,
            requestCount: Int,
            slowShare: Double
        ): Int {
            val random = Random(7)
            var copyCount = 0
            repeat(requestCount) {
                val call = fixture.call()
                fixture.arriveAt(call)
                val isSlow = random.nextDouble() < slowShare
                repeat(if (isSlow) 10 else 1) {
                    copyCount += fixture.tickAfter(20).count { it is CallCommand.Hedge }
                }
                fixture.send(ForwardingInput.ResponseStarted(call.id, 1))
                fixture.commandsOf(
                    ForwardingInput.AttemptEnded(call.id, 1, AttemptOutcome.Answered(true))
                )
            }
            return copyCount
        }

        @Test
        fun `copies stay below the share of the requests, from the start on`() {
            for (share in listOf(0.01, 0.05, 0.2)) {
                val fixture = fixture(share)
                for (sent in 1..20) {
                    val copies = countCopies(fixture, requestCount = 10, slowShare = 0.2)
                    assertTrue(copies <= share * 10 + 1, "share $share, block $sent: $copies")
                }
                val fresh = fixture(share)
                val copies = countCopies(fresh, requestCount = 400, slowShare = 0.2)
                assertTrue(copies <= share * 400, "expected at most ${share * 400}, found $copies")
                assertTrue(copies > 0 || share < 0.02, "expected a copy with share $share")
            }
        }

        @Test
        fun `no storm of copies when all endpoints slow down together`() {
            val fixture = fixture()
            countCopies(fixture, requestCount = 100, slowShare = 0.0)
            val copies = countCopies(fixture, requestCount = 100, slowShare = 1.0)
            assertTrue(copies <= 5, "expected a few copies until the slowdown is known: $copies")
        }
    }
}

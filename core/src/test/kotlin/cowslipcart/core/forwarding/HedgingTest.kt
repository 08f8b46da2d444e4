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
    private fun fixture(share: Double = 0.2) = ForwardingFixture(hedgeShare = share).apply {
        listEndpoints(entry("e1", slots = 6), entry("e2", slots = 6), entry("e3", slots = 6))
    }

    private fun ForwardingFixture.arriveAt(call: ForwardedCall): EndpointId =
        assertIs<CallCommand.Dispatch>(arrive(call).single()).endpoint.id

    /** Sends [count] requests, each of which is answered [tookMs] after it was sent. */
    private fun ForwardingFixture.serve(count: Int, tookMs: Long) = repeat(count) {
        val call = call()
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
        fun `answers of which one in twenty is slow teach the limit from the twentieth on`() {
            val fixture = fixture()
            fixture.serve(19, tookMs = 20)
            assertEquals(150, slowAfterMs(fixture))
            fixture.serve(1, tookMs = 20)
            assertTrue(slowAfterMs(fixture) < 60)
        }

        private fun slowAfterMs(fixture: ForwardingFixture): Long {
            // Drops the due time that an ended request has left.
            fixture.tickAfter(1_000)
            val call = fixture.call()
            fixture.arriveAt(call)
            val dueAtMs = fixture.controller.nextCopyAtMs()
            fixture.send(ForwardingInput.CallClosed(call.id))
            return dueAtMs - call.arrivedAtMs
        }

        @Test
        fun `the time of the attempt that lost is learned too`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            val before = slowAfterMs(fixture)
            repeat(10) {
                val slow = fixture.call()
                fixture.arriveAt(slow)
                while (fixture.tickAfter(20).isEmpty()) Unit
                fixture.nowMs += 200
                fixture.send(ForwardingInput.ResponseStarted(slow.id, 2))
                val answered = AttemptOutcome.Answered(isSuccess = true)
                fixture.send(ForwardingInput.AttemptEnded(slow.id, 2, answered))
                fixture.serve(10, tookMs = 20)
            }
            assertTrue(slowAfterMs(fixture) >= before)
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
        fun `none of a stream, which may not go on at two endpoints`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            for (isResumable in listOf(true, false)) {
                assertNoCopy(fixture, fixture.call(WorkKind.EventStream(isResumable, 250)))
            }
        }

        @Test
        fun `no second one after a copy that was not sent or was declined`() {
            val ends = listOf(
                AttemptOutcome.NotSent("no connection"),
                AttemptOutcome.Withheld,
                AttemptOutcome.Declined(DeclineReason.FULL)
            )
            for (end in ends) {
                val fixture = fixture()
                fixture.serve(30, tookMs = 20)
                val slow = fixture.call(maxAttempts = 3)
                fixture.arriveAt(slow)
                assertIs<CallCommand.Hedge>(fixture.tickAfter(60).single())
                val input = ForwardingInput.AttemptEnded(slow.id, 2, end)
                assertEquals(emptyList(), fixture.commandsOf(input), "$end")
                repeat(20) { assertEquals(emptyList(), fixture.tickAfter(50), "$end") }
            }
        }

        @Test
        fun `the copy goes on if the first attempt fails`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            val slow = fixture.call()
            fixture.arriveAt(slow)
            assertIs<CallCommand.Hedge>(fixture.tickAfter(60).single())
            val broken = AttemptOutcome.Broken("reset", isConnectionLost = true)
            val input = ForwardingInput.AttemptEnded(slow.id, 1, broken)
            assertEquals(emptyList(), fixture.commandsOf(input))
        }

        @Test
        fun `nothing is held after the caller has left with two attempts in flight`() {
            val fixture = fixture()
            fixture.serve(30, tookMs = 20)
            val slow = fixture.call()
            fixture.arriveAt(slow)
            assertIs<CallCommand.Hedge>(fixture.tickAfter(60).single())
            fixture.send(ForwardingInput.CallClosed(slow.id))
            assertTrue(fixture.controller.loadReport(fixture.nowMs)!!.loads.isEmpty())
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
                    // One copy may be saved up from the block before.
                    assertTrue(copies <= share * 10 + 1, "share $share, block $sent: $copies")
                }
                val fresh = fixture(share)
                val copies = countCopies(fresh, requestCount = 400, slowShare = 0.2)
                assertTrue(copies <= share * 400, "expected at most ${share * 400}, found $copies")
                assertTrue(copies > 0 || share < 0.02, "expected a copy with share $share")
            }
        }

        @Test
        fun `the copies of several hosts together stay below the share of their requests`() {
            val share = 0.05
            val fixtures = List(20) { fixture(share) }
            val copies = fixtures.sumOf { countCopies(it, requestCount = 15, slowShare = 0.3) }
            assertTrue(copies <= share * 20 * 15, "found $copies")
        }

        @Test
        fun `requests over a limit earn no copies`() {
            val fixture = fixture(share = 0.2)
            fixture.setLimit(ratePerS = 1.0)
            repeat(50) { fixture.arrive(fixture.call(tokens = 1_000)) }
            fixture.setLimit(ratePerS = 1_000_000.0, revision = 2)
            fixture.nowMs += 10_000
            val slow = fixture.call()
            fixture.arriveAt(slow)
            repeat(20) { assertEquals(emptyList(), fixture.tickAfter(50)) }
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

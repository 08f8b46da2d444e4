package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.routing.WorkKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Tests what an endpoint says of itself in its answers: that it leaves, or wants no requests. */
class EndpointNoticesTest {
    private val fixture = ForwardingFixture()

    private fun dispatchedTo(commands: List<CallCommand>): EndpointId =
        assertIs<CallCommand.Dispatch>(commands.single()).endpoint.id

    private fun arrive(): List<CallCommand> = fixture.arrive(fixture.call(WorkKind.AtMostOnce))

    /** Guards against new requests for an endpoint that leaves, while the store says otherwise. */
    @Nested
    inner class Leaving {
        private val first = entry("e1").copy(startedAtMs = 1_000)
        private val second = entry("e2", slots = 100)

        private fun leave(startedAtMs: Long = 1_000) {
            val endpoint = LeavingEndpoint(first.id, startedAtMs)
            fixture.send(ForwardingInput.EndpointLeaving(endpoint))
        }

        private fun assertUnused(count: Int = 10) =
            repeat(count) { assertEquals(second.id, dispatchedTo(arrive())) }

        private fun assertUsed() {
            val used = List(10) { dispatchedTo(arrive()) }
            assertTrue(first.id in used, "$used")
        }

        @Test
        fun `it gets nothing new from the moment of its answer`() {
            fixture.listEndpoints(first, second)
            leave()
            assertUnused()
        }

        @Test
        fun `it gets nothing new when the list changes, or its entry lapses and returns`() {
            fixture.listEndpoints(first, second)
            leave()
            fixture.listEndpoints(first, second, entry("e3", slots = 0))
            fixture.listEndpoints(second)
            fixture.listEndpoints(first, second)
            assertUnused()
        }

        @Test
        fun `it gets nothing new when its entry is listed after its answer`() {
            fixture.listEndpoints(second)
            leave()
            fixture.listEndpoints(first, second)
            assertUnused()
        }

        @Test
        fun `an older report of another host does not bring it back`() {
            fixture.listEndpoints(first, second)
            leave()
            fixture.report("host-2", 1, mapOf(first.id to HostLoad(1, 0)))
            assertUnused()
        }

        @Test
        fun `a new start of it gets requests`() {
            fixture.listEndpoints(first, second)
            leave()
            fixture.listEndpoints(first.copy(startedAtMs = 2_000), second)
            assertUsed()
        }

        @Test
        fun `the leave of an earlier start does not concern a later one`() {
            fixture.listEndpoints(first.copy(startedAtMs = 2_000), second)
            leave(startedAtMs = 1_000)
            assertUsed()
        }

        @Test
        fun `a waiting request is not sent to it`() {
            fixture.listEndpoints(entry("e1", slots = 1).copy(startedAtMs = 1_000))
            val running = fixture.call(rank = 1)
            fixture.arrive(running)
            fixture.arrive(fixture.call(rank = 1))
            val commands = fixture.commandsOf(
                ForwardingInput.EndpointLeaving(LeavingEndpoint(first.id, 1_000))
            )
            assertIs<CallCommand.Refuse>(commands.single())
        }

        @Test
        fun `the other hosts are told, and take no longer part in its load`() {
            fixture.listEndpoints(first, second)
            leave()
            val report = assertNotNull(fixture.controller.loadReport(fixture.nowMs))
            val other = ForwardingFixture()
            other.listEndpoints(first, second)
            other.send(ForwardingInput.PeersReported(listOf(report.copy(host = HostId("host-2")))))
            repeat(10) {
                val call = other.call(WorkKind.AtMostOnce)
                assertEquals(second.id, dispatchedTo(other.arrive(call)))
            }
        }

        @Test
        fun `the other hosts are told as long as the store lists it as ready`() {
            fixture.listEndpoints(first, second)
            leave()
            fixture.nowMs = 60_000
            val told = assertNotNull(fixture.controller.loadReport(fixture.nowMs))
            assertEquals(listOf(LeavingEndpoint(first.id, 1_000)), told.leavingEndpoints)

            fixture.listEndpoints(first.copy(isDraining = true), second)
            fixture.nowMs = 70_000
            val later = assertNotNull(fixture.controller.loadReport(fixture.nowMs))
            assertTrue(later.leavingEndpoints.isEmpty())
        }
    }

    /** Guards against requests that keep an overloaded endpoint from recovering. */
    @Nested
    inner class Backoff {
        private fun backOff(id: String, durationMs: Long) =
            fixture.send(ForwardingInput.BackoffRequested(EndpointId(id), durationMs))

        @Test
        fun `the endpoint gets nothing until the end of its time`() {
            fixture.listEndpoints(entry("e1", slots = 100), entry("e2", slots = 100))
            backOff("e1", 3_000)
            for (nowMs in 0L until 3_000 step 100) {
                fixture.nowMs = nowMs
                assertEquals(EndpointId("e2"), dispatchedTo(arrive()))
            }
            fixture.nowMs = 3_000 + SPREAD_MS
            val used = List(10) { dispatchedTo(arrive()) }
            assertTrue(EndpointId("e1") in used, "$used")
        }

        @Test
        fun `a shorter wish does not end a longer one`() {
            fixture.listEndpoints(entry("e1", slots = 100), entry("e2", slots = 100))
            backOff("e1", 3_000)
            backOff("e1", 100)
            fixture.nowMs = 2_900
            assertEquals(EndpointId("e2"), dispatchedTo(arrive()))
        }

        /** Entries lapse while the store is away, and return with it. */
        @Test
        fun `an entry that lapses and returns does not end it`() {
            fixture.listEndpoints(entry("e1", slots = 100), entry("e2", slots = 100))
            backOff("e1", 3_000)
            fixture.listEndpoints(entry("e2", slots = 100))
            fixture.listEndpoints(entry("e1", slots = 100), entry("e2", slots = 100))
            for (nowMs in 0L until 3_000 step 100) {
                fixture.nowMs = nowMs
                assertEquals(EndpointId("e2"), dispatchedTo(arrive()))
            }
        }

        @Test
        fun `a wish of an endpoint whose entry has lapsed holds when it returns`() {
            fixture.listEndpoints(entry("e2", slots = 100))
            backOff("e1", 3_000)
            fixture.listEndpoints(entry("e1", slots = 100), entry("e2", slots = 100))
            repeat(10) { assertEquals(EndpointId("e2"), dispatchedTo(arrive())) }
        }

        /** An endpoint that has started anew knows nothing of what it said before. */
        @Test
        fun `a new start ends it`() {
            val first = entry("e1", slots = 100).copy(startedAtMs = 1_000)
            fixture.listEndpoints(first)
            backOff("e1", 3_000)
            fixture.listEndpoints()
            fixture.listEndpoints(first.copy(startedAtMs = 2_000))
            assertEquals(EndpointId("e1"), dispatchedTo(arrive()))
        }

        @Test
        fun `endpoints that all back off for long refuse at once, with a time to return`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            backOff("e1", 2_000)
            backOff("e2", 2_500)
            val refusal = assertIs<CallCommand.Refuse>(arrive().single())
            assertEquals(RefusalReason.OVERLOADED, refusal.reason)
            val afterMs = assertNotNull(refusal.retryAfterMs)
            assertTrue(afterMs >= 2_000, "$afterMs")
        }

        @Test
        fun `a request waits for an endpoint whose time ends soon`() {
            fixture.listEndpoints(entry("e1"))
            backOff("e1", 40)
            assertTrue(arrive().isEmpty())
            fixture.nowMs = 60
            assertEquals(
                EndpointId("e1"),
                dispatchedTo(fixture.commandsOf(ForwardingInput.Tick))
            )
        }

        @Test
        fun `its slots do not count as free`() {
            fixture.listEndpoints(entry("e1", slots = 90), entry("e2", slots = 10))
            backOff("e1", 5_000)
            repeat(9) { dispatchedTo(arrive()) }
            val low = fixture.call(rank = 1, tokens = 6_000, output = 500)
            assertTrue(fixture.arrive(low).isEmpty(), "expected the reserve to hold")
        }

        /** Guards against a stampede: hosts that were refused together return together. */
        @Test
        fun `the hosts return one after another`() {
            val returnsMs = (1..20).map { seed ->
                val host = ForwardingFixture(seed = seed)
                host.listEndpoints(entry("e1"))
                host.send(ForwardingInput.BackoffRequested(EndpointId("e1"), 2_000))
                (2_000L..2_000 + SPREAD_MS step 10).first { nowMs ->
                    host.nowMs = nowMs
                    host.arrive(host.call()).any { it is CallCommand.Dispatch }
                }
            }
            assertTrue(returnsMs.toSet().size >= 10, "$returnsMs")
        }

        @Test
        fun `an endless wish is bounded`() {
            fixture.listEndpoints(entry("e1"))
            backOff("e1", Long.MAX_VALUE)
            fixture.nowMs = 600_000 + SPREAD_MS
            assertEquals(EndpointId("e1"), dispatchedTo(arrive()))
        }
    }

    private companion object {
        /** Time over which the returns of the hosts are spread, in ms. */
        const val SPREAD_MS = 300L
    }
}

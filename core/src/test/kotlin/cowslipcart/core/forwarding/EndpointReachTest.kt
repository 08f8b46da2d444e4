package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class EndpointReachTest {
    private val reach = EndpointReach(HostId("self"))
    private val others = setOf(HostId("h1"), HostId("h2"), HostId("h3"))
    private val entries = (1..8).map {
        EndpointEntry(EndpointId("e$it"), PoolId("pool"), "127.0.0.1", it, "a", 4, false)
    }

    private fun fail(number: Int, nowMs: Long) =
        reach.onUnreachable(EndpointId("e$number"), entries.size, nowMs)

    /** Four endpoints fail, and so do the probes of others. */
    private fun lose(nowMs: Long) {
        (1..4).forEach { fail(it, nowMs) }
        for (probed in reach.takeProbes(entries, nowMs)) {
            reach.onUnreachable(probed.id, entries.size, nowMs)
        }
    }

    @Nested
    inner class Detection {
        /** Guards against detours around single endpoints that have crashed. */
        @Test
        fun `an endpoint that fails again and again is no partition`() {
            repeat(10) { fail(1, it * 100L) }
            assertNull(reach.relay(others, 1_000))
        }

        /** Guards against hosts that all take the crash of some endpoints for a partition. */
        @Test
        fun `endpoints that crash at once are no partition if a probe of others connects`() {
            (1..3).forEach { fail(it, 0) }
            val probed = reach.takeProbes(entries, 0).map { it.id.value }
            assertEquals(emptySet(), probed.toSet() intersect setOf("e1", "e2", "e3"))
            reach.onConnected()
            fail(4, 10)
            assertNull(reach.relay(others, 10))
        }

        /** Guards against hosts that send by relays since some of many endpoints have crashed. */
        @Test
        fun `half of the endpoints that crash at once are no partition if any other connects`() {
            (1..4).forEach { fail(it, 0) }
            assertNull(reach.relay(others, 0))
            val probed = reach.takeProbes(entries, 0).map { it.id.value.drop(1).toInt() }
            assertEquals(setOf(5, 6, 7, 8), probed.toSet())
            probed.dropLast(1).forEach { fail(it, 2) }
            assertNull(reach.relay(others, 2))
            reach.onConnected()
            (1..4).forEach { fail(it, 4) }
            assertNull(reach.relay(others, 4))
        }

        @Test
        fun `endpoints that fail at once are a partition if probes of others fail too`() {
            lose(0)
            assertNotNull(reach.relay(others, 0))
        }

        /** Guards against requests that wait for a probe which nobody reports on. */
        @Test
        fun `endpoints that fail again after probes without a result are probed again`() {
            (1..4).forEach { fail(it, 0) }
            reach.takeProbes(entries, 0)
            (1..4).forEach { fail(it, 600) }
            val probed = reach.takeProbes(entries, 600)
            probed.forEach { reach.onUnreachable(it.id, entries.size, 950) }
            assertNotNull(reach.relay(others, 950))
        }

        @Test
        fun `all of three endpoints that fail at once are a partition`() {
            (1..3).forEach { reach.onUnreachable(EndpointId("e$it"), 3, 0) }
            assertNotNull(reach.relay(others, 0))
        }

        @Test
        fun `a connection between two failures shows that there is no partition`() {
            (1..3).forEach { fail(it, 0) }
            reach.onConnected()
            fail(4, 10)
            assertNull(reach.relay(others, 10))
        }

        @Test
        fun `failures that lie seconds apart are no partition`() {
            (1..4).forEach { fail(it, it * 1_000L) }
            assertNull(reach.relay(others, 5_000))
        }

        /** Guards against requests that hang on open connections until new ones are needed. */
        @Test
        fun `a silent endpoint has several endpoints probed`() {
            assertEquals(emptyList(), reach.takeProbes(entries, 0))
            reach.onSilent()
            assertEquals(4, reach.takeProbes(entries, 0).size)
        }
    }

    @Nested
    inner class Recovery {
        @Test
        fun `a probe that connects ends the detour`() {
            lose(0)
            assertEquals(1, reach.takeProbes(entries, 1_000).size)
            assertTrue(reach.onConnected())
            assertNull(reach.relay(others, 1_100))
        }

        @Test
        fun `probes are sent twice a second at most`() {
            lose(0)
            val count = (20L..5_000 step 20).sumOf { reach.takeProbes(entries, it).size }
            assertEquals(10, count)
        }
    }

    @Nested
    inner class Relays {
        /** Guards against requests that go to a relay which has lost the endpoints as well. */
        @Test
        fun `a relay that fails is left out for a while`() {
            lose(0)
            val first = assertNotNull(reach.relay(others, 0))
            reach.onRelayFailed(first, 0)
            assertTrue(reach.relay(others, 100) in others - first)
            assertEquals(first, reach.relay(others, 5_000))
        }

        /** Guards against direct connections, which are lost, while all relays have failed. */
        @Test
        fun `the relay that failed first is asked again if all have failed`() {
            lose(0)
            val failed = List(others.size) { index ->
                assertNotNull(reach.relay(others, index.toLong()))
                    .also { reach.onRelayFailed(it, index.toLong()) }
            }
            assertEquals(failed.first(), reach.relay(others, 100))
        }

        @Test
        fun `without a live host connections are made directly`() {
            lose(0)
            assertNull(reach.relay(emptySet(), 0))
        }
    }
}

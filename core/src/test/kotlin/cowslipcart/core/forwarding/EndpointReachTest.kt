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
    private val entries = (1..3).map {
        EndpointEntry(EndpointId("e$it"), PoolId("pool"), "127.0.0.1", it, "a", 4, false)
    }

    private fun lose(nowMs: Long) {
        reach.onUnreachable(EndpointId("e1"), nowMs)
        reach.onUnreachable(EndpointId("e2"), nowMs)
    }

    @Nested
    inner class Detection {
        /** Guards against detours around single endpoints that have crashed. */
        @Test
        fun `an endpoint that fails again and again is no partition`() {
            repeat(10) { reach.onUnreachable(EndpointId("e1"), it * 100L) }
            assertNull(reach.relay(others, 1_000))
        }

        @Test
        fun `two endpoints that fail at once are a partition`() {
            lose(0)
            assertNotNull(reach.relay(others, 0))
        }

        @Test
        fun `a connection between two failures shows that there is no partition`() {
            reach.onUnreachable(EndpointId("e1"), 0)
            reach.onConnected()
            reach.onUnreachable(EndpointId("e2"), 10)
            assertNull(reach.relay(others, 10))
        }

        @Test
        fun `failures that lie seconds apart are no partition`() {
            reach.onUnreachable(EndpointId("e1"), 0)
            reach.onUnreachable(EndpointId("e2"), 5_000)
            assertNull(reach.relay(others, 5_000))
        }

        /** Guards against requests that hang on open connections until new ones are needed. */
        @Test
        fun `a silent endpoint has two endpoints probed`() {
            assertEquals(emptyList(), reach.takeProbes(entries, 0))
            reach.onSilent()
            assertEquals(2, reach.takeProbes(entries, 0).size)
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
            val count = (0L until 5_000 step 20).sumOf { reach.takeProbes(entries, it).size }
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

        @Test
        fun `without a live host connections are made directly`() {
            lose(0)
            assertNull(reach.relay(emptySet(), 0))
        }
    }
}

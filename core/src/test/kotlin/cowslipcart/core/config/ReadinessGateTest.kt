package cowslipcart.core.config

import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against a host that takes requests with an older configuration than its peers have. */
class ReadinessGateTest {
    private val self = HostId("h0")
    private val peer = HostId("h1")
    private val gate = createReadinessGate(self)

    @Test
    fun `is not ready before it knows anything`() = assertFalse(gate.isReady)

    @Nested
    inner class WithLog {
        init {
            gate.onLogEnd(LogOffset(3))
        }

        @Test
        fun `waits for the host list`() {
            gate.onOwnOffset(LogOffset(3))
            assertFalse(gate.isReady)
        }

        @Test
        fun `waits for its own replay`() {
            gate.onListedPeers(setOf(self))
            assertFalse(gate.isReady)
            gate.onOwnOffset(LogOffset(3))
            assertTrue(gate.isReady)
        }

        @Test
        fun `waits for peers that have neither answered nor stayed silent`() {
            gate.onOwnOffset(LogOffset(3))
            gate.onListedPeers(setOf(peer))
            assertEquals(1, gate.describeMissing().size)
            gate.onPeerSilent(peer)
            assertTrue(gate.isReady)
        }

        @Test
        fun `waits until it is as new as a peer that read a later end`() {
            gate.onOwnOffset(LogOffset(3))
            gate.onPeerOffset(peer, LogOffset(4), isPeerReady = true)
            gate.onListedPeers(setOf(peer))
            assertFalse(gate.isReady)
            gate.onOwnOffset(LogOffset(4))
            assertTrue(gate.isReady)
        }

        @Test
        fun `needs no host list while it cannot be read`() {
            gate.onOwnOffset(LogOffset(3))
            gate.onListedPeers(null)
            assertTrue(gate.isReady)
        }
    }

    @Nested
    inner class WithoutLog {
        init {
            gate.onLogFailure()
            gate.onListedPeers(setOf(self, peer, HostId("h2")))
            gate.onPeerOffset(peer, LogOffset(4), isPeerReady = true)
            gate.onOwnOffset(LogOffset(4))
        }

        @Test
        fun `needs an answer of every listed peer`() {
            gate.onPeerSilent(HostId("h2"))
            assertFalse(gate.isReady)
            gate.onPeerOffset(HostId("h2"), LogOffset(4), isPeerReady = false)
            assertTrue(gate.isReady)
        }

        @Test
        fun `needs a ready peer`() {
            gate.onPeerOffset(peer, LogOffset(4), isPeerReady = false)
            gate.onPeerOffset(HostId("h2"), LogOffset(0), isPeerReady = false)
            assertFalse(gate.isReady)
        }

        @Test
        fun `needs the host list`() {
            gate.onListedPeers(null)
            assertFalse(gate.isReady)
        }

        @Test
        fun `stays behind a log end that it saw before the outage`() {
            gate.onLogEnd(LogOffset(9))
            gate.onLogFailure()
            gate.onPeerOffset(HostId("h2"), LogOffset(4), isPeerReady = true)
            assertFalse(gate.isReady)
        }
    }

    @Test
    fun `stays ready`() {
        gate.onListedPeers(emptySet())
        gate.onLogEnd(LogOffset(0))
        gate.onLogFailure()
        gate.onPeerOffset(peer, LogOffset(9), isPeerReady = true)
        assertTrue(gate.isReady)
    }
}

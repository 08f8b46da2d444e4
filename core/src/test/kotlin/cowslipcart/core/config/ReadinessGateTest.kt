package cowslipcart.core.config

import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against a host that becomes ready with an older configuration than its peers have. */
class ReadinessGateTest {
    private val self = HostId("h0")
    private val peer = HostId("h1")
    private val gate = createReadinessGate(self)

    @Test
    fun `is not ready before it knows anything`() = assertFalse(gate.isReady)

    @Nested
    inner class AfterOwnLogRead {
        init {
            gate.onLogEnd(LogOffset(3))
        }

        @Test
        fun `waits for the host list`() {
            gate.onAppliedOffset(LogOffset(3))
            assertFalse(gate.isReady)
        }

        @Test
        fun `waits for its own replay`() {
            gate.onListedPeers(setOf(self))
            assertFalse(gate.isReady)
            gate.onAppliedOffset(LogOffset(3))
            assertTrue(gate.isReady)
        }

        @Test
        fun `waits for peers that have neither answered nor stayed silent`() {
            gate.onAppliedOffset(LogOffset(3))
            gate.onListedPeers(setOf(peer))
            assertEquals(1, gate.describeMissing().size)
            gate.onPeerSilent(peer)
            assertTrue(gate.isReady)
        }

        @Test
        fun `waits until it has applied the offset of a peer that is ahead`() {
            gate.onAppliedOffset(LogOffset(3))
            gate.onPeerOffset(peer, LogOffset(4), isLogEnd = false)
            gate.onListedPeers(setOf(peer))
            assertFalse(gate.isReady)
            gate.onAppliedOffset(LogOffset(4))
            assertTrue(gate.isReady)
        }

        @Test
        fun `needs no host list while it cannot be read`() {
            gate.onAppliedOffset(LogOffset(3))
            gate.onListedPeers(null)
            assertTrue(gate.isReady)
        }
    }

    /** Guards against an outdated preset when only a dead host has served with the latest one. */
    @Nested
    inner class LogUnavailable {
        init {
            gate.onListedPeers(setOf(self, peer, HostId("h2")))
            gate.onPeerOffset(peer, LogOffset(4), isLogEnd = false)
            gate.onAppliedOffset(LogOffset(4))
        }

        @Test
        fun `is not ready though every listed peer has answered`() {
            gate.onPeerOffset(HostId("h2"), LogOffset(4), isLogEnd = false)
            assertFalse(gate.isReady)
            assertEquals(1, gate.describeMissing().size)
        }

        @Test
        fun `is not ready without peers or host list`() {
            gate.onListedPeers(emptySet())
            gate.onListedPeers(null)
            assertFalse(gate.isReady)
        }

        @Test
        fun `is ready when a peer has read to the end of the log and the others have answered`() {
            gate.onPeerOffset(peer, LogOffset(4), isLogEnd = true)
            assertFalse(gate.isReady)
            gate.onPeerOffset(HostId("h2"), LogOffset(4), isLogEnd = false)
            assertTrue(gate.isReady)
        }

        @Test
        fun `waits for the state of the peer that has read to the end`() {
            gate.onPeerSilent(HostId("h2"))
            gate.onPeerOffset(peer, LogOffset(5), isLogEnd = true)
            assertFalse(gate.isReady)
            gate.onAppliedOffset(LogOffset(5))
            assertTrue(gate.isReady)
        }

        @Test
        fun `is not ready below a log end that it read before the outage`() {
            gate.onLogEnd(LogOffset(9))
            gate.onPeerOffset(HostId("h2"), LogOffset(4), isLogEnd = true)
            assertFalse(gate.isReady)
        }
    }

    @Test
    fun `stays ready`() {
        gate.onListedPeers(emptySet())
        gate.onLogEnd(LogOffset(0))
        gate.onPeerOffset(peer, LogOffset(9), isLogEnd = false)
        assertTrue(gate.isReady)
    }
}

package cowslipcart.core.node

import cowslipcart.core.config.ConfigState
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

/** Guards against fetches that never end, that come without need or that fill the memory. */
class ConfigTransferTest {
    private val outbox = Outbox(HostId("a")) { "127.0.0.1:2" }
    private val fetchId = ConfigFetchId(3)
    private val transfer = ConfigTransfer(outbox) { fetchId }
    private val peer = HostId("b")
    private val own = LogOffset(1)
    private val reply =
        PeerMessage.ConfigReply(fetchId, ConfigState(LogOffset(9), Configuration.EMPTY), null)

    @Nested
    inner class ReadableLog {
        @Test
        fun `the log has a second to deliver what a peer has`() {
            transfer.onPeerAhead(peer, own, isLogReadable = true, nowMs = 0)
            transfer.onPeerAhead(peer, own, isLogReadable = true, nowMs = 999)
            assertEquals(emptyList(), sent())

            transfer.onPeerAhead(peer, own, isLogReadable = true, nowMs = 1_000)
            assertEquals(listOf(peer to PeerMessage.ConfigFetch(fetchId)), sent())
        }

        @Test
        fun `a log that delivers is left the time again`() {
            transfer.onPeerAhead(peer, own, isLogReadable = true, nowMs = 0)
            transfer.onPeerAhead(peer, own.next(), isLogReadable = true, nowMs = 1_000)

            assertEquals(emptyList(), sent())
        }
    }

    @Nested
    inner class Limits {
        @Test
        fun `a silent peer is given up and another one asked`() {
            transfer.onPeerAhead(peer, own, isLogReadable = false, nowMs = 0)
            (1L..4L).forEach { transfer.tick(it * 500) }
            transfer.onPeerAhead(HostId("c"), own, isLogReadable = false, nowMs = 2_000)

            assertEquals(listOf(peer, peer, peer, peer, HostId("c")), sent().map { it.first })
        }

        @Test
        fun `a state of too many parts is not taken`() {
            transfer.onPeerAhead(peer, own, isLogReadable = false, nowMs = 0)
            sent()
            val part = PeerMessage.ConfigPart(reply, 1, 0, partCount = 513, declarationCount = 0)

            assertNull(transfer.onPart(peer, part, own, nowMs = 1))
            assertEquals(emptyList(), sent())
        }

        @Test
        fun `a transfer ends when the log was faster`() {
            transfer.onPeerAhead(peer, own, isLogReadable = false, nowMs = 0)
            sent()
            val part = PeerMessage.ConfigPart(reply, 1, 0, partCount = 2, declarationCount = 0)

            assertNull(transfer.onPart(peer, part, LogOffset(9), nowMs = 1))
            assertEquals(emptyList(), sent())
        }
    }

    private fun sent(): List<Pair<HostId, PeerMessage>> =
        outbox.drain().filterIsInstance<NodeEffect.SendPeer>().map { it.to to it.message }
}

package cowslipcart.core.host

import cowslipcart.core.config.ConfigState
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

/** Guards against fetches that never end, that are not needed or that exhaust the memory. */
class ConfigFetcherTest {
    private val outbox = Outbox(HostId("a")) { "127.0.0.1:2" }
    private val fetchId = ConfigFetchId(3)
    private val fetcher = ConfigFetcher(outbox) { fetchId }
    private val peer = HostId("b")
    private val ownOffset = LogOffset(1)
    private val reply =
        PeerMessage.ConfigReply(fetchId, ConfigState(LogOffset(9), Configuration.EMPTY), null)

    @Nested
    inner class ReadableLog {
        @Test
        fun `a peer is asked only after the log had a second to deliver its state`() {
            fetcher.onPeerAhead(peer, ownOffset, isLogReadable = true, nowMs = 0)
            fetcher.onPeerAhead(peer, ownOffset, isLogReadable = true, nowMs = 999)
            assertEquals(emptyList(), takeSent())

            fetcher.onPeerAhead(peer, ownOffset, isLogReadable = true, nowMs = 1_000)
            assertEquals(listOf(peer to PeerMessage.ConfigFetch(fetchId)), takeSent())
        }

        @Test
        fun `a log that makes progress gets another second`() {
            fetcher.onPeerAhead(peer, ownOffset, isLogReadable = true, nowMs = 0)
            fetcher.onPeerAhead(peer, ownOffset.next(), isLogReadable = true, nowMs = 1_000)

            assertEquals(emptyList(), takeSent())
        }
    }

    @Nested
    inner class Limits {
        @Test
        fun `a silent peer is abandoned and another one asked`() {
            fetcher.onPeerAhead(peer, ownOffset, isLogReadable = false, nowMs = 0)
            (1L..4L).forEach { fetcher.tick(it * 500) }
            fetcher.onPeerAhead(HostId("c"), ownOffset, isLogReadable = false, nowMs = 2_000)

            assertEquals(listOf(peer, peer, peer, peer, HostId("c")), takeSent().map { it.first })
        }

        @Test
        fun `a state of too many parts is rejected`() {
            fetcher.onPeerAhead(peer, ownOffset, isLogReadable = false, nowMs = 0)
            takeSent()
            val part = PeerMessage.ConfigPart(reply, 1, 0, partCount = 513, declarationCount = 0)

            assertNull(fetcher.onPart(peer, part, ownOffset, nowMs = 1))
            assertEquals(emptyList(), takeSent())
        }

        @Test
        fun `a transfer ends when the log delivers the state first`() {
            fetcher.onPeerAhead(peer, ownOffset, isLogReadable = false, nowMs = 0)
            takeSent()
            val part = PeerMessage.ConfigPart(reply, 1, 0, partCount = 2, declarationCount = 0)

            assertNull(fetcher.onPart(peer, part, LogOffset(9), nowMs = 1))
            assertEquals(emptyList(), takeSent())
        }
    }

    private fun takeSent(): List<Pair<HostId, PeerMessage>> =
        outbox.takeEffects().filterIsInstance<HostEffect.SendPeer>().map { it.to to it.message }
}

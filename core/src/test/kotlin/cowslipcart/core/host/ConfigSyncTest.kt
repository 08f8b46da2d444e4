package cowslipcart.core.host

import cowslipcart.core.config.ConfigRecord
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

/** Guards against a host that claims to have read to the end of the log but has not. */
class ConfigSyncTest {
    private val peer = HostId("b")
    private val outbox = Outbox(HostId("a")) { "127.0.0.1:1" }
    private val sync = ConfigSync(HostId("a"), Random(1), outbox).also { it.onInput(nowMs = 0) }

    private fun takeSentMessages() =
        outbox.takeEffects().filterIsInstance<HostEffect.SendPeer>().map { it.message }

    private fun read(endOffset: Long, sentAtMs: Long) {
        val records = listOf(ConfigRecord(LogOffset(0), 0, entry = null))
        sync.onRead(
            HostInput.ConfigRead(records, LogOffset(0), LogOffset(endOffset), sentAtMs)
        )
        outbox.takeEffects()
    }

    @Nested
    inner class Reply {
        private fun logReadAgeMs(nowMs: Long): Long? {
            sync.onFetch(peer, PeerMessage.ConfigFetch(ConfigFetchId(1)), nowMs)
            return (takeSentMessages().single() as PeerMessage.ConfigReply).logReadAgeMs
        }

        @Test
        fun `tells the time since the start of the last read that reached the end`() {
            read(endOffset = 1, sentAtMs = 100)
            sync.onReadFailed()
            assertEquals(900, logReadAgeMs(nowMs = 1_000))
        }

        @Test
        fun `ignores a read that did not reach the end`() {
            read(endOffset = 2, sentAtMs = 100)
            assertNull(logReadAgeMs(nowMs = 1_000))
        }
    }

    /** Guards against hosts that keep sending each other their whole state during a log outage. */
    @Nested
    inner class Confirmation {
        private fun onPing(isLogReadable: Boolean, nowMs: Long): Int {
            val status = ConfigStatus(LogOffset(0), isReady = true, isLogReadable)
            sync.onPeerStatus(peer, status, nowMs)
            return takeSentMessages().size
        }

        @Test
        fun `is fetched once a second from a peer that reads the log, and from no other`() {
            val counts = listOf(
                onPing(isLogReadable = false, nowMs = 1_000),
                onPing(isLogReadable = true, nowMs = 1_000),
                onPing(isLogReadable = true, nowMs = 1_999),
                onPing(isLogReadable = true, nowMs = 2_000)
            )
            assertEquals(listOf(0, 1, 0, 1), counts)
        }

        @Test
        fun `is not fetched once the end of the log is known`() {
            read(endOffset = 1, sentAtMs = 100)
            assertEquals(0, onPing(isLogReadable = true, nowMs = 1_000))
        }
    }
}

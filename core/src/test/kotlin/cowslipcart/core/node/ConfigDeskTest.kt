package cowslipcart.core.node

import cowslipcart.core.config.ConfigRecord
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

/** Guards against a host that vouches for an end of the log that it has not reached. */
class ConfigDeskTest {
    private val peer = HostId("b")
    private val outbox = Outbox(HostId("a")) { "127.0.0.1:1" }
    private val desk = ConfigDesk(HostId("a"), Random(1), outbox).also { it.onInput(nowMs = 0) }

    private fun sentMessages() =
        outbox.drain().filterIsInstance<NodeEffect.SendPeer>().map { it.message }

    private fun read(endOffset: Long, beganAtMs: Long) {
        val records = listOf(ConfigRecord(LogOffset(0), 0, entry = null))
        desk.onRead(
            NodeInput.ConfigRead(records, LogOffset(0), LogOffset(endOffset), beganAtMs)
        )
        outbox.drain()
    }

    @Nested
    inner class Reply {
        private fun logReadAgeMs(nowMs: Long): Long? {
            desk.onFetch(peer, PeerMessage.ConfigFetch(ConfigFetchId(1)), nowMs)
            return (sentMessages().single() as PeerMessage.ConfigReply).logReadAgeMs
        }

        @Test
        fun `tells the time since the start of the last read that reached the end`() {
            read(endOffset = 1, beganAtMs = 100)
            desk.onReadFailed()
            assertEquals(900, logReadAgeMs(nowMs = 1_000))
        }

        @Test
        fun `does not count a read that left records behind`() {
            read(endOffset = 2, beganAtMs = 100)
            assertNull(logReadAgeMs(nowMs = 1_000))
        }
    }

    /** Guards against hosts that send each other their whole state all through an outage. */
    @Nested
    inner class Confirmation {
        private fun onPing(isLogReadable: Boolean, nowMs: Long): Int {
            val status = PeerStatus(LogOffset(0), isReady = true, isLogReadable)
            desk.onPeerStatus(peer, status, nowMs)
            return sentMessages().size
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
            read(endOffset = 1, beganAtMs = 100)
            assertEquals(0, onPing(isLogReadable = true, nowMs = 1_000))
        }
    }
}

package cowslipcart.wire.peer

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.membership.HostState
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.origin.requestIdOf
import cowslipcart.wire.WireError
import java.util.HexFormat
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Nested

/** Guards against fields lost in version 2 and against frames that an older host cannot read. */
class PeerProtocolTest {
    private val from = PeerSamples.from
    private val to = HostId("host-2")
    private val request = PeerMessage.PingRequest(HostId("b"))
    private val shard = ShardId(PoolId("p"), 2)

    @Nested
    inner class VersionTwo {
        @Test
        fun `each message survives a round trip`() {
            for (message in PeerSamples.messages) {
                val decoded = decode(encode(message)).getOrNull()

                assertEquals(message, decoded?.message)
                assertEquals(from, decoded?.from)
            }
        }

        @Test
        fun `request and grant ids in any form survive a round trip`() {
            val own = requestIdOf(ProcessId(to, IncarnationId(Long.MIN_VALUE)), Long.MAX_VALUE)
            val foreign = requestIdOf(ProcessId(from, IncarnationId(0)), 0)
            val requests = listOf(own, foreign, RequestId("$to~0~00"), RequestId("\u00e4~"))
            val grants =
                listOf("ffffffffffffffff-1", "0-0", "00-1", "-", "a-${Long.MAX_VALUE}", "")
            for (request in requests) {
                for (grant in grants) {
                    val message = PeerMessage
                        .CapacityGranted(shard, request, GrantId(grant), EndpointId("e"), 1)
                    assertEquals(message, decode(encode(message)).getOrNull()?.message)
                }
            }
        }

        @Test
        fun `addresses survive a round trip`() {
            for (address in listOf("10.0.1.2:65535", "010.0.1.2:1", "[::1]:80", "h:1", "")) {
                assertEquals(address, CompactIds.decodeAddress(CompactIds.encodeAddress(address)))
            }
        }

        @Test
        fun `uuids and hashes survive a round trip`() {
            val uuid = "01a2400c-0001-7962-8632-000000000001"
            for (text in listOf(uuid, uuid.uppercase(), "1-1-1-1-1", "")) {
                assertEquals(text, CompactIds.decodeUuid(CompactIds.encodeUuid(text)))
            }
            for (text in listOf("000000000000000f", "f", "F00000000000000f", "-000000000000001")) {
                assertEquals(text, CompactIds.decodeHash(CompactIds.encodeHash(text)))
            }
        }

        @Test
        fun `each end of a grant and state of a host has a number`() {
            for (end in GrantEnd.entries) {
                val report = GrantReport(GrantId("g"), end, 1, 2, 3, null, 5)
                val message = PeerMessage.CapacityReleased(shard, report)
                assertEquals(message, decode(encode(message)).getOrNull()?.message)
            }
            val ping = assertIs<PeerMessage.Ping>(PeerSamples.messages.first())
            for (state in HostState.entries) {
                val message = ping.copy(content = ping.content.copy(state = state))
                assertEquals(message, decode(encode(message)).getOrNull()?.message)
            }
        }

        @Test
        fun `truncated and changed frames are errors or other messages and no exceptions`() {
            val random = Random(SEED)
            for (message in PeerSamples.messages) {
                val frame = encode(message)
                for (length in 0 until frame.size) {
                    assertTrue(decode(frame.copyOf(length)).isLeft())
                }
                repeat(200) {
                    val changed = frame.copyOf()
                    changed[random.nextInt(frame.size)] = random.nextInt().toByte()
                    decode(changed)
                }
            }
        }
    }

    @Nested
    inner class Rollout {
        @Test
        fun `a host that has named no version gets frames of version 1`() {
            val frame = PeerProtocol.encode(from, to, request, version = 1)

            assertEquals(request, EnvelopePeerCodec.decode(frame).getOrNull()?.message)
        }

        @Test
        fun `a frame of version 1 names the newest version of its sender`() {
            val frame = EnvelopePeerCodec.encode(from, request)

            assertEquals(PeerProtocol.NEWEST_VERSION, decode(frame).getOrNull()?.newestVersion)
        }

        @Test
        fun `a frame of a host that knows version 1 only is read`() {
            // {"v": 1, "f": "a", "m": bytes of ["ping-request", {"t": "b"}]}, as version 1 wrote
            // it.
            val hex = "a361760161666161616d53826c70696e672d72657175657374a161746162"

            val decoded = decode(HexFormat.of().parseHex(hex)).getOrNull()

            assertEquals(request, decoded?.message)
            assertEquals(PeerProtocol.FIRST_VERSION, decoded?.newestVersion)
        }

        @Test
        fun `a host that knows version 1 only reads a frame of version 1`() {
            val frame = EnvelopePeerCodec.encode(from, request)
            val found = peerCbor.decodeFromByteArray(VersionOneEnvelope.serializer(), frame)

            assertEquals(1, found.version)
            assertEquals(from.value, found.from)
            val body = peerCbor.decodeFromByteArray(PeerMessageDocument.serializer(), found.body)
            assertEquals("b", assertIs<PingRequestDocument>(body).target)
        }

        @Test
        fun `a later version and an unknown message are named in the error`() {
            assertEquals(
                WireError.UnknownVersion(PeerProtocol.NEWEST_VERSION, 3),
                decode(byteArrayOf(3, 0)).leftOrNull()
            )
            assertIs<WireError.UnknownMessage>(decode(byteArrayOf(2, 23, 0)).leftOrNull())
        }
    }

    /**
     * Guards against a renamed class, property or constant that changes what hosts of another
     * version read. The bytes are of commit 491c89c.
     */
    @Nested
    inner class RecordedBytes {
        @Test
        fun `recorded frames of version 1 are what is read and written today`() {
            assertRecorded(version = 1)
        }

        @Test
        fun `recorded frames of version 2 are what is read and written today`() {
            assertRecorded(version = 2)
        }

        private fun assertRecorded(version: Int) {
            val name = "/recorded/frames-version-$version.hex"
            val lines = checkNotNull(javaClass.getResource(name)).readText().lines()
            val frames = lines.filter { it.isNotEmpty() }

            assertEquals(PeerSamples.messages.size, frames.size)
            for ((hex, message) in frames.zip(PeerSamples.messages)) {
                val decoded = decode(HexFormat.of().parseHex(hex)).getOrNull()
                val encoded = PeerProtocol.encode(from, to, message, version)

                assertEquals(message, decoded?.message)
                assertEquals(from, decoded?.from)
                assertEquals(hex, HexFormat.of().formatHex(encoded), "$message")
            }
        }
    }

    /** The envelope as defined by hosts that know version 1 only. */
    @Serializable
    private class VersionOneEnvelope(
        @SerialName("v") val version: Int,
        @SerialName("f") val from: String,
        @SerialName("m") val body: ByteArray
    )

    private fun encode(message: PeerMessage) = PeerProtocol.encode(from, to, message, version = 2)

    private fun decode(frame: ByteArray) = PeerProtocol.decode(frame, from, to)

    private companion object {
        const val SEED = 20_261_204
    }
}

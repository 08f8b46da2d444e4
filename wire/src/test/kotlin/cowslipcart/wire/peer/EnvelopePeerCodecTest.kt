package cowslipcart.wire.peer

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.capacity.RunningGrant
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RecordedAnswer
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.config.ConfigState
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.membership.HostState
import cowslipcart.core.membership.PingContent
import cowslipcart.core.membership.Rumor
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import cowslipcart.core.origin.KeyStatus
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.core.origin.StoredAnswer
import cowslipcart.core.quarantine.CrashReport
import cowslipcart.wire.WireError
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against fields that are lost on the wire and against frames that crash the decoder. */
class EnvelopePeerCodecTest {
    private val from = PeerSamples.from
    private val configReply = PeerSamples.configReply
    private val messages = PeerSamples.messages

    @Nested
    inner class RoundTrip {
        @Test
        fun `each message survives a round trip`() {
            for (message in messages) {
                val decoded = EnvelopePeerCodec.decode(
                    EnvelopePeerCodec.encode(from, message)
                ).getOrNull()

                assertEquals(message, decoded?.message)
                assertEquals(from, decoded?.from)
            }
        }

        @Test
        fun `the samples have each type of message`() {
            val types = concreteTypesOf(PeerMessage::class.java)

            assertEquals(types, messages.mapTo(mutableSetOf()) { it.javaClass })
        }
    }

    @Nested
    inner class BadFrames {
        @Test
        fun `a truncated frame is an error and not an exception`() {
            for (message in messages) {
                val frame = EnvelopePeerCodec.encode(from, message)
                for (length in 0 until frame.size) {
                    assertTrue(EnvelopePeerCodec.decode(frame.copyOf(length)).isLeft())
                }
            }
        }

        @Test
        fun `random bytes are an error and not an exception`() {
            val random = Random(SEED)
            repeat(RANDOM_FRAMES) {
                val frame = random.nextBytes(random.nextInt(64))
                assertTrue(EnvelopePeerCodec.decode(frame).isLeft(), "seed $SEED, frame $it")
            }
        }

        @Test
        fun `a changed byte is an error or another message and not an exception`() {
            val random = Random(SEED)
            for (message in messages) {
                val frame = EnvelopePeerCodec.encode(from, message)
                repeat(200) {
                    val changed = frame.copyOf()
                    changed[random.nextInt(frame.size)] = random.nextInt().toByte()
                    EnvelopePeerCodec.decode(changed)
                }
            }
        }

        @Test
        fun `a part whose bytes were changed is an error`() {
            val part = PeerMessage.ConfigPart(configReply, -3, 0, 1, 0)
            val frame = EnvelopePeerCodec.encode(from, part).decodeToLatin1()
            // Changes the offset of the state, 9 after its field name "o", to 8.
            val changed = frame.replace("ao\u0009", "ao\u0008")

            assertTrue(changed != frame)
            assertTrue(EnvelopePeerCodec.decode(changed.toByteArray(Charsets.ISO_8859_1)).isLeft())
        }

        @Test
        fun `an error report is not a message`() {
            val frame = EnvelopePeerCodec.encodeError(from, WireError.Malformed("x"))

            assertEquals(null, EnvelopePeerCodec.decode(frame).getOrNull()?.message)
            assertIs<HostId>(EnvelopePeerCodec.decode(frame).getOrNull()?.from)
        }
    }

    private fun ByteArray.decodeToLatin1() = String(this, Charsets.ISO_8859_1)

    /** Concrete classes of a sealed type, including those of nested sealed types. */
    private fun concreteTypesOf(type: Class<*>): Set<Class<*>> =
        type.permittedSubclasses?.flatMapTo(mutableSetOf()) { concreteTypesOf(it) } ?: setOf(type)

    private companion object {
        const val SEED = 20_261_204
        const val RANDOM_FRAMES = 5_000
    }
}

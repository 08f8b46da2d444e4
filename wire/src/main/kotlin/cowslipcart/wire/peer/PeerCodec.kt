package cowslipcart.wire.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.model.HostId
import cowslipcart.core.node.PeerMessage
import cowslipcart.wire.WireError
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Version 1 of the frames between hosts: each holds one envelope. */
@OptIn(ExperimentalSerializationApi::class)
public object PeerCodec {
    /** Version of the messages. */
    public const val VERSION: Int = 1

    /** Largest frame that is sent or accepted. */
    public const val MAX_FRAME_BYTES: Int = 1024 * 1024

    @Serializable
    private class Envelope(
        @SerialName("v") val version: Int,
        @SerialName("f") val from: String,
        @SerialName("m") val body: ByteArray,
        // Ignored by hosts that know version 1 only.
        @SerialName("n") val newestVersion: Int = VERSION
    )

    /** Encodes [message] of host [from]. */
    public fun encode(from: HostId, message: PeerMessage): ByteArray =
        encodeDocument(from, message.toDocument())

    /** Encodes an error reply. */
    public fun encodeError(from: HostId, error: WireError): ByteArray =
        encodeDocument(from, ErrorMessage(error.message))

    /**
     * Decodes a frame. The message is null if the peer only reports an error of this host. The body
     * is decoded after the version has been checked, so that a newer peer gets a clear error.
     */
    public fun decode(frame: ByteArray): Either<WireError, PeerFrame> {
        val envelope = try {
            peerCbor.decodeFromByteArray<Envelope>(frame)
        } catch (e: SerializationException) {
            return malformed(e).left()
        } catch (e: IllegalArgumentException) {
            return malformed(e).left()
        }
        if (envelope.version != VERSION) {
            return WireError.UnknownVersion(VERSION, envelope.version).left()
        }
        return decodeBody(envelope)
    }

    private fun decodeBody(envelope: Envelope): Either<WireError, PeerFrame> = try {
        val document = peerCbor.decodeFromByteArray<PeerMessageDocument>(envelope.body)
        PeerFrame(HostId(envelope.from), document.toMessage(), envelope.newestVersion).right()
    } catch (e: SerializationException) {
        malformed(e).left()
    } catch (e: IllegalArgumentException) {
        malformed(e).left()
    } catch (e: IndexOutOfBoundsException) {
        // Truncated CBOR surfaces as this exception from the decoder.
        malformed(e).left()
    }

    private fun encodeDocument(from: HostId, document: PeerMessageDocument): ByteArray =
        peerCbor.encodeToByteArray(
            Envelope(
                VERSION,
                from.value,
                peerCbor.encodeToByteArray(document),
                PeerProtocol.NEWEST_VERSION
            )
        )

    private fun malformed(e: Exception) =
        WireError.Malformed("expected a CBOR envelope with a known message, found: ${e.message}")
}

/**
 * A decoded frame.
 *
 * @property message null for an error report of the peer
 * @property newestVersion newest version that the sender understands, as far as the frame tells
 */
public class PeerFrame(
    public val from: HostId,
    public val message: PeerMessage?,
    public val newestVersion: Int
)

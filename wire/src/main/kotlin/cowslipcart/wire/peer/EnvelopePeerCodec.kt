package cowslipcart.wire.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.model.HostId
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
public object EnvelopePeerCodec {
    /** Version in the envelope; a frame of any other version is not decoded. */
    public const val VERSION: Int = 1

    /** Size of the largest frame that is sent or accepted, in bytes. */
    public const val MAX_FRAME_BYTES: Int = 1024 * 1024

    @Serializable
    private class Envelope(
        @SerialName("v") val version: Int,
        @SerialName("f") val from: String,
        @SerialName("m") val body: ByteArray,
        // Hosts that know version 1 only ignore this field.
        @SerialName("n") val newestVersion: Int = VERSION
    )

    /** Encodes [message] of host [from]. */
    public fun encode(from: HostId, message: PeerMessage): ByteArray =
        encodeDocument(from, message.toDocument())

    /** Encodes a reply of host [from] to a frame that it could not decode. */
    public fun encodeError(from: HostId, error: WireError): ByteArray =
        encodeDocument(from, ErrorDocument(error.message))

    /**
     * Decodes a frame. The message is null if the peer reports that it could not decode a frame of
     * this host. The version is checked before the body is decoded, so that a frame of another
     * version gives [WireError.UnknownVersion].
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
        // The CBOR decoder throws this for truncated input.
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
 * @property message null if the peer reports an error
 * @property newestVersion newest version that the sender is known to understand from this frame
 */
public class PeerFrame(
    public val from: HostId,
    public val message: PeerMessage?,
    public val newestVersion: Int
)

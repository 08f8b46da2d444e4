package cowslipcart.wire.peer

import arrow.core.Either
import arrow.core.left
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.model.HostId
import cowslipcart.wire.WireError

/**
 * Encodes and decodes the frames between hosts in all versions. Every host understands version 1,
 * and its frames name the newest version of their sender: a host sends a later version only to
 * hosts that have named it.
 */
public object PeerProtocol {
    /** Newest version that this host understands. */
    public const val NEWEST_VERSION: Int = CompactPeerCodec.VERSION

    /** Version for a host that has not named its newest one. */
    public const val FIRST_VERSION: Int = EnvelopePeerCodec.VERSION

    /** Encodes [message] of [from] to [to] in the newest version up to [version]. */
    public fun encode(from: HostId, to: HostId, message: PeerMessage, version: Int): ByteArray =
        if (version >= CompactPeerCodec.VERSION) {
            CompactPeerCodec.encode(from, to, message)
        } else {
            EnvelopePeerCodec.encode(from, message)
        }

    /** Decodes a frame that the authenticated host [sender] sent to [receiver]. */
    public fun decode(
        frame: ByteArray,
        sender: HostId,
        receiver: HostId
    ): Either<WireError, PeerFrame> {
        if (frame.isEmpty()) return WireError.Malformed("expected a frame, found 0 bytes").left()
        val first = frame[0].toInt()
        // A frame of version 1 begins with a CBOR map, a later one with its version.
        return when {
            first !in 0 until CompactPeerCodec.SMALL_INT_LIMIT -> EnvelopePeerCodec.decode(frame)
            first == CompactPeerCodec.VERSION -> CompactPeerCodec.decode(frame, sender, receiver)
            else -> WireError.UnknownVersion(NEWEST_VERSION, first).left()
        }
    }
}

package cowslipcart.wire.peer

import arrow.core.Either
import arrow.core.left
import cowslipcart.core.model.HostId
import cowslipcart.core.node.PeerMessage
import cowslipcart.wire.WireError

/**
 * Frames between hosts in all versions. Version 1 is understood by every host. A frame of version 1
 * names the newest version of its sender, so that a host sends later versions only to those that
 * understand them.
 */
public object PeerProtocol {
    /** Newest version that this host understands. */
    public const val NEWEST_VERSION: Int = CompactPeerCodec.VERSION

    /** Version for a host that has not named its newest one. */
    public const val FIRST_VERSION: Int = PeerCodec.VERSION

    /** Encodes [message] of [from] to [to] in the newest version up to [version]. */
    public fun encode(from: HostId, to: HostId, message: PeerMessage, version: Int): ByteArray =
        if (version >= CompactPeerCodec.VERSION) {
            CompactPeerCodec.encode(from, to, message)
        } else {
            PeerCodec.encode(from, message)
        }

    /** Decodes a frame that the authenticated host [sender] sent to [receiver]. */
    public fun decode(
        frame: ByteArray,
        sender: HostId,
        receiver: HostId
    ): Either<WireError, PeerFrame> {
        if (frame.isEmpty()) return WireError.Malformed("expected a frame, found 0 bytes").left()
        val first = frame[0].toInt()
        // A frame of version 1 begins with a map, one of a later version with its number.
        return when {
            first !in 0 until CompactPeerCodec.MAX_SMALL_INT -> PeerCodec.decode(frame)
            first == CompactPeerCodec.VERSION -> CompactPeerCodec.decode(frame, sender, receiver)
            else -> WireError.UnknownVersion(NEWEST_VERSION, first).left()
        }
    }
}

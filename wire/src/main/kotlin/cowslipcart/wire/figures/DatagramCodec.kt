package cowslipcart.wire.figures

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.forwarding.HostFigures
import cowslipcart.core.store.StoreNews
import cowslipcart.wire.WireError
import kotlinx.serialization.SerializationException

/** What hosts send each other in one datagram. */
public sealed interface PeerDatagram {
    /** Figures of one host; [isLeaving] if they are its last ones. */
    public data class Figures(public val figures: HostFigures, public val isLeaving: Boolean) :
        PeerDatagram

    /** What a host of the group read of the store. */
    public data class News(public val news: StoreNews) : PeerDatagram
}

/** Layout of a datagram: its kind in one byte, then a CBOR document. */
public object DatagramCodec {
    private const val FIGURES: Byte = 1
    private const val NEWS: Byte = 2

    /** Encodes [datagram]. */
    public fun encode(datagram: PeerDatagram): ByteArray = when (datagram) {
        is PeerDatagram.Figures ->
            byteArrayOf(FIGURES) + FigureCodec.encode(datagram.figures, datagram.isLeaving)

        is PeerDatagram.News -> byteArrayOf(NEWS) + NewsCodec.encode(datagram.news)
    }

    /** Decodes a datagram. */
    public fun decode(bytes: ByteArray): Either<WireError, PeerDatagram> {
        val kind = bytes.firstOrNull() ?: return malformed("nothing")
        val document = bytes.copyOfRange(1, bytes.size)
        return try {
            when (kind) {
                FIGURES -> FigureCodec.decode(document)
                NEWS -> PeerDatagram.News(NewsCodec.decode(document)).right()
                else -> malformed("kind $kind")
            }
        } catch (e: SerializationException) {
            malformed("${e.message}")
        } catch (e: IllegalArgumentException) {
            malformed("${e.message}")
        } catch (e: IndexOutOfBoundsException) {
            // The CBOR library reports an array with surplus elements like this.
            malformed("${e.message}")
        }
    }

    private fun malformed(found: String): Either<WireError, PeerDatagram> =
        WireError.Malformed("expected a message of a host, found $found").left()
}

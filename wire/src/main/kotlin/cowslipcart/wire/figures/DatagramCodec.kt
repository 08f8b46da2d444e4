package cowslipcart.wire.figures

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.forwarding.HostFigures
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.store.StoreNews
import cowslipcart.wire.WireError
import kotlinx.serialization.SerializationException

/** What hosts send each other in one datagram. */
public sealed interface PeerDatagram {
    /** Figures of one host; [isLeaving] if they are its last ones. */
    public data class Figures(public val figures: HostFigures, public val isLeaving: Boolean) :
        PeerDatagram

    /** Figures of several hosts, passed on by a relay. */
    public data class Bundle(public val figures: List<RelayedFigures>) : PeerDatagram

    /** What a host of the group read of the store. */
    public data class News(public val news: StoreNews) : PeerDatagram
}

/** The datagram in which a host sent its figures, with what tells whether they are new. */
public class RelayedFigures(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val sequence: Long,
    public val datagram: ByteArray
)

/** Layout of a datagram: its kind in one byte, then a CBOR document. */
public object DatagramCodec {
    private const val FIGURES: Byte = 1
    private const val NEWS: Byte = 2
    private const val BUNDLE: Byte = 3

    /** Encodes [datagram]. */
    public fun encode(datagram: PeerDatagram): ByteArray = when (datagram) {
        is PeerDatagram.Figures ->
            byteArrayOf(FIGURES) + FigureCodec.encode(datagram.figures, datagram.isLeaving)

        is PeerDatagram.Bundle -> byteArrayOf(BUNDLE) + BundleCodec.encode(datagram)

        is PeerDatagram.News -> byteArrayOf(NEWS) + NewsCodec.encode(datagram.news)
    }

    /** Decodes a datagram. */
    public fun decode(bytes: ByteArray): Either<WireError, PeerDatagram> {
        val kind = bytes.firstOrNull() ?: return malformed("nothing")
        val document = bytes.copyOfRange(1, bytes.size)
        return try {
            when (kind) {
                FIGURES -> FigureCodec.decode(document)
                BUNDLE -> BundleCodec.decode(document).right()
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

    /** Prepares [figures], encoded as [datagram], to be passed on. */
    public fun toRelayed(figures: PeerDatagram.Figures, datagram: ByteArray): RelayedFigures =
        RelayedFigures(
            figures.figures.host,
            figures.figures.incarnation,
            figures.figures.sequence,
            datagram
        )

    private fun malformed(found: String): Either<WireError, PeerDatagram> =
        WireError.Malformed("expected a message of a host, found $found").left()
}

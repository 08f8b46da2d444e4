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

/** Content of one datagram between hosts. */
public sealed interface PeerDatagram {
    /** Load report of one host; [isLeaving] if the host shuts down and sends no more. */
    public data class Figures(public val figures: HostFigures, public val isLeaving: Boolean) :
        PeerDatagram

    /** Load reports of several hosts, forwarded by a relay. */
    public data class Bundle(public val figures: List<RelayedFigures>) : PeerDatagram

    /** Changes that a host of the group read from the store. */
    public data class News(public val news: StoreNews) : PeerDatagram
}

/**
 * A load report as its host encoded it, with the fields by which a relay drops duplicates and
 * outdated reports without decoding it.
 *
 * @property datagram encoded [PeerDatagram.Figures]
 */
public class RelayedFigures(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val sequence: Long,
    public val datagram: ByteArray
)

/** Encodes datagrams between hosts: one byte for the kind, then a CBOR document. */
public object DatagramCodec {
    // The kinds are part of the protocol.
    private const val LOAD_REPORT: Byte = 1
    private const val STORE_UPDATE: Byte = 2
    private const val BUNDLE: Byte = 3

    /** Encodes [datagram]. */
    public fun encode(datagram: PeerDatagram): ByteArray = when (datagram) {
        is PeerDatagram.Figures ->
            byteArrayOf(LOAD_REPORT) + LoadReportCodec.encode(datagram.figures, datagram.isLeaving)

        is PeerDatagram.Bundle -> byteArrayOf(BUNDLE) + BundleCodec.encode(datagram)

        is PeerDatagram.News -> byteArrayOf(STORE_UPDATE) + StoreUpdateCodec.encode(datagram.news)
    }

    /** Decodes a datagram; malformed bytes give an error. */
    public fun decode(bytes: ByteArray): Either<WireError, PeerDatagram> {
        val kind = bytes.firstOrNull() ?: return malformed("no bytes")
        val body = bytes.copyOfRange(1, bytes.size)
        return try {
            when (kind) {
                LOAD_REPORT -> LoadReportCodec.decode(body)
                BUNDLE -> BundleCodec.decode(body).right()
                STORE_UPDATE -> PeerDatagram.News(StoreUpdateCodec.decode(body)).right()
                else -> malformed("kind $kind")
            }
        } catch (e: SerializationException) {
            malformed("${e.message}")
        } catch (e: IllegalArgumentException) {
            malformed("${e.message}")
        } catch (e: IndexOutOfBoundsException) {
            // The CBOR decoder throws this for an array with surplus elements.
            malformed("${e.message}")
        }
    }

    /** Wraps a load report and its encoded form [datagram] for forwarding by a relay. */
    public fun toRelayed(figures: PeerDatagram.Figures, datagram: ByteArray): RelayedFigures =
        RelayedFigures(
            figures.figures.host,
            figures.figures.incarnation,
            figures.figures.sequence,
            datagram
        )

    private fun malformed(found: String): Either<WireError, PeerDatagram> =
        WireError.Malformed("expected a datagram of a known kind, found $found").left()
}

package cowslipcart.wire.datagram

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.forwarding.HostLoadReport
import cowslipcart.core.forwarding.StreamKey
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.VersionId
import cowslipcart.core.rollout.RolloutNotice
import cowslipcart.core.store.StoreUpdate
import cowslipcart.wire.WireError
import kotlinx.serialization.SerializationException

/** Content of one datagram between hosts. */
public sealed interface PeerDatagram {
    /** Load report of one host; [isLeaving] if the host shuts down and sends no more. */
    public data class LoadReport(public val report: HostLoadReport, public val isLeaving: Boolean) :
        PeerDatagram

    /** Load reports of several hosts, forwarded by a relay. */
    public data class Bundle(public val reports: List<RelayedReport>) : PeerDatagram

    /** What a host knows of an unfinished roll-out. */
    public data class Rollout(public val notice: RolloutNotice) : PeerDatagram

    /** Versions of the endpoints that began streams. */
    public data class StreamsTold(public val versions: Map<StreamKey, VersionId>) : PeerDatagram

    /** [host] asks which version began [stream]. */
    public data class StreamAsked(public val host: HostId, public val stream: StreamKey) :
        PeerDatagram

    /**
     * [host] can't connect to [endpoints].
     *
     * @property isRelayed whether a host of another group has forwarded this to its own
     */
    public data class EndpointsLost(
        public val host: HostId,
        public val endpoints: Set<EndpointId>,
        public val isRelayed: Boolean
    ) : PeerDatagram

    /** Changes that a host of the group read from the store. */
    public data class Update(public val update: StoreUpdate) : PeerDatagram
}

/**
 * A load report as its host encoded it, with the fields by which a relay drops duplicates and
 * outdated reports without decoding it.
 *
 * @property encoded the [PeerDatagram.LoadReport] in bytes
 */
public class RelayedReport(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val sequence: Long,
    public val encoded: ByteArray
)

/** Encodes datagrams between hosts: one byte for the kind, then a CBOR document. */
public object DatagramCodec {
    // The kinds are part of the protocol.
    private const val LOAD_REPORT: Byte = 1
    private const val STORE_UPDATE: Byte = 2
    private const val BUNDLE: Byte = 3
    private const val ROLLOUT: Byte = 7
    private const val STREAMS_TOLD: Byte = 8
    private const val STREAM_ASKED: Byte = 9
    private const val ENDPOINTS_LOST: Byte = 10

    /** Encodes [datagram]. */
    public fun encode(datagram: PeerDatagram): ByteArray = when (datagram) {
        is PeerDatagram.LoadReport ->
            byteArrayOf(LOAD_REPORT) + LoadReportCodec.encode(datagram.report, datagram.isLeaving)

        is PeerDatagram.Bundle -> byteArrayOf(BUNDLE) + BundleCodec.encode(datagram)

        is PeerDatagram.Rollout ->
            byteArrayOf(ROLLOUT) + RolloutNoticeCodec.encode(datagram.notice)

        is PeerDatagram.StreamsTold ->
            byteArrayOf(STREAMS_TOLD) + StreamCodec.encodeTold(datagram.versions)

        is PeerDatagram.StreamAsked ->
            byteArrayOf(STREAM_ASKED) + StreamCodec.encodeAsked(datagram)

        is PeerDatagram.EndpointsLost ->
            byteArrayOf(ENDPOINTS_LOST) + EndpointsLostCodec.encode(datagram)

        is PeerDatagram.Update -> byteArrayOf(STORE_UPDATE) +
            StoreUpdateCodec.encode(datagram.update)
    }

    /** Decodes a datagram; malformed bytes give an error. */
    public fun decode(bytes: ByteArray): Either<WireError, PeerDatagram> {
        val kind = bytes.firstOrNull() ?: return malformed("no bytes")
        val body = bytes.copyOfRange(1, bytes.size)
        return try {
            when (kind) {
                LOAD_REPORT -> LoadReportCodec.decode(body)
                BUNDLE -> BundleCodec.decode(body).right()
                STORE_UPDATE -> PeerDatagram.Update(StoreUpdateCodec.decode(body)).right()
                ROLLOUT -> PeerDatagram.Rollout(RolloutNoticeCodec.decode(body)).right()
                STREAMS_TOLD -> PeerDatagram.StreamsTold(StreamCodec.decodeTold(body)).right()
                STREAM_ASKED -> StreamCodec.decodeAsked(body).right()
                ENDPOINTS_LOST -> EndpointsLostCodec.decode(body).right()
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

    /** Wraps a load report and its encoded form [encoded] for forwarding by a relay. */
    public fun toRelayed(report: PeerDatagram.LoadReport, encoded: ByteArray): RelayedReport =
        RelayedReport(
            report.report.host,
            report.report.incarnation,
            report.report.sequence,
            encoded
        )

    private fun malformed(found: String): Either<WireError, PeerDatagram> =
        WireError.Malformed("expected a datagram of a known kind, found $found").left()
}

@file:OptIn(ExperimentalSerializationApi::class)

package cowslipcart.wire.datagram

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.wire.peer.peerCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/**
 * Encodes the load reports that a relay forwards as CBOR. [decode] throws a
 * [SerializationException] for malformed bytes.
 */
internal object BundleCodec {
    fun encode(bundle: PeerDatagram.Bundle): ByteArray = peerCbor.encodeToByteArray(
        BundleDocument.serializer(),
        BundleDocument(
            bundle.reports.map {
                RelayedReportDocument(it.host.value, it.incarnation.value, it.sequence, it.encoded)
            }
        )
    )

    fun decode(bytes: ByteArray): PeerDatagram.Bundle = PeerDatagram.Bundle(
        peerCbor.decodeFromByteArray(BundleDocument.serializer(), bytes).figures.map {
            RelayedReport(
                HostId(it.host),
                IncarnationId(it.incarnation),
                it.sequence,
                it.datagram
            )
        }
    )
}

@Serializable
@CborArray
private class BundleDocument(val figures: List<RelayedReportDocument>)

@Serializable
@CborArray
private class RelayedReportDocument(
    val host: String,
    val incarnation: Long,
    val sequence: Long,
    @ByteString val datagram: ByteArray
)

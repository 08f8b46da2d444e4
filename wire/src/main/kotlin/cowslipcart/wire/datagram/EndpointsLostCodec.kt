@file:OptIn(ExperimentalSerializationApi::class)

package cowslipcart.wire.datagram

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.wire.peer.peerCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.CborArray

/**
 * Encodes which endpoints a host can't connect to as CBOR. Decoding throws a
 * [SerializationException] for malformed bytes.
 */
internal object EndpointsLostCodec {
    fun encode(lost: PeerDatagram.EndpointsLost): ByteArray = peerCbor.encodeToByteArray(
        EndpointsLostDocument.serializer(),
        EndpointsLostDocument(lost.host.value, lost.endpoints.map { it.value }, lost.isRelayed)
    )

    fun decode(bytes: ByteArray): PeerDatagram.EndpointsLost {
        val document = peerCbor.decodeFromByteArray(EndpointsLostDocument.serializer(), bytes)
        val endpoints = document.endpoints.mapTo(mutableSetOf()) { EndpointId(it) }
        return PeerDatagram.EndpointsLost(HostId(document.host), endpoints, document.isRelayed)
    }
}

/** Array form of [PeerDatagram.EndpointsLost]. The order of the fields is part of the protocol. */
@Serializable
@CborArray
private class EndpointsLostDocument(
    val host: String,
    val endpoints: List<String>,
    val isRelayed: Boolean
)

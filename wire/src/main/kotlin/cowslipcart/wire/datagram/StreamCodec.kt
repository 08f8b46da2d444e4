@file:OptIn(ExperimentalSerializationApi::class)

package cowslipcart.wire.datagram

import cowslipcart.core.forwarding.StreamKey
import cowslipcart.core.model.HostId
import cowslipcart.core.model.VersionId
import cowslipcart.wire.peer.peerCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.CborArray

/**
 * Encodes what hosts tell each other of the versions of streams as CBOR. Decoding throws a
 * [SerializationException] for malformed bytes.
 */
internal object StreamCodec {
    fun encodeTold(versions: Map<StreamKey, VersionId>): ByteArray {
        val byVersion = versions.entries.groupBy({ it.value }, { it.key.value })
        return peerCbor.encodeToByteArray(
            StreamsDocument.serializer(),
            StreamsDocument(byVersion.map { StreamsOfVersion(it.key.value, it.value) })
        )
    }

    fun decodeTold(bytes: ByteArray): Map<StreamKey, VersionId> =
        peerCbor.decodeFromByteArray(StreamsDocument.serializer(), bytes).versions
            .flatMap { of -> of.streams.map { StreamKey(it) to VersionId(of.version) } }
            .toMap()

    fun encodeAsked(asked: PeerDatagram.StreamAsked): ByteArray = peerCbor.encodeToByteArray(
        StreamAskedDocument.serializer(),
        StreamAskedDocument(asked.host.value, asked.stream.value)
    )

    fun decodeAsked(bytes: ByteArray): PeerDatagram.StreamAsked {
        val document = peerCbor.decodeFromByteArray(StreamAskedDocument.serializer(), bytes)
        return PeerDatagram.StreamAsked(HostId(document.host), StreamKey(document.stream))
    }
}

/** Array form of the streams of versions. The order of the fields is part of the protocol. */
@Serializable
@CborArray
private class StreamsDocument(val versions: List<StreamsOfVersion>)

@Serializable
@CborArray
private class StreamsOfVersion(val version: String, val streams: List<Long>)

@Serializable
@CborArray
private class StreamAskedDocument(val host: String, val stream: Long)

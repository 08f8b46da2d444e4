@file:OptIn(ExperimentalSerializationApi::class)

package cowslipcart.wire.figures

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.store.EndpointChange
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.StoreNews
import cowslipcart.wire.peer.peerCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** Encodes what a host read of the store. Decoding fails with a [SerializationException]. */
internal object NewsCodec {
    fun encode(news: StoreNews): ByteArray =
        peerCbor.encodeToByteArray(NewsDocument.serializer(), toDocument(news))

    fun decode(bytes: ByteArray): StoreNews {
        val document = peerCbor.decodeFromByteArray(NewsDocument.serializer(), bytes)
        val next = LogOffset(document.next)
        val from = document.from ?: return StoreNews.Configuration(next, document.ageMs)
        return StoreNews.Endpoints(
            LogOffset(from),
            next,
            document.changes.map { toChange(it) },
            document.ageMs,
            document.regainedForMs
        )
    }

    private fun toDocument(news: StoreNews): NewsDocument = when (news) {
        is StoreNews.Configuration ->
            NewsDocument(news.next.value, news.ageMs, null, null, emptyList())

        is StoreNews.Endpoints -> NewsDocument(
            news.next.value,
            news.ageMs,
            news.from.value,
            news.regainedForMs,
            news.changes.map { change ->
                ChangeDocument(
                    change.id.value,
                    change.offset.value,
                    change.record?.let { toDocument(it) }
                )
            }
        )
    }

    private fun toDocument(record: EndpointRecord): RecordDocument {
        val entry = record.entry
        return RecordDocument(
            entry.pool.value,
            entry.ip,
            entry.port,
            entry.domain,
            entry.slotCount,
            entry.isDraining,
            record.startedAtMs,
            record.beatNumber
        )
    }

    private fun toChange(document: ChangeDocument): EndpointChange {
        val id = EndpointId(document.endpoint)
        val record = document.record?.let { record ->
            EndpointRecord(
                EndpointEntry(
                    id,
                    PoolId(record.pool),
                    record.ip,
                    record.port,
                    record.domain,
                    record.slotCount,
                    record.isDraining
                ),
                record.startedAtMs,
                record.beatNumber
            )
        }
        return EndpointChange(id, record, LogOffset(document.offset))
    }
}

/**
 * Array form of [StoreNews]. The order of the fields is part of the protocol.
 *
 * @property from null for news of the configuration
 */
@Serializable
@CborArray
private class NewsDocument(
    val next: Long,
    val ageMs: Long,
    val from: Long?,
    val regainedForMs: Long?,
    val changes: List<ChangeDocument>
)

@Serializable
@CborArray
private class ChangeDocument(val endpoint: String, val offset: Long, val record: RecordDocument?)

@Serializable
@CborArray
private class RecordDocument(
    val pool: String,
    val ip: String,
    val port: Int,
    val domain: String,
    val slotCount: Int,
    val isDraining: Boolean,
    val startedAtMs: Long,
    val beatNumber: Long
)

@file:OptIn(ExperimentalSerializationApi::class)

package cowslipcart.wire.datagram

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.StoreEra
import cowslipcart.core.model.VersionId
import cowslipcart.core.store.EndpointChange
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.StoreUpdate
import cowslipcart.core.store.TableRecord
import cowslipcart.wire.peer.completePeerCbor
import cowslipcart.wire.peer.peerCbor
import kotlinx.serialization.BinaryFormat
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/**
 * Encodes changes that a host read from the store as CBOR. [decode] throws a
 * [SerializationException] for malformed bytes.
 */
internal object StoreUpdateCodec {
    /** Larger than any configuration that the platform's store takes. */
    private const val MAX_RECORD_BYTES = 4 * 1_024 * 1_024

    fun encode(update: StoreUpdate): ByteArray =
        cborFor(update).encodeToByteArray(StoreUpdateDocument.serializer(), toDocument(update))

    private fun cborFor(update: StoreUpdate): BinaryFormat =
        if (update.era == StoreEra.UNSTATED) peerCbor else completePeerCbor

    fun decode(bytes: ByteArray): StoreUpdate {
        val document = peerCbor.decodeFromByteArray(StoreUpdateDocument.serializer(), bytes)
        val next = LogOffset(document.next)
        val from = document.from ?: return StoreUpdate.Configuration(
            next,
            document.ageMs,
            document.record?.let { toTableRecord(it) },
            StoreEra(document.era)
        )
        return StoreUpdate.Endpoints(
            LogOffset(from),
            next,
            document.changes.map { toChange(it) },
            document.ageMs,
            document.regainedForMs,
            StoreEra(document.era)
        )
    }

    private fun toDocument(update: StoreUpdate): StoreUpdateDocument = when (update) {
        is StoreUpdate.Configuration ->
            StoreUpdateDocument(
                update.next.value,
                update.ageMs,
                null,
                null,
                emptyList(),
                update.record?.let { toDocument(it) },
                update.era.value
            )

        is StoreUpdate.Endpoints -> StoreUpdateDocument(
            update.next.value,
            update.ageMs,
            update.from.value,
            update.recoveredForMs,
            update.changes.map { change ->
                EndpointChangeDocument(
                    change.id.value,
                    change.offset.value,
                    change.record?.let { toDocument(it) }
                )
            },
            era = update.era.value
        )
    }

    private fun toDocument(record: TableRecord): ConfigurationRecordDocument? {
        val value = record.value ?: return null
        return ConfigurationRecordDocument(record.key, record.offset.value, value.deflate())
    }

    private fun toTableRecord(document: ConfigurationRecordDocument) = TableRecord(
        document.key,
        document.deflated.inflate(MAX_RECORD_BYTES),
        LogOffset(document.offset)
    )

    private fun toDocument(record: EndpointRecord): EndpointRecordDocument {
        val entry = record.entry
        return EndpointRecordDocument(
            entry.pool.value,
            entry.ip,
            entry.port,
            entry.domain,
            entry.slotCount,
            entry.isDraining,
            record.startedAtMs,
            record.sequence,
            SoftwareDocument(entry.version.value, entry.isCold)
                .takeIf { entry.version != VersionId.NONE || entry.isCold }
        )
    }

    private fun toChange(document: EndpointChangeDocument): EndpointChange {
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
                    record.isDraining,
                    version = VersionId(record.software?.version.orEmpty()),
                    isCold = record.software?.isCold == true
                ),
                record.startedAtMs,
                record.beatNumber
            )
        }
        if (record?.entry?.isInRange == false) {
            throw SerializationException("expected a valid entry, found ${record.entry}")
        }
        return EndpointChange(id, record, LogOffset(document.offset))
    }
}

/**
 * Configuration that a host read.
 *
 * @property deflated its bytes as the store holds them, compressed
 */
@Serializable
@CborArray
private class ConfigurationRecordDocument(
    val key: String,
    val offset: Long,
    @ByteString val deflated: ByteArray
)

/**
 * Array form of [StoreUpdate]. The order of the fields is part of the protocol.
 *
 * @property from offset from which endpoint changes are complete; null for the configuration table
 * @property record newest configuration; left out if there is none
 */
@Serializable
@CborArray
private class StoreUpdateDocument(
    val next: Long,
    val ageMs: Long,
    val from: Long?,
    val regainedForMs: Long?,
    val changes: List<EndpointChangeDocument>,
    val record: ConfigurationRecordDocument? = null,
    val era: Long = 0
)

@Serializable
@CborArray
private class EndpointChangeDocument(
    val endpoint: String,
    val offset: Long,
    val record: EndpointRecordDocument?
)

@Serializable
@CborArray
private class EndpointRecordDocument(
    val pool: String,
    val ip: String,
    val port: Int,
    val domain: String,
    val slotCount: Int,
    val isDraining: Boolean,
    val startedAtMs: Long,
    val beatNumber: Long,
    val software: SoftwareDocument? = null
)

@Serializable
@CborArray
private class SoftwareDocument(val version: String, val isCold: Boolean)

package cowslipcart.wire.log

import cowslipcart.core.claims.EpochEntry
import cowslipcart.core.model.LogOffset
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Wire form of an [EpochEntry]. An epoch covers the key times from `fromKeyTimeMs` to below
 * `untilKeyTimeMs`, in ms since 1970.
 */
@Serializable
internal sealed interface EpochEntryDocument {
    fun toEntry(): EpochEntry

    @Serializable
    @SerialName("epoch")
    class Epoch(
        @SerialName("n") val number: Long,
        @SerialName("h") val hosts: List<ProcessDocument>,
        @SerialName("f") val fromKeyTimeMs: Long,
        @SerialName("u") val untilKeyTimeMs: Long
    ) : EpochEntryDocument {
        override fun toEntry(): EpochEntry.Epoch =
            EpochEntry.Epoch(number, hosts.map { it.toProcessId() }, fromKeyTimeMs, untilKeyTimeMs)
    }

    @Serializable
    @SerialName("extend")
    class Extend(@SerialName("n") val number: Long, @SerialName("u") val untilKeyTimeMs: Long) :
        EpochEntryDocument {
        override fun toEntry() = EpochEntry.ExtendEpoch(number, untilKeyTimeMs)
    }

    @Serializable
    @SerialName("checkpoint")
    class Checkpoint(
        @SerialName("t") val throughOffset: Long,
        @SerialName("e") val epochs: List<Epoch>
    ) : EpochEntryDocument {
        override fun toEntry() =
            EpochEntry.Checkpoint(LogOffset(throughOffset), epochs.map { it.toEntry() })
    }
}

private fun EpochEntry.Epoch.toEpochDocument() = EpochEntryDocument.Epoch(
    number,
    hosts.map { it.toDocument() },
    fromKeyTimeMs,
    untilKeyTimeMs
)

internal fun EpochEntry.toDocument(): EpochEntryDocument = when (this) {
    is EpochEntry.Epoch -> toEpochDocument()

    is EpochEntry.ExtendEpoch -> EpochEntryDocument.Extend(number, untilKeyTimeMs)

    is EpochEntry.Checkpoint -> EpochEntryDocument.Checkpoint(
        throughOffset.value,
        epochs.map { it.toEpochDocument() }
    )
}

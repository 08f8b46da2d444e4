package cowslipcart.wire.log

import cowslipcart.core.claims.EpochEntry
import cowslipcart.core.model.LogOffset
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Wire form of an [EpochEntry]. */
@Serializable
internal sealed interface EpochDocument {
    fun toEntry(): EpochEntry

    @Serializable
    @SerialName("epoch")
    class Epoch(
        @SerialName("n") val number: Long,
        @SerialName("h") val hosts: List<ProcessDocument>,
        @SerialName("f") val fromKeyTimeMs: Long,
        @SerialName("u") val untilKeyTimeMs: Long
    ) : EpochDocument {
        override fun toEntry(): EpochEntry.Epoch =
            EpochEntry.Epoch(number, hosts.map { it.toOrigin() }, fromKeyTimeMs, untilKeyTimeMs)
    }

    @Serializable
    @SerialName("extend")
    class Extend(@SerialName("n") val number: Long, @SerialName("u") val untilKeyTimeMs: Long) :
        EpochDocument {
        override fun toEntry() = EpochEntry.ExtendEpoch(number, untilKeyTimeMs)
    }

    @Serializable
    @SerialName("checkpoint")
    class Checkpoint(
        @SerialName("t") val throughOffset: Long,
        @SerialName("e") val epochs: List<Epoch>
    ) : EpochDocument {
        override fun toEntry() =
            EpochEntry.Checkpoint(LogOffset(throughOffset), epochs.map { it.toEntry() })
    }
}

private fun EpochEntry.Epoch.toEpochDocument() = EpochDocument.Epoch(
    number,
    hosts.map { it.toDocument() },
    fromKeyTimeMs,
    untilKeyTimeMs
)

internal fun EpochEntry.toDocument(): EpochDocument = when (this) {
    is EpochEntry.Epoch -> toEpochDocument()

    is EpochEntry.ExtendEpoch -> EpochDocument.Extend(number, untilKeyTimeMs)

    is EpochEntry.Checkpoint -> EpochDocument.Checkpoint(
        throughOffset.value,
        epochs.map { it.toEpochDocument() }
    )
}

package cowslipcart.wire.log

import cowslipcart.core.model.PoolId
import cowslipcart.core.model.ShardId
import cowslipcart.core.orders.OwnerEntry
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Wire form of an [OwnerEntry]. */
@Serializable
internal sealed interface OwnerEntryDocument {
    fun toEntry(): OwnerEntry

    @Serializable
    @SerialName("take-over")
    class TakeOver(
        @SerialName("p") val pool: String,
        @SerialName("s") val shardIndex: Int,
        @SerialName("o") val process: ProcessDocument
    ) : OwnerEntryDocument {
        override fun toEntry() =
            OwnerEntry.TakeOver(ShardId(PoolId(pool), shardIndex), process.toProcessId())
    }
}

internal fun OwnerEntry.toDocument(): OwnerEntryDocument = when (this) {
    is OwnerEntry.TakeOver ->
        OwnerEntryDocument.TakeOver(shard.pool.value, shard.index, process.toDocument())
}

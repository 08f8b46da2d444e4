package cowslipcart.core.orders

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.model.ShardId

/** A record of the stream `owners`. */
public sealed interface OwnerEntry {
    /** [process] takes over issuing the orders of [shard]; appended before it issues the first. */
    public data class TakeOver(public val shard: ShardId, public val process: ProcessId) :
        OwnerEntry
}

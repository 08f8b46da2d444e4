package cowslipcart.core.orders

import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.model.ShardId

/** A record of the stream `owners`. */
public sealed interface OwnerEntry {
    /** [process] is going to issue the orders of [shard]; written before its first one. */
    public data class TakeOver(public val shard: ShardId, public val process: AttemptOrigin) :
        OwnerEntry
}

package cowslipcart.core.host

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.ShardId
import cowslipcart.core.orders.DeployedState
import cowslipcart.core.orders.OrderId
import cowslipcart.core.orders.OrderResult
import cowslipcart.core.orders.OwnerEntry

/** Inputs that concern orders, which bring endpoints to their desired state. */
public sealed interface OrderInput : HostInput {
    /**
     * Records of the stream `owners`.
     *
     * @property nextOffset offset of the next read; records before it that are not in [entries]
     * were removed or cannot be read
     */
    public data class OwnersRead(
        public val entries: List<Pair<LogOffset, OwnerEntry>>,
        public val nextOffset: LogOffset
    ) : OrderInput

    /** The stream `owners` could not be read. */
    public data object OwnersReadFailed : OrderInput

    /** A take-over of [shard] was appended. */
    public data class TakeOverAppended(public val shard: ShardId, public val offset: LogOffset) :
        OrderInput

    /** The append of a take-over failed, or its answer was lost. */
    public data class TakeOverFailed(public val shard: ShardId) : OrderInput

    /** An endpoint reported its deployed state. */
    public data class DeploymentRead(
        public val endpoint: EndpointId,
        public val deployed: DeployedState
    ) : OrderInput

    /** The exchange about an order of [shard] ended with [result]. */
    public data class OrderEnded(
        public val shard: ShardId,
        public val order: OrderId,
        public val result: OrderResult
    ) : OrderInput
}

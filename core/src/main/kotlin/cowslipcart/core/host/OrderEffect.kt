package cowslipcart.core.host

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision
import cowslipcart.core.model.ShardId
import cowslipcart.core.orders.EndpointOrder
import cowslipcart.core.orders.FencingNumber
import cowslipcart.core.orders.OwnerEntry

/** Effects that concern orders, which bring endpoints to their desired state. */
public sealed interface OrderEffect : HostEffect {
    /** Append a take-over, the record of a new shard owner, to the stream `owners`. */
    public data class AppendTakeOver(public val entry: OwnerEntry.TakeOver) : OrderEffect

    /** Read the stream `owners`. */
    public data class ReadOwners(public val from: LogOffset) : OrderEffect

    /** Poll the deployed state of exactly these endpoints from now on. */
    public data class PollDeployments(public val endpoints: List<EndpointSpec>) : OrderEffect

    /** Send the steps of [order] to [endpoint], one after the other. */
    public data class SendOrder(
        public val shard: ShardId,
        public val endpoint: EndpointSpec,
        public val order: EndpointOrder
    ) : OrderEffect

    /** Write a log line for a decision about orders. */
    public data class LogOrder(public val line: OrderLine) : OrderEffect
}

/**
 * Content of the log line of a decision about orders.
 *
 * @property choice `order`, `applied`, `failed` or `held`
 * @property fencing fencing number of the order; null if there is none
 */
public data class OrderLine(
    public val shard: ShardId,
    public val endpoint: EndpointId,
    public val choice: String,
    public val reason: String,
    public val fencing: FencingNumber?,
    public val revision: Revision
)

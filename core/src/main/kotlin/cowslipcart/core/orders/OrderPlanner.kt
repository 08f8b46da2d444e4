package cowslipcart.core.orders

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision
import kotlin.random.Random

/**
 * Brings the engines of one pool to their desired states. At most one order is open at a time. An
 * order stays open until the engine reports the state, the order fails or its time is up.
 */
public interface OrderPlanner {
    /** Takes changed facts; an open order is not withdrawn. */
    public fun configure(pool: OrderedPool)

    /** An engine reported its state at [nowMs]. */
    public fun onDeployed(endpoint: EndpointId, deployed: DeployedState, nowMs: Long)

    /** Takes the result of sending an order; one of another order is ignored. */
    public fun onResult(order: OrderId, result: OrderResult, nowMs: Long): List<OrderDecision>

    /**
     * Closes the open order if it is done, else issues the next one if one is due.
     *
     * @param ownerOffset offset of this owner's record; null if it must not order
     */
    public fun plan(ownerOffset: LogOffset?, nowMs: Long): List<OrderDecision>
}

/** Creates a planner that issues its first order when one interval of the rate limit has passed. */
public fun createOrderPlanner(
    pool: OrderedPool,
    random: Random,
    nowMs: Long,
    settings: OrderSettings = OrderSettings()
): OrderPlanner = PoolOrderPlanner(pool, random, nowMs, settings)

/**
 * What a planner knows of its pool.
 *
 * @property model model that the pool serves
 * @property endpoints all endpoints of the pool, of all its shards, in the order of their ids
 * @property leaving endpoints that leave; they get no order
 * @property drained endpoints that operators have drained; they serve nothing but get orders
 */
public data class OrderedPool(
    public val model: String,
    public val endpoints: List<EndpointSpec>,
    public val leaving: Set<EndpointId>,
    public val drained: Set<EndpointId>,
    public val ordersPerMinute: Double,
    public val revision: Revision
)

/**
 * Times of a planner.
 *
 * @property orderTimeoutMs time after which an order whose state was not reported counts as failed;
 * loading weights takes minutes
 * @property firstRetryMs wait after the first failure; it doubles with each further one
 * @property maxRetryMs longest wait before jitter
 * @property reportAgeMs age after which a reported state says nothing; three reports may be lost
 */
public data class OrderSettings(
    public val orderTimeoutMs: Long = 300_000,
    public val firstRetryMs: Long = 5_000,
    public val maxRetryMs: Long = 300_000,
    public val reportAgeMs: Long = 20_000
)

/** A decision of an [OrderPlanner]. */
public sealed interface OrderDecision {
    /** Endpoint that the decision is about. */
    public val endpoint: EndpointId

    /** Send [order]. */
    public data class Issue(public val order: EndpointOrder) : OrderDecision {
        override val endpoint: EndpointId get() = order.endpoint
    }

    /** The engine reported the state that [order] named. */
    public data class Applied(public val order: EndpointOrder) : OrderDecision {
        override val endpoint: EndpointId get() = order.endpoint
    }

    /** [order] failed; the next one to this endpoint comes after [retryAfterMs] or later. */
    public data class Failed(
        public val order: EndpointOrder,
        public val detail: String,
        public val retryAfterMs: Long
    ) : OrderDecision {
        override val endpoint: EndpointId get() = order.endpoint
    }

    /** An order to [endpoint] would leave the pool without a serving endpoint; told once. */
    public data class Held(override val endpoint: EndpointId) : OrderDecision
}

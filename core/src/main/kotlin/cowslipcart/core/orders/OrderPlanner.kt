package cowslipcart.core.orders

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision
import kotlin.random.Random

/**
 * Issues the orders that bring the engines of one pool to their desired states. At most one order
 * is open at a time: an order stays open until the engine reports the desired state, the order
 * fails or it times out.
 */
public interface OrderPlanner {
    /**
     * Replaces the description of the pool. An open order is not withdrawn, but one to an endpoint
     * that is no longer declared is forgotten. A changed desired state ends the wait after a
     * failure.
     */
    public fun configure(pool: ManagedPool)

    /** Records the state that an engine reported at [nowMs]. */
    public fun onStateReported(endpoint: EndpointId, deployed: DeployedState, nowMs: Long)

    /** Handles the result of sending the open order; the result of any other order is ignored. */
    public fun onResult(order: OrderId, result: OrderResult, nowMs: Long): List<OrderDecision>

    /**
     * Closes the open order if it was applied or has timed out. Issues the next order if none is
     * open and one is due.
     *
     * @param ownerOffset offset of this owner's record; null if it must not issue orders
     */
    public fun plan(ownerOffset: LogOffset?, nowMs: Long): List<OrderDecision>
}

/** Creates a planner that issues its first order after one interval of the rate limit at least. */
public fun createOrderPlanner(
    pool: ManagedPool,
    random: Random,
    nowMs: Long,
    settings: OrderSettings = OrderSettings()
): OrderPlanner = PoolOrderPlanner(pool, random, nowMs, settings)

/**
 * A pool whose engines get orders, as configured and as seen by this host.
 *
 * @property model model that the pool serves
 * @property endpoints endpoints of all shards of the pool, sorted by id
 * @property leaving endpoints that are being removed; they get no orders
 * @property drained endpoints that operators have drained; they get orders but no requests
 * @property ordersPerMinute limit of the rate of orders to the pool
 * @property revision configuration revision that the orders carry as part of their fencing number
 */
public data class ManagedPool(
    public val model: String,
    public val endpoints: List<EndpointSpec>,
    public val leaving: Set<EndpointId>,
    public val drained: Set<EndpointId>,
    public val ordersPerMinute: Double,
    public val revision: Revision
)

/**
 * Timeouts and backoff of a planner.
 *
 * @property orderTimeoutMs time after which an order whose state was not reported counts as failed;
 * loading weights takes minutes
 * @property initialBackoffMs wait after the first failure; it doubles with each further one
 * @property maxBackoffMs longest wait, before jitter
 * @property maxReportAgeMs age above which a reported state is ignored; allows for the loss of
 * three reports in a row
 */
public data class OrderSettings(
    public val orderTimeoutMs: Long = 300_000,
    public val initialBackoffMs: Long = 5_000,
    public val maxBackoffMs: Long = 300_000,
    public val maxReportAgeMs: Long = 20_000
)

/** A decision of an [OrderPlanner]. */
public sealed interface OrderDecision {
    /** Endpoint that the decision concerns. */
    public val endpoint: EndpointId

    /** [order] is to be sent. */
    public data class Issue(public val order: EndpointOrder) : OrderDecision {
        override val endpoint: EndpointId get() = order.endpoint
    }

    /** The engine reported the state that [order] named. */
    public data class Applied(public val order: EndpointOrder) : OrderDecision {
        override val endpoint: EndpointId get() = order.endpoint
    }

    /** [order] failed; the endpoint gets its next order after [retryAfterMs] at the earliest. */
    public data class Failed(
        public val order: EndpointOrder,
        public val detail: String,
        public val retryAfterMs: Long
    ) : OrderDecision {
        override val endpoint: EndpointId get() = order.endpoint
    }

    /**
     * An order to [endpoint] is held back, as it would leave the pool without a serving endpoint.
     * Reported once, not at each call of [plan][OrderPlanner.plan].
     */
    public data class Held(override val endpoint: EndpointId) : OrderDecision
}

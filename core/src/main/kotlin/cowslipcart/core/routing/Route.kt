package cowslipcart.core.routing

import cowslipcart.core.model.PoolId
import cowslipcart.core.model.Tier

/** Name of a route in the operator's configuration. */
@JvmInline
public value class RouteId(public val value: String) {
    override fun toString(): String = value
}

/** How a route's requests are answered, and whether they may be retried. */
public sealed interface WorkKind {
    /** A request may run more than once. */
    public data object Idempotent : WorkKind

    /** A request runs at most once. */
    public data object AtMostOnce : WorkKind

    /**
     * The answer is a stream of events.
     *
     * @property isResumable whether another endpoint may continue after the last delivered event
     * @property gapTargetMs longest gap between events with which an answer counts as on time
     */
    public data class EventStream(public val isResumable: Boolean, public val gapTargetMs: Long) :
        WorkKind
}

/** Whether a request of this kind may be retried after it may have run on an endpoint. */
public val WorkKind.isRetryable: Boolean
    get() = when (this) {
        WorkKind.Idempotent -> true
        WorkKind.AtMostOnce -> false
        is WorkKind.EventStream -> isResumable
    }

/** A target pool of a route; [weight] is relative to the other targets of the route. */
public data class WeightedPool(public val pool: PoolId, public val weight: Double)

/**
 * Maps the requests of one host name and path prefix to pools.
 *
 * @property host host name in the request, compared without regard to case
 * @property pathPrefix begins and ends with a slash
 * @property targets pools that share the requests by weight
 * @property timeoutMs longest time from arrival to the end of the answer
 * @property objectiveMs time to the answer, or to its first event, within which it is on time
 * @property maxAttempts attempts of one request, each at another endpoint
 * @property isPublic whether requests need no API key
 */
public data class Route(
    public val id: RouteId,
    public val host: String,
    public val pathPrefix: String,
    public val kind: WorkKind,
    public val targets: List<WeightedPool>,
    public val timeoutMs: Long,
    public val objectiveMs: Long,
    public val tier: Tier,
    public val maxAttempts: Int,
    public val isPublic: Boolean
) {
    /** Returns the pool whose range of the cumulative weights contains [position], from 0 to 1. */
    public fun poolAt(position: Double): PoolId? {
        val total = targets.sumOf { it.weight }
        var cumulative = 0.0
        for (target in targets) {
            cumulative += target.weight
            if (target.weight > 0 && position * total < cumulative) return target.pool
        }
        return targets.lastOrNull { it.weight > 0 }?.pool
    }
}

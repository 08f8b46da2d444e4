package cowslipcart.core.routing

import cowslipcart.core.model.PoolId
import cowslipcart.core.model.Tier

/** Name of a route, taken from the operator's configuration. */
@JvmInline
public value class RouteId(public val value: String) {
    override fun toString(): String = value
}

/** What an endpoint may be asked to do again for one request. */
public sealed interface WorkKind {
    /** May run more than once. */
    public data object Idempotent : WorkKind

    /** Runs at most once. */
    public data object AtMostOnce : WorkKind

    /**
     * Answers with a series of events.
     *
     * @property isResumable whether another endpoint may go on after the last delivered event
     * @property gapTargetMs longest pause between events of an answer that counts as on time
     */
    public data class EventStream(public val isResumable: Boolean, public val gapTargetMs: Long) :
        WorkKind
}

/** Whether a request of this kind may be sent to an endpoint after it may have run on another. */
public val WorkKind.isRepeatable: Boolean
    get() = when (this) {
        WorkKind.Idempotent -> true
        WorkKind.AtMostOnce -> false
        is WorkKind.EventStream -> isResumable
    }

/** A pool that a route sends to, and its share relative to the others. */
public data class WeightedPool(public val pool: PoolId, public val weight: Double)

/**
 * Sends the requests of one host name and path prefix to pools.
 *
 * @property pathPrefix begins and ends with a slash
 * @property timeoutMs longest time from arrival to the end of the answer
 * @property objectiveMs time to the answer, or to its first event, that counts as on time
 * @property maxAttempts endpoints that one request may be sent to
 * @property isPublic whether a request needs no key
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
    /** Returns the pool at [position], from 0 to 1, of the weights laid end to end. */
    public fun poolAt(position: Double): PoolId? {
        val total = targets.sumOf { it.weight }
        var passed = 0.0
        for (target in targets) {
            passed += target.weight
            if (target.weight > 0 && position * total < passed) return target.pool
        }
        return targets.lastOrNull { it.weight > 0 }?.pool
    }
}

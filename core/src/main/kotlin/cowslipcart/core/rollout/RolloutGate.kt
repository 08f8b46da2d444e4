package cowslipcart.core.rollout

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.TrackedEndpoint
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.VersionId

/**
 * Narrows the endpoints that a request may be sent to, by the version that they run. With one
 * version in a pool and no order it changes nothing.
 */
internal class RolloutGate {
    private val served = mutableMapOf<PoolId, ServedVersions>()
    private val rollouts = mutableMapOf<PoolId, PoolRollout>()

    /** Roll-outs by pool, the newest order of each. */
    val all: Collection<PoolRollout> get() = rollouts.values

    operator fun get(pool: PoolId): PoolRollout? = rollouts[pool]

    /** Replaces the roll-out of a pool. */
    fun put(rollout: PoolRollout) {
        rollouts[rollout.order.pool] = rollout
    }

    /** Takes the list of all endpoints; returns the versions that came into service, by pool. */
    fun onListed(entries: List<EndpointEntry>): Map<PoolId, Set<VersionId>> =
        entries.groupBy { it.pool }
            .filterKeys { rollouts[it]?.isFinal != false || served[it] == null }
            .mapValues { (pool, listed) ->
                val rollout = rollouts[pool]
                served.getOrPut(pool) { ServedVersions() }
                    .onListed(listed.filter { it.version !in bannedVersions(rollout) })
            }
            .filterValues { it.isNotEmpty() }

    /** Versions that serve [pool] beside the one that [order] names. */
    fun earlierVersions(pool: PoolId, order: RolloutOrder): Set<VersionId> {
        rollouts[pool]?.stored?.record?.takeIf { it.order == order.offset }?.let { return it.from }
        val versions = served[pool]?.versions.orEmpty()
        return (versions - order.to).ifEmpty { versions }
    }

    /** [versions] serve [pool] from now on without an order. */
    fun setServed(pool: PoolId, versions: Set<VersionId>) {
        served.getOrPut(pool) { ServedVersions() }.replace(versions)
    }

    /** Versions that get nothing after the end of the order of [rollout]. */
    private fun bannedVersions(rollout: PoolRollout?): Set<VersionId> {
        val record = rollout?.stored?.record ?: return emptySet()
        return when (record.step) {
            RolloutStep.Complete -> record.from - record.to
            RolloutStep.RolledBack -> setOf(record.to) - record.from
            RolloutStep.Observing, is RolloutStep.Shifting, RolloutStep.Moved -> emptySet()
        }
    }

    /** Returns those of [endpoints], of one pool, to which [call] may be sent now. */
    fun eligible(
        call: ForwardedCall,
        endpoints: List<TrackedEndpoint>,
        tried: Set<EndpointId>,
        nowMs: Long
    ): List<TrackedEndpoint> {
        val rollout = rollouts[call.pool]
        if (rollout == null || rollout.isFinal) return inService(call.pool, rollout, endpoints)
        val earlier = earlierVersions(call.pool, rollout.order)
        val old = endpoints.filter { it.entry.version in earlier }
        if (rollout.isAlreadyServing) return only(rollout.order.to, old)
        val new = endpoints.filter { it.entry.version == rollout.order.to && it.isInService }
        val step = rollout.step
        if (step == null || !rollout.isPermitted(nowMs) || new.isEmpty()) return old
        return when (step) {
            RolloutStep.Observing -> {
                val mayExpose = tried.isEmpty() && rollout.exposure.mayExpose(call.route.id, nowMs)
                if (mayExpose) trial(rollout, new, endpoints, nowMs).ifEmpty { old } else old
            }

            is RolloutStep.Shifting -> {
                val isNewDue = tried.isEmpty() && rollout.isShareDue(step.percent)
                if (isNewDue) freeOrElse(new, old) else freeOrElse(old, new)
            }

            RolloutStep.Moved -> new

            RolloutStep.Complete, RolloutStep.RolledBack -> old
        }
    }

    private fun inService(
        pool: PoolId,
        rollout: PoolRollout?,
        endpoints: List<TrackedEndpoint>
    ): List<TrackedEndpoint> {
        val versions = served[pool]?.versions ?: return endpoints
        if (endpoints.all { it.entry.version in versions }) return endpoints
        val allowed = endpoints.filter { it.entry.version in versions }
        // A pool may have completed its order just before the endpoints of the new version went.
        val isRolledBack = rollout?.step == RolloutStep.RolledBack
        val hasNone = allowed.none { it.isInService } && !isRolledBack
        return if (hasNone) endpoints else allowed
    }

    private fun only(version: VersionId, endpoints: List<TrackedEndpoint>): List<TrackedEndpoint> {
        val matching = endpoints.filter { it.entry.version == version }
        return if (matching.any { it.isInService }) matching else endpoints
    }

    /** Returns [first], or [second] if only that has a free slot. */
    private fun freeOrElse(
        first: List<TrackedEndpoint>,
        second: List<TrackedEndpoint>
    ): List<TrackedEndpoint> {
        val isFree = first.any { it.isInService && it.freeSlots > 0 }
        return if (isFree || second.none { it.isInService && it.freeSlots > 0 }) first else second
    }

    /**
     * Endpoints of the new version that get exposed requests. In the second half of the observation
     * these are so few that each carries the load that endpoints of the pool usually have.
     */
    private fun trial(
        rollout: PoolRollout,
        new: List<TrackedEndpoint>,
        all: List<TrackedEndpoint>,
        nowMs: Long
    ): List<TrackedEndpoint> {
        val halfMs = RolloutProgress.observeMs(rollout.order.durationMs) / 2
        val isWide = nowMs - rollout.startedAtMs < halfMs
        val loaded = all.count { it.isInService && it.entry.version != rollout.order.to }
        val count = maxOf(MIN_TRIAL, Math.ceil(loaded * TRIAL_PART).toInt())
        val chosen = if (isWide) new else new.sortedBy { spread(it.entry.id.value) }.take(count)
        return chosen.filter { it.freeSlots > 0 && !it.health.isEjected(nowMs) }
    }

    private companion object {
        /** Endpoints of the trial for each one of earlier versions, by the share of requests. */
        const val TRIAL_PART = 0.08
        const val MIN_TRIAL = 3
    }
}

package cowslipcart.core.capacity

import cowslipcart.core.model.GrantId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import java.util.TreeMap
import java.util.TreeSet

/** Grants that have not ended, with the interruptible ones in the order of preemption. */
internal class GrantTable(private val endpoints: EndpointTable) {
    private val byId = LinkedHashMap<GrantId, RunningWork>()
    private val byRequest = HashMap<RequestId, RunningWork>()
    private val countByTier = TreeMap<Tier, Int>()
    private val interruptible = TreeSet(RunningWork.PREEMPTION_ORDER)
    private val preempted = LinkedHashSet<RunningWork>()

    /** Number of preempted grants that have not ended. */
    val preemptedCount: Int get() = preempted.size

    fun find(id: GrantId): RunningWork? = byId[id]

    fun find(id: RequestId): RunningWork? = byRequest[id]

    fun filter(predicate: (RunningWork) -> Boolean): List<RunningWork> =
        byId.values.filter(predicate)

    fun add(work: RunningWork) {
        byId[work.grantId] = work
        byRequest[work.request.requestId] = work
        countByTier.merge(work.request.tier, 1, Int::plus)
        if (work.request.isInterruptible) interruptible += work
        work.endpoint.add(work)
        endpoints.refresh(work.endpoint)
        work.endpoint.recordTurnover(work.grantedAtMs)
    }

    fun remove(work: RunningWork, nowMs: Long) {
        byId.remove(work.grantId)
        byRequest.remove(work.request.requestId, work)
        countByTier.computeIfPresent(work.request.tier) { _, count ->
            (count - 1).takeIf { it > 0 }
        }
        interruptible -= work
        preempted -= work
        work.endpoint.remove(work, nowMs)
        endpoints.refresh(work.endpoint)
        work.endpoint.recordTurnover(nowMs)
    }

    /** Records that the origin was told to preempt [work]. */
    fun recordPreemption(work: RunningWork, nowMs: Long) {
        interruptible -= work
        preempted += work
        work.endpoint.recordPreemption(work, nowMs)
    }

    /**
     * Preempted grants that have not ended and whose origin was last told at or before [untilMs].
     */
    fun preemptedUntil(untilMs: Long): List<RunningWork> =
        preempted.filter { (it.preemptedAtMs ?: Long.MAX_VALUE) <= untilMs }

    /** Grants below [tier] that can be preempted, in the order of preemption. */
    fun interruptibleBelow(tier: Tier): Sequence<RunningWork> =
        interruptible.asSequence().takeWhile { it.request.tier > tier }

    fun hasInterruptibleBelow(tier: Tier): Boolean =
        interruptible.isNotEmpty() && interruptible.first().request.tier > tier

    /** Whether work below [tier] runs anywhere. */
    fun hasAnyBelow(tier: Tier): Boolean = countByTier.isNotEmpty() && countByTier.lastKey() > tier

    /** Whether work below [tier] runs on an available endpoint. */
    fun hasRunningBelow(tier: Tier): Boolean {
        if (!hasAnyBelow(tier)) return false
        return endpoints.all.any { endpoint ->
            endpoint.isAvailable && endpoint.running.any { it.request.tier > tier }
        }
    }
}

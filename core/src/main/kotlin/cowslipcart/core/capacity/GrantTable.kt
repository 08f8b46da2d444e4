package cowslipcart.core.capacity

import cowslipcart.core.model.GrantId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import java.util.TreeMap
import java.util.TreeSet

/** Grants that have not ended, with those that can give way in the order in which they would. */
internal class GrantTable(private val endpoints: EndpointTable) {
    private val byId = LinkedHashMap<GrantId, RunningWork>()
    private val byRequest = HashMap<RequestId, RunningWork>()
    private val countByTier = TreeMap<Tier, Int>()
    private val interruptible = TreeSet(RunningWork.GIVE_WAY_ORDER)
    private val givingWay = LinkedHashSet<RunningWork>()

    /** Grants whose origin was told to give way and has not answered. */
    val givingWayCount: Int get() = givingWay.size

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
        givingWay -= work
        work.endpoint.remove(work, nowMs)
        endpoints.refresh(work.endpoint)
        work.endpoint.recordTurnover(nowMs)
    }

    /** Records that the origin was told to give way. */
    fun recordGiveWay(work: RunningWork, nowMs: Long) {
        interruptible -= work
        givingWay += work
        work.endpoint.recordGiveWay(work, nowMs)
    }

    /** Grants that were told to give way at or before [untilMs] and have not answered. */
    fun givingWaySince(untilMs: Long): List<RunningWork> =
        givingWay.filter { (it.giveWaySinceMs ?: Long.MAX_VALUE) <= untilMs }

    /** Grants below [tier] that can give way, in the order in which they should. */
    fun interruptibleBelow(tier: Tier): Sequence<RunningWork> =
        interruptible.asSequence().takeWhile { it.request.tier > tier }

    fun hasInterruptibleBelow(tier: Tier): Boolean =
        interruptible.isNotEmpty() && interruptible.first().request.tier > tier

    /** Whether work below [tier] runs anywhere. */
    fun hasAnyBelow(tier: Tier): Boolean = countByTier.isNotEmpty() && countByTier.lastKey() > tier

    /** Whether work below [tier] runs on an endpoint that takes new work. */
    fun hasRunningBelow(tier: Tier): Boolean {
        if (!hasAnyBelow(tier)) return false
        return endpoints.all.any { state ->
            state.isAvailable && state.running.any { it.request.tier > tier }
        }
    }
}

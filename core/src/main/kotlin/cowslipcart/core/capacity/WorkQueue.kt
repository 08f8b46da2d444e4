package cowslipcart.core.capacity

import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import java.util.TreeMap
import java.util.TreeSet

/** All queued requests of the shard, by tier, by id and by the time of the next deadline check. */
internal class WorkQueue {
    private val byTier = TreeMap<Tier, TierQueue>()
    private val byId = LinkedHashMap<RequestId, QueuedWork>()
    private val checks = TreeSet(QueuedWork.CHECK_ORDER)

    /** Queues of all tiers, highest tier first. */
    var tiers: List<TierQueue> = emptyList()
        private set

    fun find(id: RequestId): QueuedWork? = byId[id]

    fun tierOf(work: QueuedWork): TierQueue = byTier.getValue(work.request.tier)

    /** Returns the queued requests that satisfy [predicate]. */
    fun filter(predicate: (QueuedWork) -> Boolean): List<QueuedWork> = byId.values.filter(predicate)

    fun add(work: QueuedWork) {
        byId[work.request.requestId] = work
        if (work.nextCheckMs != QueuedWork.NO_DEADLINE) checks += work
        val tier = work.request.tier
        if (tier !in byTier) {
            byTier[tier] = TierQueue(tier)
            tiers = byTier.values.toList()
        }
        byTier.getValue(tier).add(work)
    }

    /** Removes a request that is in the queue of its tier. */
    fun remove(work: QueuedWork) {
        tierOf(work).remove(work)
        forget(work)
    }

    /** Removes a request that [TierQueue.poll] has already taken from the queue of its tier. */
    fun forget(work: QueuedWork) {
        byId.remove(work.request.requestId)
        checks -= work
    }

    /** Returns the next request whose deadline check is due, or null. The request stays queued. */
    fun pollDueCheck(nowMs: Long): QueuedWork? {
        if (checks.isEmpty() || checks.first().nextCheckMs > nowMs) return null
        return checks.pollFirst()
    }

    /** Schedules the next deadline check of a queued request. */
    fun scheduleCheck(work: QueuedWork, atMs: Long) {
        checks -= work
        work.nextCheckMs = atMs
        checks += work
    }

    /** Whether requests of a higher tier than [tier] are queued. */
    fun hasHigher(tier: Tier): Boolean {
        for (queue in tiers) {
            if (queue.tier >= tier) return false
            if (queue.size > 0) return true
        }
        return false
    }

    /** Number of queued requests of [tier] and higher tiers. */
    fun countThrough(tier: Tier): Int = tiers.sumOf { if (it.tier <= tier) it.size else 0 }

    /** The queue of the lowest tier below [tier] that is not empty, or null. */
    fun lowestBelow(tier: Tier): TierQueue? =
        tiers.lastOrNull { it.size > 0 }?.takeIf { it.tier > tier }
}

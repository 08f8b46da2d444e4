package cowslipcart.core.capacity

/**
 * Keeps the queue of a tier within its limit. A request is refused for lack of capacity only if no
 * work of a lower tier is queued, and none runs on an endpoint that takes new work.
 */
internal class ShedRule(
    private val state: ShardState,
    private val giveWay: GiveWayRule,
    private val refusals: RefusalRule
) {
    /** Acts on the arrival of [work], which waits in its tier's queue. */
    fun onQueued(work: QueuedWork, nowMs: Long, out: MutableList<SchedulerDecision>) {
        val tier = work.request.tier
        val queue = state.queue.tierOf(work)
        if (queue.size <= state.maxQueued(tier)) return
        val lower = state.queue.lowestBelow(tier)
        if (lower != null && !state.grants.hasRunningBelow(lower.tier)) {
            lower.findShedVictim()?.let { out += refuse(it) }
        } else if (state.grants.hasRunningBelow(tier)) {
            // The request stays queued even if nothing that runs below it can be interrupted.
            if (state.grants.givingWayCount < queue.size) giveWay.makeRoom(work, nowMs, out)
        } else {
            queue.findShedVictim()?.let { out += refuse(it) }
        }
    }

    private fun refuse(victim: QueuedWork): SchedulerDecision {
        refusals.withdraw(victim)
        val ahead = state.queue.countThrough(victim.request.tier) + 1
        val waitMs = ahead / state.endpoints.slotsPerMs
        val retryAfterMs = waitMs.coerceIn(LEAST_RETRY_MS, MOST_RETRY_MS).toLong()
        return SchedulerDecision.Refuse(victim.request, RefusalReason.SHARD_FULL, retryAfterMs)
    }

    private companion object {
        const val LEAST_RETRY_MS = 200.0
        const val MOST_RETRY_MS = 10_000.0
    }
}

package cowslipcart.core.capacity

/**
 * Load shedding: keeps the queue of a tier within its limit. A request is shed only if no work of a
 * lower tier is queued and none runs on an available endpoint.
 */
internal class ShedRule(
    private val state: ShardState,
    private val preemption: PreemptionRule,
    private val refusals: RefusalRule
) {
    /**
     * Sheds or preempts work if [work], which was just queued, makes its queue exceed the limit.
     */
    fun onQueued(work: QueuedWork, nowMs: Long, out: MutableList<SchedulerDecision>) {
        val tier = work.request.tier
        val queue = state.queue.tierOf(work)
        if (queue.size <= state.maxQueued(tier)) return
        val lower = state.queue.lowestBelow(tier)
        if (lower != null && !state.grants.hasRunningBelow(lower.tier)) {
            lower.findShedVictim()?.let { out += refusals.shed(it) }
        } else if (state.grants.hasRunningBelow(tier)) {
            // The request stays queued even if no running work below it can be preempted.
            if (state.grants.preemptedCount < queue.size) preemption.makeRoom(work, nowMs, out)
        } else {
            queue.findShedVictim()?.let { out += refusals.shed(it) }
        }
    }
}

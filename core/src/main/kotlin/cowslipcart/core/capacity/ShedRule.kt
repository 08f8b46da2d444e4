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
            lower.findShedVictim()?.let { out += refusals.shed(it) }
        } else if (state.grants.hasRunningBelow(tier)) {
            // The request stays queued even if nothing that runs below it can be interrupted.
            if (state.grants.givingWayCount < queue.size) giveWay.makeRoom(work, nowMs, out)
        } else {
            queue.findShedVictim()?.let { out += refusals.shed(it) }
        }
    }
}

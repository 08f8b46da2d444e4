package cowslipcart.core.capacity

/** Refuses requests that cannot run: stopped tier, no endpoint, or not before the deadline. */
internal class RefusalRule(
    private val state: ShardState,
    private val placement: Placement,
    private val isolation: IsolationRule
) {
    /** Returns why [work] cannot run, or null; sets the time of its next deadline check. */
    fun findReason(work: QueuedWork, nowMs: Long): RefusalReason? = when {
        isStopped(work) -> RefusalReason.TIER_STOPPED
        !hasEndpoint(work) -> RefusalReason.NO_ENDPOINT
        !canFinish(work, nowMs) -> RefusalReason.DEADLINE
        else -> null
    }

    /** Returns the refusal of a request that cannot run. */
    fun refusal(work: QueuedWork, reason: RefusalReason): SchedulerDecision.Refuse {
        val retryAfterMs = when (reason) {
            RefusalReason.TIER_STOPPED -> RETRY_STOPPED_MS

            RefusalReason.NO_ENDPOINT -> RETRY_NO_ENDPOINT_MS.takeIf {
                work.request.resumeOn == null
            }

            RefusalReason.DEADLINE, RefusalReason.SHARD_FULL -> null
        }
        return SchedulerDecision.Refuse(work.request, reason, retryAfterMs)
    }

    /** Removes a queued request and returns its refusal for lack of capacity. */
    fun shed(victim: QueuedWork): SchedulerDecision.Refuse {
        withdraw(victim)
        val ahead = state.queue.countThrough(victim.request.tier) + 1
        val waitMs = ahead / state.endpoints.slotsPerMs
        val retryAfterMs = waitMs.coerceIn(MIN_RETRY_MS, MAX_RETRY_MS).toLong()
        return SchedulerDecision.Refuse(victim.request, RefusalReason.SHARD_FULL, retryAfterMs)
    }

    /**
     * Sheds the queued work of lower tiers that competes with [work]. To be called before [work] is
     * refused for its deadline after a wait, since that is a lack of capacity too.
     */
    fun shedBelow(work: QueuedWork, out: MutableList<SchedulerDecision>) {
        if (state.queue.lowestBelow(work.request.tier) == null) return
        val victims = state.queue.filter {
            it.request.tier > work.request.tier && canCompete(it.request, work.request)
        }
        victims.forEach { out += shed(it) }
    }

    /** Removes a queued request without a refusal. */
    fun withdraw(work: QueuedWork) {
        state.queue.remove(work)
        isolation.forget(work)
    }

    /** Refuses queued requests that can no longer finish before their deadline. */
    fun refuseOverdue(nowMs: Long, out: MutableList<SchedulerDecision>) {
        while (true) {
            val work = state.queue.pollDueCheck(nowMs) ?: return
            if (canFinish(work, nowMs)) {
                state.queue.scheduleCheck(work, work.nextCheckMs.coerceAtLeast(nowMs + 1))
            } else {
                withdraw(work)
                shedBelow(work, out)
                out += refusal(work, RefusalReason.DEADLINE)
            }
        }
    }

    /** Refuses queued requests whose tier is stopped or that no available endpoint can run. */
    fun refuseUnplaceable(out: MutableList<SchedulerDecision>) {
        for (work in state.queue.filter { isStopped(it) || !hasEndpoint(it) }) {
            val reason = when {
                isStopped(work) -> RefusalReason.TIER_STOPPED
                else -> RefusalReason.NO_ENDPOINT
            }
            withdraw(work)
            out += refusal(work, reason)
        }
    }

    // Streams that resume on different endpoints do not compete for capacity.
    private fun canCompete(one: CapacityRequest, other: CapacityRequest): Boolean =
        one.resumeOn == null || other.resumeOn == null || one.resumeOn == other.resumeOn

    // A preempted stream may finish in a stopped tier, as its caller has part of the answer.
    private fun isStopped(work: QueuedWork): Boolean =
        work.request.resumeOn == null && state.maxQueued(work.request.tier) <= 0

    private fun hasEndpoint(work: QueuedWork): Boolean {
        val resumeOn = work.request.resumeOn ?: return state.endpoints.hasAvailable
        return state.endpoints.find(resumeOn)?.isAvailable ?: false
    }

    private fun canFinish(work: QueuedWork, nowMs: Long): Boolean {
        if (work.deadlineMs == QueuedWork.NO_DEADLINE) return true
        val bestCaseMs = placement.bestCaseMs(work)
        val latestStartMs = work.deadlineMs - bestCaseMs
        if (work.deadlineMs <= nowMs || latestStartMs < nowMs) return false
        work.nextCheckMs = latestStartMs.toLong() + 1
        return true
    }

    private companion object {
        const val RETRY_STOPPED_MS = 10_000L
        const val MIN_RETRY_MS = 200.0
        const val MAX_RETRY_MS = 10_000.0
    }
}

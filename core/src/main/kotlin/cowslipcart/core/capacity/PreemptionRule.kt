package cowslipcart.core.capacity

/**
 * Preempts running work of lower tiers for queued requests that would otherwise miss their
 * first-token target. Preempted work keeps its slot until its origin answers.
 */
internal class PreemptionRule(private val state: ShardState, private val placement: Placement) {
    private val polled = ArrayList<QueuedWork>()

    /** Preempts for the first queued requests, as slots may become free later than estimated. */
    fun preemptForQueued(nowMs: Long, out: MutableList<SchedulerDecision>) {
        repeatUnanswered(nowMs, out)
        var position = 0
        for (queue in state.queue.tiers) {
            if (!state.grants.hasInterruptibleBelow(queue.tier)) return
            if (!state.mayGrant(queue.tier, nowMs)) return
            for (work in queue.parkedOrResuming()) preemptIfLate(work, position++, nowMs, out)
            while (position < MAX_REVIEWED) {
                val work = queue.poll(nowMs, hasLower = true) ?: break
                polled += work
                preemptIfLate(work, position++, nowMs, out)
            }
            polled.forEach(queue::putBack)
            polled.clear()
        }
    }

    /**
     * Makes room for [work] if the slots that become free without preemption come too late.
     *
     * @param position number of queued requests that are served before [work]
     */
    fun preemptIfLate(
        work: QueuedWork,
        position: Int,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ) {
        if (!state.grants.hasInterruptibleBelow(work.request.tier)) return
        val missingSlots = position + 1 - state.grants.preemptedCount
        if (missingSlots <= 0) return
        val expectedMs = missingSlots / state.endpoints.slotsPerMs
        if (expectedMs <= (work.firstTokenDueMs - nowMs) * WAIT_SHARE) return
        if (!placement.canStartNow(work, nowMs)) makeRoom(work, nowMs, out)
    }

    /**
     * Preempts the running request that loses least by it, and more on the same endpoint until
     * [work] fits there.
     */
    fun makeRoom(work: QueuedWork, nowMs: Long, out: MutableList<SchedulerDecision>) {
        val victim = findVictim(work, nowMs) ?: return
        preempt(victim, nowMs, out)
        val endpoint = victim.endpoint
        val others = endpoint.running
            .filter { it.canBePreemptedBy(work) }
            .sortedWith(RunningWork.PREEMPTION_ORDER)
        for (other in others) {
            if (fitsAfter(work, endpoint, 0, 0)) return
            preempt(other, nowMs, out)
        }
    }

    /** Preempts all interruptible work below the tier of [suspect] on [endpoint]. */
    fun preemptAllBelow(
        suspect: QueuedWork,
        endpoint: EndpointState,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ) {
        for (work in endpoint.running) if (work.canBePreemptedBy(suspect)) preempt(work, nowMs, out)
    }

    // Prefers a victim whose end alone makes enough room. An endpoint that became slow may run more
    // requests than its current slot limit, and preempting all of them would waste the most work.
    private fun findVictim(work: QueuedWork, nowMs: Long): RunningWork? {
        val requiredId = work.request.resumeOn ?: placement.findAwaited(work, nowMs)?.spec?.id
        val eligible = state.grants.interruptibleBelow(work.request.tier)
            .filter { it.endpoint.isAvailable && it.endpoint.emptyingFor == null }
            .filter { requiredId == null || it.endpoint.spec.id == requiredId }
        val sufficient = eligible.take(MAX_VICTIMS)
            .firstOrNull { fitsAfter(work, it.endpoint, 1, it.reservedTokens) }
        if (sufficient != null || work.hasPreemptedSeveral) return sufficient
        return eligible.firstOrNull()?.also { work.hasPreemptedSeveral = true }
    }

    private fun fitsAfter(work: QueuedWork, endpoint: EndpointState, count: Int, tokens: Long) =
        endpoint.admitsAfter(
            work.isTop,
            work.reservedTokens,
            endpoint.preemptedCount + count,
            endpoint.preemptedTokens + tokens
        )

    private fun RunningWork.canBePreemptedBy(work: QueuedWork): Boolean =
        request.isInterruptible && preemptedAtMs == null && request.tier > work.request.tier

    private fun preempt(work: RunningWork, nowMs: Long, out: MutableList<SchedulerDecision>) {
        state.grants.recordPreemption(work, nowMs)
        out += preemptDecision(work)
    }

    private fun repeatUnanswered(nowMs: Long, out: MutableList<SchedulerDecision>) {
        for (work in state.grants.preemptedUntil(nowMs - REPEAT_AFTER_MS)) {
            work.preemptedAtMs = nowMs
            out += preemptDecision(work)
        }
    }

    private fun preemptDecision(work: RunningWork) =
        SchedulerDecision.Preempt(work.request, work.grantId, work.endpoint.spec.id)

    private companion object {
        // Share of the time left in which a slot has to become free: half, since the estimate is
        // rough and the prefill still has to follow.
        const val WAIT_SHARE = 0.5
        const val MAX_REVIEWED = 32
        const val MAX_VICTIMS = 32
        const val REPEAT_AFTER_MS = 2_000L
    }
}

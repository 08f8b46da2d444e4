package cowslipcart.core.capacity

/**
 * Tells running work of a lower tier to give way to a queued request that would otherwise miss the
 * time for its first token.
 */
internal class GiveWayRule(private val state: ShardState, private val placement: Placement) {
    private val taken = ArrayList<QueuedWork>()

    /** Looks at the first waiting requests; called from the tick, as slots may free too slowly. */
    fun review(nowMs: Long, out: MutableList<SchedulerDecision>) {
        repeatUnanswered(nowMs, out)
        var position = 0
        for (queue in state.queue.tiers) {
            if (!state.grants.hasInterruptibleBelow(queue.tier)) return
            if (!state.mayGrant(queue.tier, nowMs)) return
            for (work in queue.setAside()) consider(work, position++, nowMs, out)
            while (position < MOST_REVIEWED) {
                val work = queue.poll(nowMs, hasLower = true) ?: break
                taken += work
                consider(work, position++, nowMs, out)
            }
            taken.forEach(queue::putBack)
            taken.clear()
        }
    }

    /**
     * Makes room for [work] if the slots that become free by themselves would come too late.
     *
     * @param position number of requests that are served before
     */
    fun consider(
        work: QueuedWork,
        position: Int,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ) {
        if (!state.grants.hasInterruptibleBelow(work.request.tier)) return
        val missingSlots = position + 1 - state.grants.givingWayCount
        if (missingSlots <= 0) return
        val expectedMs = missingSlots / state.endpoints.slotsPerMs
        if (expectedMs <= (work.firstTokenDueMs - nowMs) * WAIT_SHARE) return
        if (!placement.canStartNow(work, nowMs)) makeRoom(work, nowMs, out)
    }

    /** Tells the running work that loses least to give way until [work] fits on its endpoint. */
    fun makeRoom(work: QueuedWork, nowMs: Long, out: MutableList<SchedulerDecision>) {
        val victim = findVictim(work, nowMs) ?: return
        tell(victim, nowMs, out)
        val endpoint = victim.endpoint
        val others = endpoint.running
            .filter { it.canGiveWayTo(work) }
            .sortedWith(RunningWork.GIVE_WAY_ORDER)
        for (other in others) {
            if (fitsAfter(work, endpoint, 0, 0)) return
            tell(other, nowMs, out)
        }
    }

    /** Tells all work below the tier of [suspect] on [endpoint] to give way. */
    fun emptyFor(
        suspect: QueuedWork,
        endpoint: EndpointState,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ) {
        for (work in endpoint.running) if (work.canGiveWayTo(suspect)) tell(work, nowMs, out)
    }

    // A victim whose end alone makes room comes first; an endpoint that became slow may hold more
    // work than its slots, and emptying it would waste the most.
    private fun findVictim(work: QueuedWork, nowMs: Long): RunningWork? {
        val only = work.request.resumeOn ?: placement.findAwaited(work, nowMs)?.spec?.id
        val eligible = state.grants.interruptibleBelow(work.request.tier)
            .filter { it.endpoint.isAvailable && it.endpoint.emptyingFor == null }
            .filter { only == null || it.endpoint.spec.id == only }
        val sufficient = eligible.take(MOST_VICTIMS)
            .firstOrNull { fitsAfter(work, it.endpoint, 1, it.reservedTokens) }
        if (sufficient != null || work.hasForcedRoom) return sufficient
        return eligible.firstOrNull()?.also { work.hasForcedRoom = true }
    }

    private fun fitsAfter(work: QueuedWork, endpoint: EndpointState, count: Int, tokens: Long) =
        endpoint.admitsAfter(
            work.isTop,
            work.reservedTokens,
            endpoint.giveWayCount + count,
            endpoint.giveWayTokens + tokens
        )

    private fun RunningWork.canGiveWayTo(work: QueuedWork): Boolean =
        request.isInterruptible && giveWaySinceMs == null && request.tier > work.request.tier

    private fun tell(work: RunningWork, nowMs: Long, out: MutableList<SchedulerDecision>) {
        state.grants.recordGiveWay(work, nowMs)
        out += decision(work)
    }

    private fun repeatUnanswered(nowMs: Long, out: MutableList<SchedulerDecision>) {
        for (work in state.grants.givingWaySince(nowMs - REPEAT_AFTER_MS)) {
            work.giveWaySinceMs = nowMs
            out += decision(work)
        }
    }

    private fun decision(work: RunningWork) =
        SchedulerDecision.GiveWay(work.request, work.grantId, work.endpoint.spec.id)

    private companion object {
        // Half of the time left, since the estimate of free slots is rough and the request still
        // has to read its prompt.
        const val WAIT_SHARE = 0.5
        const val MOST_REVIEWED = 32
        const val MOST_VICTIMS = 32
        const val REPEAT_AFTER_MS = 2_000L
    }
}

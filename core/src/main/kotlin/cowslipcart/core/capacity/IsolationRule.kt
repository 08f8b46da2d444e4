package cowslipcart.core.capacity

import kotlin.math.max

/**
 * Runs suspects, whose prompt may crash an endpoint, alone: an endpoint is closed to other work
 * until it is empty, and then runs only the suspect. One endpoint is emptied at a time.
 */
internal class IsolationRule(
    private val state: ShardState,
    private val preemption: PreemptionRule
) {
    private var emptying: EndpointState? = null
    private var notBeforeMs = Long.MIN_VALUE

    /**
     * The next suspect of [queue], or null. The one that an endpoint is being emptied for goes
     * first.
     */
    fun nextSuspect(queue: TierQueue): QueuedWork? {
        val waiting = emptying?.emptyingFor ?: return queue.firstSuspect
        return waiting.takeIf { it.request.tier == queue.tier }
    }

    /**
     * Returns an empty endpoint on which [suspect] of [queue] can start now. Otherwise returns null
     * and, if allowed, begins to empty an endpoint.
     */
    fun findEmptied(
        suspect: QueuedWork,
        queue: TierQueue,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ): EndpointState? {
        if (state.queue.hasHigher(queue.tier)) return null
        val current = emptying
        if (current == null && !mayIsolateAnother(queue, nowMs)) return null
        val endpoint = current ?: chooseEndpoint(suspect) ?: return null
        if (endpoint.occupiedCount == 0 && endpoint.isReported) return endpoint
        if (current == null) {
            endpoint.emptyingFor = suspect
            emptying = endpoint
            preemption.preemptAllBelow(suspect, endpoint, nowMs, out)
            state.endpoints.refresh(endpoint)
        }
        return null
    }

    /**
     * Reopens the endpoint that is being emptied if a request of a higher tier is queued or the
     * endpoint is no longer available.
     */
    fun reviewEmptying() {
        val endpoint = emptying ?: return
        val suspect = endpoint.emptyingFor ?: return
        if (!endpoint.isAvailable || state.queue.hasHigher(suspect.request.tier)) stopEmptying()
    }

    /** Reopens the endpoint that was being emptied for [work], which left the queue. */
    fun forget(work: QueuedWork) {
        if (emptying?.emptyingFor === work) stopEmptying()
    }

    /** Delays the next suspect by the run time of [suspect] while other work is queued. */
    fun onEnded(suspect: RunningWork, nowMs: Long) {
        notBeforeMs = max(notBeforeMs, nowMs + (nowMs - suspect.grantedAtMs))
    }

    private fun stopEmptying() {
        val endpoint = emptying ?: return
        emptying = null
        endpoint.emptyingFor = null
        state.endpoints.refresh(endpoint)
    }

    private fun mayIsolateAnother(queue: TierQueue, nowMs: Long): Boolean {
        if (queue.hasNonSuspects && nowMs < notBeforeMs) return false
        val all = state.endpoints.all
        val limit = max(1, all.count { it.isAvailable } / ENDPOINTS_PER_ISOLATED)
        return all.count { it.isIsolated } < limit
    }

    private fun chooseEndpoint(suspect: QueuedWork): EndpointState? {
        val resumeOn = suspect.request.resumeOn
        return state.endpoints.all
            .filter { it.isAvailable && !it.isIsolated && !it.isEarmarked }
            .filter { resumeOn == null || it.spec.id == resumeOn }
            .minWithOrNull(compareBy({ it.occupiedCount > 0 }, { it.remainingOutputTokens }))
    }

    private companion object {
        // At most a quarter of the endpoints run suspects at once.
        const val ENDPOINTS_PER_ISOLATED = 4
    }
}

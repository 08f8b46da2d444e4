package cowslipcart.core.capacity

import kotlin.math.max

/**
 * Runs suspects alone: an endpoint is closed to other work until it is empty, and then runs only
 * the suspect. One endpoint at a time is emptied.
 */
internal class IsolationRule(private val state: ShardState, private val giveWay: GiveWayRule) {
    private var emptying: EndpointState? = null
    private var notBeforeMs = Long.MIN_VALUE

    /** The suspect of [queue] that is next to run; the one that already waits goes first. */
    fun nextSuspect(queue: TierQueue): QueuedWork? {
        val waiting = emptying?.emptyingFor ?: return queue.firstSuspect
        return waiting.takeIf { it.request.tier == queue.tier }
    }

    /**
     * Returns the endpoint on which [suspect] of [queue] can start now, or null. Begins to empty
     * an endpoint if there is none.
     */
    fun findEmptied(
        suspect: QueuedWork,
        queue: TierQueue,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ): EndpointState? {
        if (state.queue.hasAbove(queue.tier)) return null
        val current = emptying
        if (current == null && !mayIsolateAnother(queue, nowMs)) return null
        val endpoint = current ?: chooseEndpoint(suspect) ?: return null
        if (endpoint.occupiedCount == 0 && endpoint.isReported) return endpoint
        if (current == null) {
            endpoint.emptyingFor = suspect
            emptying = endpoint
            giveWay.emptyFor(suspect, endpoint, nowMs, out)
            state.endpoints.refresh(endpoint)
        }
        return null
    }

    /**
     * Opens the endpoint again that is being emptied if a request of a more urgent tier waits, or
     * if the endpoint takes no new work any more.
     */
    fun reviewEmptying() {
        val endpoint = emptying ?: return
        val suspect = endpoint.emptyingFor ?: return
        if (!endpoint.isAvailable || state.queue.hasAbove(suspect.request.tier)) stopEmptying()
    }

    /** Opens the endpoint again that was being emptied for [work], which left the queue. */
    fun forget(work: QueuedWork) {
        if (emptying?.emptyingFor === work) stopEmptying()
    }

    /** Leaves as much time to other work as the ended [suspect] had the endpoint for itself. */
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
        if (queue.hasNormal && nowMs < notBeforeMs) return false
        val all = state.endpoints.all
        val most = max(1, all.count { it.isAvailable } / ENDPOINTS_BY_ISOLATION)
        return all.count { it.isIsolated } < most
    }

    private fun chooseEndpoint(suspect: QueuedWork): EndpointState? {
        val resumeOn = suspect.request.resumeOn
        return state.endpoints.all
            .filter { it.isAvailable && !it.isIsolated && !it.isClaimed }
            .filter { resumeOn == null || it.spec.id == resumeOn }
            .minWithOrNull(compareBy({ it.occupiedCount > 0 }, { it.remainingOutputTokens }))
    }

    private companion object {
        // At most a quarter of the endpoints run suspects at once.
        const val ENDPOINTS_BY_ISOLATION = 4
    }
}

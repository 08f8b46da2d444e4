package cowslipcart.core.capacity

/** Grants queued requests in the order of tiers and queues while any endpoint is open. */
internal class Dispatcher(
    private val state: ShardState,
    private val placement: Placement,
    private val issuer: GrantIssuer,
    private val isolation: IsolationRule
) {
    private val deferred = ArrayList<QueuedWork>()

    /** Grants the queued requests that can start now. */
    fun dispatch(nowMs: Long, out: MutableList<SchedulerDecision>) {
        isolation.reviewEmptying()
        val tiers = state.queue.tiers
        for (position in tiers.indices) {
            val queue = tiers[position]
            if (!state.mayGrant(queue.tier, nowMs)) break
            if (queue.suspectCount > 0) grantSuspect(queue, nowMs, out)
            if (!runTier(queue, nowMs, out)) break
        }
        state.endpoints.clearEarmarks()
    }

    /** Grants requests of one tier; returns whether lower tiers may be served in this pass. */
    private fun runTier(
        queue: TierQueue,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ): Boolean {
        val isTop = queue.tier.rank == 0
        val hasLower = state.hasWorkBelow(queue.tier)
        queue.unpark(nowMs)
        grantResuming(queue, nowMs, out)
        while (deferred.size < MAX_DEFERRED && state.endpoints.hasOpen(isTop)) {
            val work = queue.poll(nowMs, hasLower) ?: break
            placement.choose(work, nowMs)
            val endpoint = placement.endpoint
            if (endpoint != null && placement.canStart) {
                grant(queue, work, endpoint, nowMs, out)
            } else if (endpoint != null && placement.isWaitPreferred) {
                queue.park(work, endpoint, parkUntilMs(work, nowMs))
            } else {
                deferred += work
                // Later requests must not take the slot that this request waits for.
                if (endpoint != null) state.endpoints.earmark(endpoint)
            }
        }
        // The requests not examined may need any endpoint, so lower tiers must not take them.
        val mayServeLower = deferred.size < MAX_DEFERRED
        for (position in deferred.indices) queue.putBack(deferred[position])
        deferred.clear()
        return mayServeLower
    }

    private fun parkUntilMs(work: QueuedWork, nowMs: Long): Long {
        val skipUntilMs = work.skipUntilMs?.takeIf { it > nowMs }
        return minOf(nowMs + PARK_MS, skipUntilMs ?: Long.MAX_VALUE)
    }

    private fun grantResuming(queue: TierQueue, nowMs: Long, out: MutableList<SchedulerDecision>) {
        if (!state.endpoints.hasOpen(queue.tier.rank == 0)) return
        for (work in queue.resuming()) {
            val endpoint = work.request.resumeOn?.let(state.endpoints::find) ?: continue
            if (endpoint.admits(work.isTop, work.reservedTokens, nowMs)) {
                state.queue.remove(work)
                val running = issuer.issue(work, endpoint, 0, nowMs)
                out += issuer.grantDecision(running, listOf(endpoint.spec.id), "resume")
            } else if (endpoint.isOpen(work.isTop)) {
                state.endpoints.earmark(endpoint)
            }
        }
    }

    private fun grant(
        queue: TierQueue,
        work: QueuedWork,
        endpoint: EndpointState,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ) {
        queue.charge(work, state.weightOf(work.request.organisation))
        state.queue.forget(work)
        val uncachedTokens = placement.uncachedTokens(work, endpoint)
        val running = issuer.issue(work, endpoint, uncachedTokens, nowMs)
        val reason = when {
            uncachedTokens < work.request.prefillTokens -> "prefix"
            else -> "least-wait"
        }
        out += issuer.grantDecision(running, placement.candidates, reason)
    }

    private fun grantSuspect(queue: TierQueue, nowMs: Long, out: MutableList<SchedulerDecision>) {
        val suspect = isolation.nextSuspect(queue) ?: return
        val endpoint = isolation.findEmptied(suspect, queue, nowMs, out) ?: return
        isolation.forget(suspect)
        state.queue.remove(suspect)
        state.endpoints.prefixes.findDepths(suspect.request.prefixBlocks)
        val uncachedTokens = placement.uncachedTokens(suspect, endpoint)
        val running = issuer.issue(suspect, endpoint, uncachedTokens, nowMs)
        out += issuer.grantDecision(running, listOf(endpoint.spec.id), "isolated")
    }

    private companion object {
        // Bounds the cost of one pass; more requests rarely wait while an endpoint is open.
        const val MAX_DEFERRED = 32

        // Time before a parked request is placed again, during which it may miss a better endpoint.
        // Placement in each call took 0.5 ms a call with 600 endpoints and hot prefixes.
        const val PARK_MS = 100L
    }
}

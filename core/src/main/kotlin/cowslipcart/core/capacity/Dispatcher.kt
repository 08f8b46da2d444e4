package cowslipcart.core.capacity

/** Grants queued requests in order while some endpoint is open. */
internal class Dispatcher(
    private val state: ShardState,
    private val placement: Placement,
    private val issuer: GrantIssuer,
    private val isolation: IsolationRule
) {
    private val deferred = ArrayList<QueuedWork>()

    /** Grants what can start now. */
    fun run(nowMs: Long, out: MutableList<SchedulerDecision>) {
        isolation.reviewEmptying()
        val tiers = state.queue.tiers
        for (position in tiers.indices) {
            val queue = tiers[position]
            if (!state.mayGrant(queue.tier, nowMs)) break
            if (queue.suspectCount > 0) runSuspect(queue, nowMs, out)
            if (!runTier(queue, nowMs, out)) break
        }
        state.endpoints.clearClaims()
    }

    /** Returns whether less urgent tiers may go on. */
    private fun runTier(
        queue: TierQueue,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ): Boolean {
        val isTop = queue.tier.rank == 0
        val hasLower = state.hasBelow(queue.tier)
        queue.wake(nowMs)
        resumeInterrupted(queue, nowMs, out)
        while (deferred.size < MOST_DEFERRED && state.endpoints.hasOpen(isTop)) {
            val work = queue.poll(nowMs, hasLower) ?: break
            placement.choose(work, nowMs)
            val endpoint = placement.endpoint
            if (endpoint != null && placement.canStart) {
                grant(queue, work, endpoint, nowMs, out)
            } else if (endpoint != null && placement.isByChoice) {
                queue.park(work, endpoint, parkUntilMs(work, nowMs))
            } else {
                deferred += work
                // Less urgent work must not take the place that this request waits for.
                if (endpoint != null) state.endpoints.claim(endpoint)
            }
        }
        // Requests that were not looked at may need any endpoint.
        val mayGoOn = deferred.size < MOST_DEFERRED
        for (position in deferred.indices) queue.putBack(deferred[position])
        deferred.clear()
        return mayGoOn
    }

    private fun parkUntilMs(work: QueuedWork, nowMs: Long): Long {
        val passOverUntilMs = work.passOverUntilMs?.takeIf { it > nowMs }
        return minOf(nowMs + PARK_MS, passOverUntilMs ?: Long.MAX_VALUE)
    }

    private fun resumeInterrupted(
        queue: TierQueue,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ) {
        if (!state.endpoints.hasOpen(queue.tier.rank == 0)) return
        for (work in queue.interrupted()) {
            val endpoint = work.request.resumeOn?.let(state.endpoints::find) ?: continue
            if (endpoint.admits(work.isTop, work.reservedTokens, nowMs)) {
                state.queue.remove(work)
                val running = issuer.issue(work, endpoint, 0, nowMs)
                out += issuer.decision(running, listOf(endpoint.spec.id), "resume")
            } else if (endpoint.isOpen(work.isTop)) {
                state.endpoints.claim(endpoint)
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
        out += issuer.decision(running, placement.candidates, reason)
    }

    private fun runSuspect(queue: TierQueue, nowMs: Long, out: MutableList<SchedulerDecision>) {
        val suspect = isolation.nextSuspect(queue) ?: return
        val endpoint = isolation.findEmptied(suspect, queue, nowMs, out) ?: return
        isolation.forget(suspect)
        state.queue.remove(suspect)
        state.endpoints.prefixes.findDepths(suspect.request.prefixBlocks)
        val uncachedTokens = placement.uncachedTokens(suspect, endpoint)
        val running = issuer.issue(suspect, endpoint, uncachedTokens, nowMs)
        out += issuer.decision(running, listOf(endpoint.spec.id), "isolated")
    }

    private companion object {
        // Bounds the work of one pass; more requests rarely wait while an endpoint is open.
        const val MOST_DEFERRED = 32

        // How long a request may overlook a better endpoint than the one that it waits for. With
        // 600 endpoints and hot prefixes, choosing anew in each call took 0.5 ms a call.
        const val PARK_MS = 100L
    }
}

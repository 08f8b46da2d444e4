package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import kotlin.math.max

/**
 * Choice of the endpoint for one request. The result is left in the properties until the next
 * choice, so that a choice allocates nothing.
 */
internal class Placement(private val table: EndpointTable) {
    private val nearest = NearestCandidates()
    private var bestNow: EndpointState? = null
    private var bestNowMs = 0.0
    private var bestLater: EndpointState? = null
    private var bestLaterMs = 0.0

    /** The chosen endpoint; null if none can finish the request before its deadline. */
    var endpoint: EndpointState? = null
        private set

    /** Whether the request can start at [endpoint] now; otherwise it waits for it. */
    var canStart: Boolean = false
        private set

    /** Whether the request waits for [endpoint] although it could start elsewhere. */
    var isByChoice: Boolean = false
        private set

    /** The endpoints with the least cost, best first. */
    val candidates: List<EndpointId> get() = nearest.toList()

    /** Chooses the endpoint with the least estimated time to first token. */
    fun choose(work: QueuedWork, nowMs: Long) {
        bestNow = null
        bestLater = null
        nearest.clear()
        val resumeOn = work.request.resumeOn
        if (resumeOn != null) {
            table.find(resumeOn)?.let { consider(it, work, nowMs) }
        } else {
            table.prefixes.findDepths(work.request.prefixBlocks)
            val all = table.all
            for (position in all.indices) consider(all[position], work, nowMs)
        }
        decide(work, nowMs)
    }

    /** Whether the request could start somewhere now. */
    fun canStartNow(work: QueuedWork): Boolean {
        val resumeOn = work.request.resumeOn
        if (resumeOn != null) {
            return table.find(resumeOn)?.admits(work.isTop, work.reservedTokens) ?: false
        }
        return table.all.any { it.admits(work.isTop, work.reservedTokens) }
    }

    /** Time to finish the request on the best endpoint if that were empty; infinite without one. */
    fun bestCaseMs(work: QueuedWork): Double {
        val resumeOn = work.request.resumeOn
        if (resumeOn != null) {
            val only = table.find(resumeOn)?.takeIf { it.isAvailable }
            return only?.let { work.outputTokens * it.msPerOutputToken } ?: Double.POSITIVE_INFINITY
        }
        table.prefixes.findDepths(work.request.prefixBlocks)
        var best = Double.POSITIVE_INFINITY
        val all = table.all
        for (position in all.indices) {
            val state = all[position]
            if (!state.isAvailable) continue
            val finishMs = uncachedTokens(work, state) * state.msPerPrefillToken +
                work.outputTokens * state.msPerOutputToken
            if (finishMs < best) best = finishMs
        }
        return best
    }

    /** Prompt tokens that [state] has to read, by the last look-up in the prefix index. */
    fun uncachedTokens(work: QueuedWork, state: EndpointState): Int {
        if (work.request.resumeOn != null) return 0
        val depth = table.prefixes.depths[state.index]
        return max(0, work.request.prefillTokens - depth * CapacityRequest.PREFIX_BLOCK_TOKENS)
    }

    private fun consider(state: EndpointState, work: QueuedWork, nowMs: Long) {
        if (!state.isAvailable || state.isIsolated || state.emptyingFor != null) return
        val canStartHere = state.admits(work.isTop, work.reservedTokens)
        var firstTokenMs = state.prefillWaitMs(nowMs) +
            uncachedTokens(work, state) * state.msPerPrefillToken
        // A claimed endpoint serves another request first.
        if (!canStartHere) firstTokenMs += state.slotWaitMs * if (state.isClaimed) 2 else 1
        val finishMs = firstTokenMs + work.outputTokens * state.msPerOutputToken
        if (work.deadlineMs - nowMs < finishMs) return
        // Time lost beyond the target between tokens makes a slow endpoint the last choice.
        val costMs = firstTokenMs + work.outputTokens * state.lateMsPerOutputToken +
            state.loadShare * SPREAD_MS
        nearest.offer(state, costMs)
        if (canStartHere && (bestNow == null || costMs < bestNowMs)) {
            bestNow = state
            bestNowMs = costMs
        }
        if (!canStartHere && (bestLater == null || costMs < bestLaterMs)) {
            bestLater = state
            bestLaterMs = costMs
        }
    }

    // Waiting for a better endpoint is bounded, as the estimate of the wait can be wrong.
    private fun decide(work: QueuedWork, nowMs: Long) {
        val now = bestNow
        val later = bestLater
        endpoint = now ?: later
        canStart = now != null
        isByChoice = false
        if (now == null || later == null || bestLaterMs + PASS_OVER_MARGIN_MS >= bestNowMs) return
        val untilMs = work.passOverUntilMs
            ?: (nowMs + (later.slotWaitMs * PASS_OVER_FACTOR).toLong())
        work.passOverUntilMs = untilMs
        if (nowMs >= untilMs) return
        endpoint = later
        canStart = false
        isByChoice = true
    }

    private companion object {
        // Spreads work over endpoints whose first token would come at about the same time, since
        // a larger batch slows all its streams.
        const val SPREAD_MS = 100.0
        const val PASS_OVER_MARGIN_MS = 20.0
        const val PASS_OVER_FACTOR = 2.0
    }
}

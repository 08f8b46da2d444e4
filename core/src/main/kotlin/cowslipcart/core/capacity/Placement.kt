package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import kotlin.math.max
import kotlin.math.min

/**
 * Choice of the endpoint for one request. The result is left in the properties until the next
 * choice, so that a choice allocates nothing.
 */
internal class Placement(private val table: EndpointTable) {
    private val nearest = NearestCandidates()
    private var bestNow: EndpointState? = null
    private var bestNowMs = 0.0
    private var bestNowFirstTokenMs = 0.0
    private var bestNowFinishMs = 0.0
    private var bestLater: EndpointState? = null
    private var bestLaterMs = 0.0
    private var bestLaterWaitMs = 0.0

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

    /** Chooses the endpoint with the least estimated time to first token for a new request. */
    fun choose(work: QueuedWork, nowMs: Long) {
        bestNow = null
        bestLater = null
        nearest.clear()
        table.prefixes.findDepths(work.request.prefixBlocks)
        val all = table.all
        for (position in all.indices) consider(all[position], work, nowMs)
        decide(work, nowMs)
    }

    /** Whether the request could start somewhere now. */
    fun canStartNow(work: QueuedWork, nowMs: Long): Boolean {
        val resumeOn = work.request.resumeOn
        if (resumeOn != null) {
            return table.find(resumeOn)?.admits(work.isTop, work.reservedTokens, nowMs) ?: false
        }
        val awaited = findAwaited(work, nowMs)
        if (awaited != null) return awaited.admits(work.isTop, work.reservedTokens, nowMs)
        return table.all.any { it.admits(work.isTop, work.reservedTokens, nowMs) }
    }

    /** The endpoint that the request waits for by choice, while that is worth it. */
    fun findAwaited(work: QueuedWork, nowMs: Long): EndpointState? = work.awaited?.takeIf {
        it.isAvailable && nowMs <= it.slotDueMs && nowMs < work.awaitedUntilMs
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
        val hasRoom = state.hasRoom(work.isTop, work.reservedTokens)
        val canStartHere = hasRoom && state.hasReadEnough(work.isTop, nowMs)
        var waitMs = state.prefillWaitMs(nowMs)
        // A claimed endpoint serves another request first.
        if (!hasRoom) waitMs += state.slotWaitMs * if (state.isClaimed) 2 else 1
        val readMs = uncachedTokens(work, state) * state.msPerPrefillToken
        val finishMs = waitMs + readMs + work.outputTokens * state.msPerOutputToken
        if (work.deadlineMs - nowMs < finishMs) return
        // Time lost beyond the target between tokens makes a slow endpoint the last choice.
        val costMs = waitMs + readMs * (if (work.isTop) 1.0 else LOWER_READ_WEIGHT) +
            work.outputTokens * state.lateMsPerOutputToken + state.loadShare * SPREAD_MS
        nearest.offer(state, costMs)
        if (canStartHere && (bestNow == null || costMs < bestNowMs)) {
            bestNow = state
            bestNowMs = costMs
            bestNowFirstTokenMs = waitMs + readMs
            bestNowFinishMs = finishMs
        }
        if (!canStartHere && (bestLater == null || costMs < bestLaterMs)) {
            bestLater = state
            bestLaterMs = costMs
            bestLaterWaitMs = waitMs
        }
    }

    // Waiting for a better endpoint is bounded, as the estimate of the wait can be wrong.
    private fun decide(work: QueuedWork, nowMs: Long) {
        val now = bestNow
        val later = bestLater
        endpoint = now ?: later
        canStart = now != null
        isByChoice = false
        work.awaited = null
        if (now == null || later == null || bestLaterMs + PASS_OVER_MARGIN_MS >= bestNowMs) return
        val untilMs = work.passOverUntilMs ?: (nowMs + passOverMs(work, nowMs))
        work.passOverUntilMs = untilMs
        val longestMs = max(untilMs, longestWaitUntilMs(work, untilMs))
        if (nowMs >= untilMs && !mayWaitLonger(work, later, nowMs, longestMs)) return
        endpoint = later
        canStart = false
        isByChoice = true
        work.awaited = later
        work.awaitedUntilMs = longestMs
    }

    // An immediate start that misses the time for the first token gains nothing and reads a cached
    // prompt again. The wait still ends when the endpoint fails to turn a slot over as estimated,
    // and after a fixed time when other requests take each slot that it frees.
    private fun mayWaitLonger(
        work: QueuedWork,
        later: EndpointState,
        nowMs: Long,
        longestMs: Long
    ): Boolean = nowMs + bestNowFirstTokenMs > work.firstTokenDueMs &&
        nowMs <= later.slotDueMs && nowMs < longestMs

    // Before the deadline gets out of reach elsewhere, the request starts there.
    private fun longestWaitUntilMs(work: QueuedWork, untilMs: Long): Long {
        val lastStartMs = work.deadlineMs - bestNowFinishMs.toLong() - LAST_START_SLACK_MS
        return min(untilMs + MOST_EXTRA_PASS_OVER_MS, lastStartMs)
    }

    private fun passOverMs(work: QueuedWork, nowMs: Long): Long {
        val waitMs = (bestLaterWaitMs * PASS_OVER_FACTOR).toLong()
        if (work.isTop) return waitMs
        return max(waitMs, ((work.firstTokenDueMs - nowMs) * LOWER_PASS_OVER_SHARE).toLong())
    }

    private companion object {
        // Lower tiers have time to wait for a cached prefix, and reading it again elsewhere takes
        // prefill capacity from others and evicts their prefixes.
        const val LOWER_READ_WEIGHT = 3.0
        const val LOWER_PASS_OVER_SHARE = 0.25

        // Spreads work over endpoints whose first token would come at about the same time, since
        // a larger batch slows all its streams.
        const val SPREAD_MS = 100.0
        const val PASS_OVER_MARGIN_MS = 20.0
        const val PASS_OVER_FACTOR = 2.0

        // At 10 s and 20 s most of the saved prefill of the burst workloads is lost again.
        const val MOST_EXTRA_PASS_OVER_MS = 40_000L

        // Time for errors of the estimate and for the wait until an endpoint is open.
        const val LAST_START_SLACK_MS = 3_000L
    }
}

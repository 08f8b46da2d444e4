package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import kotlin.math.max
import kotlin.math.min

/**
 * Chooses the endpoint for one request by estimated cost. The result stays in the properties until
 * the next call of [choose], so that a choice allocates nothing.
 *
 * A request may skip free endpoints for a bounded time and wait for one with a lower cost, usually
 * one that caches its prefix (delay scheduling).
 */
internal class Placement(private val table: EndpointTable) {
    private val cheapest = CheapestCandidates()
    private var bestNow: EndpointState? = null
    private var bestNowMs = 0.0
    private var bestNowFirstTokenMs = 0.0
    private var bestNowFinishMs = 0.0
    private var bestLater: EndpointState? = null
    private var bestLaterMs = 0.0
    private var bestLaterWaitMs = 0.0

    /** The chosen endpoint; null if none is expected to finish the request by its deadline. */
    var endpoint: EndpointState? = null
        private set

    /** Whether the request can start on [endpoint] now; otherwise it has to wait for it. */
    var canStart: Boolean = false
        private set

    /** Whether waiting for [endpoint] is preferred to a start elsewhere now. */
    var isWaitPreferred: Boolean = false
        private set

    /** The endpoints with the lowest costs, best first. */
    val candidates: List<EndpointId> get() = cheapest.toList()

    /**
     * Chooses the endpoint with the lowest cost, which is mainly the estimated time to first token.
     */
    fun choose(work: QueuedWork, nowMs: Long) {
        bestNow = null
        bestLater = null
        cheapest.clear()
        table.prefixes.findDepths(work.request.prefixBlocks)
        val all = table.all
        for (position in all.indices) evaluate(all[position], work, nowMs)
        selectResult(work, nowMs)
    }

    /** Whether the request could start now on an endpoint that it does not skip. */
    fun canStartNow(work: QueuedWork, nowMs: Long): Boolean {
        val resumeOn = work.request.resumeOn
        if (resumeOn != null) {
            return table.find(resumeOn)?.admits(work.isTop, work.reservedTokens, nowMs) ?: false
        }
        val awaited = findAwaited(work, nowMs)
        if (awaited != null) return awaited.admits(work.isTop, work.reservedTokens, nowMs)
        return table.all.any { it.admits(work.isTop, work.reservedTokens, nowMs) }
    }

    /**
     * The endpoint that the request prefers to wait for, or null once it should not wait longer.
     */
    fun findAwaited(work: QueuedWork, nowMs: Long): EndpointState? = work.awaited?.takeIf {
        it.isAvailable && nowMs <= it.slotDueMs && nowMs < work.awaitedUntilMs
    }

    /** Estimated run time on the best endpoint if it were empty; infinite if none is available. */
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
            val candidate = all[position]
            if (!candidate.isAvailable) continue
            val finishMs = uncachedTokens(work, candidate) * candidate.msPerPrefillToken +
                work.outputTokens * candidate.msPerOutputToken
            if (finishMs < best) best = finishMs
        }
        return best
    }

    /** Prompt tokens that [candidate] does not cache, by the last [PrefixIndex.findDepths]. */
    fun uncachedTokens(work: QueuedWork, candidate: EndpointState): Int {
        if (work.request.resumeOn != null) return 0
        val depth = table.prefixes.depths[candidate.index]
        return max(0, work.request.prefillTokens - depth * CapacityRequest.PREFIX_BLOCK_TOKENS)
    }

    private fun evaluate(candidate: EndpointState, work: QueuedWork, nowMs: Long) {
        if (!candidate.isAvailable || candidate.isIsolated || candidate.emptyingFor != null) return
        val hasRoom = candidate.hasRoom(work.isTop, work.reservedTokens)
        val canStartHere = hasRoom && candidate.hasShortBacklog(work.isTop, nowMs)
        var waitMs = candidate.prefillWaitMs(nowMs)
        // An earmarked endpoint serves another request first.
        if (!hasRoom) waitMs += candidate.slotWaitMs * if (candidate.isEarmarked) 2 else 1
        val prefillMs = uncachedTokens(work, candidate) * candidate.msPerPrefillToken
        val finishMs = waitMs + prefillMs + work.outputTokens * candidate.msPerOutputToken
        if (work.deadlineMs - nowMs < finishMs) return
        // The excess over the target between tokens makes a slow endpoint the last choice.
        val costMs = waitMs + prefillMs * (if (work.isTop) 1.0 else LOWER_PREFILL_WEIGHT) +
            work.outputTokens * candidate.lateMsPerOutputToken + candidate.loadShare * SPREAD_MS
        cheapest.offer(candidate, costMs)
        if (canStartHere && (bestNow == null || costMs < bestNowMs)) {
            bestNow = candidate
            bestNowMs = costMs
            bestNowFirstTokenMs = waitMs + prefillMs
            bestNowFinishMs = finishMs
        }
        if (!canStartHere && (bestLater == null || costMs < bestLaterMs)) {
            bestLater = candidate
            bestLaterMs = costMs
            bestLaterWaitMs = waitMs
        }
    }

    // The wait for a better endpoint is bounded, as its estimate can be wrong.
    private fun selectResult(work: QueuedWork, nowMs: Long) {
        val now = bestNow
        val later = bestLater
        endpoint = now ?: later
        canStart = now != null
        isWaitPreferred = false
        work.awaited = null
        if (now == null || later == null || bestLaterMs + SKIP_MARGIN_MS >= bestNowMs) return
        val untilMs = work.skipUntilMs ?: (nowMs + skipMs(work, nowMs))
        work.skipUntilMs = untilMs
        val limitMs = max(untilMs, waitLimitMs(work, untilMs))
        if (nowMs >= untilMs && !mayWaitLonger(work, later, nowMs, limitMs)) return
        endpoint = later
        canStart = false
        isWaitPreferred = true
        work.awaited = later
        work.awaitedUntilMs = limitMs
    }

    // An immediate start that misses the first-token target gains nothing and repeats the prefill
    // of a cached prompt. The wait still ends when the endpoint frees no slot as estimated, and
    // after a fixed time when other requests take each slot that it frees.
    private fun mayWaitLonger(
        work: QueuedWork,
        later: EndpointState,
        nowMs: Long,
        limitMs: Long
    ): Boolean = nowMs + bestNowFirstTokenMs > work.firstTokenDueMs &&
        nowMs <= later.slotDueMs && nowMs < limitMs

    // The request starts elsewhere before that could miss its deadline.
    private fun waitLimitMs(work: QueuedWork, untilMs: Long): Long {
        val lastStartMs = work.deadlineMs - bestNowFinishMs.toLong() - LAST_START_SLACK_MS
        return min(untilMs + MAX_EXTRA_SKIP_MS, lastStartMs)
    }

    private fun skipMs(work: QueuedWork, nowMs: Long): Long {
        val waitMs = (bestLaterWaitMs * SKIP_FACTOR).toLong()
        if (work.isTop) return waitMs
        return max(waitMs, ((work.firstTokenDueMs - nowMs) * LOWER_SKIP_SHARE).toLong())
    }

    private companion object {
        // Lower tiers have time to wait for a cached prefix, while a prefill elsewhere takes
        // capacity from other requests and evicts their prefixes.
        const val LOWER_PREFILL_WEIGHT = 3.0
        const val LOWER_SKIP_SHARE = 0.25

        // Cost of a full endpoint over an empty one. Spreads work over endpoints with similar times
        // to first token, since a larger batch slows all its streams.
        const val SPREAD_MS = 100.0
        const val SKIP_MARGIN_MS = 20.0
        const val SKIP_FACTOR = 2.0

        // With 10 s or 20 s, the burst workloads lose most of the prefill that waiting saves.
        const val MAX_EXTRA_SKIP_MS = 40_000L

        // Allows for estimation errors and for the wait until an endpoint is open.
        const val LAST_START_SLACK_MS = 3_000L
    }
}

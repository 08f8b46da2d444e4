package cowslipcart.core.forwarding

/**
 * Keeps places free for the most urgent work: other work is admitted only while more places than
 * its reserve are free, and large requests only while more are free than for small ones, which
 * leave their places soon. Engines know no priorities, so what is admitted cannot be overtaken.
 *
 * Load pattern: a burst of all tiers that exceeds the pool for seconds.
 */
internal object AdmissionRule {
    /** Share of all places that has to be free before [call] is admitted. */
    fun reservedShare(call: ForwardedCall): Double {
        if (call.rankInPool == 0) return 0.0
        val readMs = PrefillCost.ofTokens(call.inputTokens) / PrefillCost.TOKENS_PER_MS
        val workMs = readMs + call.expectedOutputTokens * OUTPUT_TOKEN_MS
        return RESERVED_SHARE * (workMs / USUAL_WORK_MS).coerceIn(LEAST_PART, LARGEST_PART)
    }

    /** Requests of [rank] that may wait at an endpoint whose places are all taken. */
    fun extraSlots(rank: Int): Int = if (rank == 0) TOP_RANK_EXTRA_SLOTS else 0

    /**
     * Whether a request would miss its objective because of the prompts before it, which take
     * [queueMs], so that its place is better used by another. Reading its own takes [ownMs], of
     * which half of the objective counts, so that long prompts are not refused for their length.
     * The most urgent kind is sent all the same once it has waited as long as it may, since a late
     * answer is worth more to it than none.
     */
    fun isTooLate(call: ForwardedCall, queueMs: Double, ownMs: Double, nowMs: Long): Boolean {
        val waitedMs = nowMs - call.arrivedAtMs
        val objectiveMs = call.route.objectiveMs
        if (waitedMs + queueMs + minOf(ownMs, objectiveMs / 2.0) <= objectiveMs) return false
        return call.rankInPool > 0 || waitedMs < maxWaitMs(call)
    }

    /** How long a request may wait here before it is refused, in ms. */
    fun maxWaitMs(call: ForwardedCall): Long {
        val leftMs = call.givenUpAtMs - call.arrivedAtMs
        return minOf(call.route.objectiveMs / WAIT_DIVISOR, leftMs / WAIT_DIVISOR)
    }

    /** Returns after how long the caller of a refused request may come back. */
    fun retryAfterMs(call: ForwardedCall, position: Double, nowMs: Long): Long? {
        val leftMs = call.givenUpAtMs - nowMs
        val longestMs = leftMs / WAIT_DIVISOR
        if (longestMs < MIN_RETRY_AFTER_MS) return null
        val shortestMs = maxOf(MIN_RETRY_AFTER_MS, longestMs / RETURN_SPREAD_DIVISOR)
        return shortestMs + ((longestMs - shortestMs) * position).toLong()
    }

    /**
     * Returns after how long the caller of a request over its organisation's limit may come back:
     * when the units are there, if nobody else takes them, and spread over as long again as it can
     * wait, since more requests are refused than fit at that moment.
     */
    fun retryOverQuotaMs(call: ForwardedCall, waitMs: Long, position: Double, nowMs: Long): Long {
        val latestMs = maxOf(waitMs, (call.givenUpAtMs - nowMs) / WAIT_DIVISOR)
        return waitMs + ((latestMs - waitMs) * position).toLong()
    }

    /**
     * Share of an organisation's burst that has to be left after a request of [rank] is admitted,
     * so that its urgent requests still find units when it asks for more than its limit. A request
     * that takes a large part of the burst, [costShare], leaves some for the many small ones.
     */
    fun reservedQuotaShare(rank: Int, costShare: Double): Double {
        val forSmall = if (costShare >= LARGE_COST_SHARE) RESERVED_FOR_SMALL_SHARE else 0.0
        val forUrgent = RESERVED_QUOTA_SHARE_PER_RANK * rank.coerceIn(0, MAX_RESERVING_RANK)
        return maxOf(forSmall, forUrgent)
    }

    private const val RESERVED_QUOTA_SHARE_PER_RANK = 0.12

    /** A plain request takes far less, a draft more, at the limits of both deployments. */
    private const val LARGE_COST_SHARE = 0.03
    private const val RESERVED_FOR_SMALL_SHARE = 0.05

    /**
     * In bursts of twice the usual load more than this hardly helps the most urgent kind, and
     * costs the others (gateway-workloads, docs/experiments.md).
     */
    private const val RESERVED_SHARE = 0.22

    /** Work of a mean query of both deployments on the reference engine, in ms. */
    private const val USUAL_WORK_MS = 70.0

    /** Bounds of the reserve's growth with size; large requests may not starve. */
    private const val LEAST_PART = 0.3
    private const val LARGEST_PART = 0.9

    /** Part of a step of 3.1 ms that falls to one of 13 requests, in ms. */
    private const val OUTPUT_TOKEN_MS = 0.24
    private const val MAX_RESERVING_RANK = 3
    private const val TOP_RANK_EXTRA_SLOTS = 2

    /** A request waits at most a third of its objective, and returns within a third of its time. */
    private const val WAIT_DIVISOR = 3

    /** Shorter returns meet the same burst, in ms. */
    private const val MIN_RETRY_AFTER_MS = 100L

    /** Callers return over the last two thirds of the time that they honour. */
    private const val RETURN_SPREAD_DIVISOR = 3
}

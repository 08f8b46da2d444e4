package cowslipcart.core.forwarding

/**
 * Admission control for a pool. Slots are reserved for the most urgent rank: any other request is
 * admitted only while the share of free slots is at least its reserve. For half of the requests the
 * reserve grows with the size of the request, since small requests release their slots soon; for
 * the others it does not, so that large requests don't starve. Engines do not support priorities,
 * so an admitted request cannot be preempted.
 *
 * Load pattern: a burst of all tiers that exceeds the pool for seconds, with a free share that
 * small requests keep below the reserve of large ones.
 */
internal object AdmissionRule {
    /** Share of the pool's slots that must be free before [call] is admitted, from 0 to 1. */
    fun reservedShare(call: ForwardedCall): Double {
        if (call.rankInPool == 0) return 0.0
        if (isAdmittedAtAnySize(call)) return RESERVED_SHARE * ANY_SIZE_SCALE
        val prefillMs = PrefillCost.ofTokens(call.inputTokens) / PrefillCost.TOKENS_PER_MS
        val workMs = prefillMs + call.expectedOutputTokens * OUTPUT_TOKEN_MS
        return RESERVED_SHARE * (workMs / MEAN_WORK_MS).coerceIn(MIN_SCALE, MAX_SCALE)
    }

    /** Whether [call] is one of the half whose reserve does not depend on their size. */
    private fun isAdmittedAtAnySize(call: ForwardedCall): Boolean =
        call.id.value * GOLDEN_RATIO_BITS < 0

    /** Requests of [rank] that may queue at an endpoint that has no free slot. */
    fun queueLimit(rank: Int): Int = if (rank == 0) TOP_RANK_QUEUE_LIMIT else 0

    /**
     * Whether [call] would miss its objective because of the prefill queue at the endpoint, which
     * takes [queueMs], so that the slot is better used by another request. The prefill of its own
     * prompt takes [ownMs] and counts for at most half of the objective, so that long prompts are
     * not refused for their length. A request of the most urgent rank is dispatched anyway once it
     * has waited for [maxWaitMs], since a late answer is worth more to its caller than none.
     */
    fun isTooLate(call: ForwardedCall, queueMs: Double, ownMs: Double, nowMs: Long): Boolean {
        val waitedMs = nowMs - call.arrivedAtMs
        val objectiveMs = call.route.objectiveMs
        if (waitedMs + queueMs + minOf(ownMs, objectiveMs / 2.0) <= objectiveMs) return false
        return call.rankInPool > 0 || waitedMs < maxWaitMs(call)
    }

    /** Longest time that a request may wait in the queue before it is refused, in ms. */
    fun maxWaitMs(call: ForwardedCall): Long {
        val remainingMs = call.deadlineAtMs - call.arrivedAtMs
        return minOf(call.route.objectiveMs / WAIT_DIVISOR, remainingMs / WAIT_DIVISOR)
    }

    /**
     * Returns the retry delay for the caller of a refused request, in ms, or null if too little
     * time is left for a retry. [jitter], from 0 to 1, spreads the retries. No endpoint takes the
     * request before [earliestMs], so that the delay ends later if the caller can wait so long.
     */
    fun retryAfterMs(
        call: ForwardedCall,
        jitter: Double,
        nowMs: Long,
        earliestMs: Long = nowMs
    ): Long? {
        val remainingMs = call.deadlineAtMs - nowMs
        val longestMs = remainingMs / WAIT_DIVISOR
        if (longestMs < MIN_RETRY_AFTER_MS) return null
        val usualMs = maxOf(MIN_RETRY_AFTER_MS, longestMs / MIN_RETRY_DIVISOR)
        val shortestMs = (earliestMs - nowMs).coerceIn(usualMs, longestMs)
        return shortestMs + ((longestMs - shortestMs) * jitter).toLong()
    }

    /**
     * Returns the retry delay for the caller of a request over its organisation's limit, in ms:
     * at least [waitMs], after which the bucket holds enough units if no other request takes them.
     * [jitter], from 0 to 1, spreads the retries over a third of the remaining time, since more
     * requests are refused than the bucket can serve at that moment.
     */
    fun quotaRetryAfterMs(call: ForwardedCall, waitMs: Long, jitter: Double, nowMs: Long): Long {
        val latestMs = maxOf(waitMs, (call.deadlineAtMs - nowMs) / WAIT_DIVISOR)
        return waitMs + ((latestMs - waitMs) * jitter).toLong()
    }

    /**
     * Share of an organisation's burst that must remain in the bucket after a request of [rank] is
     * admitted, so that the organisation's urgent requests are still admitted while it exceeds its
     * limit. All but small requests leave a reserve for small ones as well, which cost the limit
     * almost nothing: [costShare] is the share of the burst that the request costs.
     *
     * Load pattern: an organisation asks for several times its limit, most of it in long prompts.
     */
    fun reservedQuotaShare(rank: Int, costShare: Double): Double {
        if (costShare < SMALL_COST_SHARE) return 0.0
        val forSmall = RESERVED_FOR_SMALL_SHARE
        val forUrgent = RESERVED_QUOTA_SHARE_PER_RANK * rank.coerceIn(0, MAX_RESERVING_RANK)
        return maxOf(forSmall, forUrgent)
    }

    /**
     * What the bucket of an organisation must hold before a request of [urgency] takes its units,
     * by its [burst] and by the [excessUnits] by which all hosts together may exceed the limit.
     * [draw], from 0 to 1, spreads the demanded level: the share of requests that hosts admit falls
     * with the level and is steady where it meets the limit. Hosts see the use of others up to a
     * second late, and with a sharp threshold all would admit and refuse by turns.
     *
     * Load pattern: an organisation asks all hosts for several times its limit for seconds.
     */
    fun quotaReserve(
        urgency: QuotaUrgency,
        burst: Double,
        excessUnits: Double,
        draw: Double
    ): QuotaReserve {
        val overdraft = minOf(MAX_OVERDRAFT_BURSTS * burst, OVERDRAFT_EXCESS_SHARE * excessUnits)
        return when (urgency) {
            QuotaUrgency.Negligible -> QuotaReserve.Level(-overdraft * draw)

            is QuotaUrgency.Ranked -> {
                val rank = urgency.moreUrgentRanks.coerceAtMost(MAX_RESERVING_RANK)
                val reserved = rank * RESERVED_BURSTS_PER_RANK * burst
                val highest = FULL_ADMISSION_BURSTS * burst
                QuotaReserve.Level(reserved - overdraft + (highest + overdraft) * draw)
            }
        }
    }

    /** Limits of the overdraft; the rest of the excess is for units used between two reports. */
    private const val MAX_OVERDRAFT_BURSTS = 0.8
    private const val OVERDRAFT_EXCESS_SHARE = 0.4

    /** Level above which all requests of the most urgent rank are admitted. */
    private const val FULL_ADMISSION_BURSTS = 0.3
    private const val RESERVED_BURSTS_PER_RANK = 0.2

    private const val RESERVED_QUOTA_SHARE_PER_RANK = 0.12

    /**
     * At the limits of the deployments a request that states no tokens costs less, nearly all text
     * generations more.
     */
    private const val SMALL_COST_SHARE = 0.01

    /** Several small requests on each of many hosts, between two reports. */
    private const val RESERVED_FOR_SMALL_SHARE = 0.05

    /**
     * In bursts of twice the usual load a larger reserve hardly helps the most urgent rank, and
     * delays the other ranks (gateway-workloads, docs/experiments.md).
     */
    private const val RESERVED_SHARE = 0.22

    /** Work of a mean request of both deployments on the reference engine, in ms. */
    private const val MEAN_WORK_MS = 70.0

    /**
     * Reserve of half of the requests of any size, and the lower bound for all others. If small
     * requests needed less, they could keep the free share below what large ones need.
     */
    private const val ANY_SIZE_SCALE = 0.5

    /** Bounds on how the reserve grows with the request. */
    private const val MIN_SCALE = ANY_SIZE_SCALE
    private const val MAX_SCALE = 0.9

    /** Multiples of the golden ratio spread consecutive ids evenly over both halves. */
    private const val GOLDEN_RATIO_BITS = -0x61c8864680b583ebL

    /** Share of one request in a decode step of 3.1 ms with a batch of 13, in ms. */
    private const val OUTPUT_TOKEN_MS = 0.24
    private const val MAX_RESERVING_RANK = 3
    private const val TOP_RANK_QUEUE_LIMIT = 2

    /**
     * A request waits at most for a third of its objective, and its caller retries within a third
     * of the remaining time.
     */
    private const val WAIT_DIVISOR = 3

    /** A retry that comes sooner meets the same burst, in ms. */
    private const val MIN_RETRY_AFTER_MS = 100L

    /** Retries are spread over the last two thirds of the longest delay. */
    private const val MIN_RETRY_DIVISOR = 3
}

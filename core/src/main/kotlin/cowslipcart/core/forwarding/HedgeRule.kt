package cowslipcart.core.forwarding

import cowslipcart.core.model.PoolId
import cowslipcart.core.routing.RouteId

/**
 * Decides which requests are slow enough for a second copy at another endpoint, and limits the
 * copies to [maxShare] of the requests of their pool; 0 turns copies off. A host starts without an
 * allowance, so the copies of all hosts never exceed that share of their requests.
 *
 * Load pattern: endpoints that are slow for some hundred ms at a time, each on its own, while the
 * pool has free slots.
 */
internal class HedgeRule(private val maxShare: Double) {
    private val timesByKind = LinkedHashMap<Kind, KindTimes>(MAX_KINDS, LOAD_FACTOR, true)
    private val allowances = mutableMapOf<PoolId, Double>()

    /** Requests of one route with prompts of about the same size. */
    private data class Kind(val route: RouteId, val sizeClass: Int)

    /** What is known of the answers to one kind of request. */
    private class KindTimes {
        val times = AnswerTimes()

        /** Moving average of the share of answers that were slow when they came. */
        var slowShare = 0.0
    }

    /** Whether any copies may be sent. */
    val isEnabled: Boolean get() = maxShare > 0

    /** Counts a request that was admitted. */
    fun recordRequest(pool: PoolId) {
        if (!isEnabled) return
        allowances[pool] = minOf(MAX_ALLOWANCE, (allowances[pool] ?: 0.0) + maxShare)
    }

    /** The answer to [call] began [tookMs] after it was sent, or had not begun by then. */
    fun recordTime(call: ForwardedCall, tookMs: Long) {
        if (!isEnabled) return
        val known = timesOf(call)
        val sample = if (tookMs > slowAfterMs(call)) 1.0 else 0.0
        known.slowShare += (sample - known.slowShare) * SLOW_SHARE_WEIGHT
        known.times.add(tookMs)
    }

    /** Returns the time without an answer after which [call] is slow for its kind, in ms. */
    fun slowAfterMs(call: ForwardedCall): Long {
        val times = timesOf(call).times
        val objectiveMs = call.route.objectiveMs
        if (times.sampleCount < MIN_SAMPLES) return objectiveMs / UNKNOWN_DIVISOR
        val slowMs = minOf(
            times.quantileMs(SLOW_QUANTILE),
            times.quantileMs(MEDIAN) * SLOW_MEDIANS
        )
        return maxOf(slowMs, objectiveMs / SHORTEST_DIVISOR)
    }

    /** Whether so many answers to requests like [call] are slow that a copy would be slow too. */
    fun isMostlySlow(call: ForwardedCall): Boolean = timesOf(call).slowShare > MAX_SLOW_SHARE

    /** Whether the allowance of [pool] has a copy left. */
    fun hasAllowance(pool: PoolId): Boolean = (allowances[pool] ?: 0.0) >= 1

    /** Takes a copy from the allowance of [pool]. */
    fun spend(pool: PoolId) {
        allowances[pool] = (allowances[pool] ?: 0.0) - 1
    }

    private fun timesOf(call: ForwardedCall): KindTimes {
        val sizeClass = Int.SIZE_BITS - call.inputTokens.countLeadingZeroBits()
        val kind = Kind(call.route.id, sizeClass)
        timesByKind[kind]?.let { return it }
        if (timesByKind.size >= MAX_KINDS) timesByKind.remove(timesByKind.keys.first())
        return KindTimes().also { timesByKind[kind] = it }
    }

    private companion object {
        const val SLOW_QUANTILE = 0.95
        const val MEDIAN = 0.5

        /** Where more than 5 in 100 answers are slow, the quantile is the time of a slow answer. */
        const val SLOW_MEDIANS = 2

        /** With fewer samples the 95th percentile is the slowest one. */
        const val MIN_SAMPLES = 20

        /** Without samples, the copy has the other half of the objective. */
        const val UNKNOWN_DIVISOR = 2

        /** Answers this quick are on time anyway. */
        const val SHORTEST_DIVISOR = 8

        /** Six times the share that is slow by definition. */
        const val MAX_SLOW_SHARE = 0.3

        /** Half of the average comes from the last seven answers. */
        const val SLOW_SHARE_WEIGHT = 0.1

        /** A host that saves up more would send a burst of copies. */
        const val MAX_ALLOWANCE = 1.0

        /**
         * Configurations may have thousands of routes; the least recently used ones are dropped.
         */
        const val MAX_KINDS = 128
        const val LOAD_FACTOR = 0.75f
    }
}

package cowslipcart.core.capacity

import cowslipcart.core.model.OrganisationId
import kotlin.math.max
import kotlin.math.roundToInt

/**
 * Corrects the estimated output of requests by the actual output of earlier requests of the same
 * organisation. A shard serves one pool, so the correction is by organisation and pool.
 */
internal class OutputEstimator {
    private val totals = object : LinkedHashMap<OrganisationId, Totals>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<OrganisationId, Totals>): Boolean =
            size > MAX_ORGANISATIONS
    }

    /** Returns the expected output tokens of [request]. */
    fun estimate(request: CapacityRequest): Int {
        if (request.outputTokens <= 0) return 0
        val known = totals[request.organisation] ?: return request.outputTokens
        return max(1, (request.outputTokens * known.ratio()).roundToInt())
    }

    /** Records the output of a completed request that was estimated at [estimatedTokens]. */
    fun observe(organisation: OrganisationId, estimatedTokens: Int, actualTokens: Int) {
        if (estimatedTokens <= 0) return
        val known = totals.getOrPut(organisation) { Totals() }
        known.estimatedTokens = known.estimatedTokens * DECAY_FACTOR + estimatedTokens
        known.actualTokens = known.actualTokens * DECAY_FACTOR + actualTokens
    }

    private class Totals {
        var estimatedTokens = 0.0
        var actualTokens = 0.0

        // The prior keeps a few short answers from moving the estimate far.
        fun ratio(): Double = ((actualTokens + PRIOR_TOKENS) / (estimatedTokens + PRIOR_TOKENS))
            .coerceIn(MIN_RATIO, MAX_RATIO)
    }

    private companion object {
        const val MAX_ORGANISATIONS = 4_096
        const val DECAY_FACTOR = 0.95
        const val PRIOR_TOKENS = 200.0
        const val MIN_RATIO = 0.1
        const val MAX_RATIO = 10.0
    }
}

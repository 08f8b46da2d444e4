package cowslipcart.core.capacity

import cowslipcart.core.model.OrganisationId
import kotlin.math.max
import kotlin.math.roundToInt

/**
 * Corrects the estimated output of an organisation's requests by what earlier ones produced. A
 * shard serves one pool, so the correction is by organisation and pool.
 */
internal class OutputEstimator {
    private val totals = object : LinkedHashMap<OrganisationId, Totals>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<OrganisationId, Totals>): Boolean =
            size > MOST_ORGANISATIONS
    }

    /** Returns the output tokens to expect for [request]. */
    fun estimate(request: CapacityRequest): Int {
        if (request.outputTokens <= 0) return 0
        val known = totals[request.organisation] ?: return request.outputTokens
        return max(1, (request.outputTokens * known.ratio()).roundToInt())
    }

    /** Takes the output of a completed request that was estimated at [estimatedTokens]. */
    fun observe(organisation: OrganisationId, estimatedTokens: Int, actualTokens: Int) {
        if (estimatedTokens <= 0) return
        val known = totals.getOrPut(organisation) { Totals() }
        known.estimatedTokens = known.estimatedTokens * KEPT_SHARE + estimatedTokens
        known.actualTokens = known.actualTokens * KEPT_SHARE + actualTokens
    }

    private class Totals {
        var estimatedTokens = 0.0
        var actualTokens = 0.0

        // The prior keeps a few short answers from moving the estimate far.
        fun ratio(): Double = ((actualTokens + PRIOR_TOKENS) / (estimatedTokens + PRIOR_TOKENS))
            .coerceIn(LEAST_RATIO, MOST_RATIO)
    }

    private companion object {
        const val MOST_ORGANISATIONS = 4_096
        const val KEPT_SHARE = 0.95
        const val PRIOR_TOKENS = 200.0
        const val LEAST_RATIO = 0.1
        const val MOST_RATIO = 10.0
    }
}

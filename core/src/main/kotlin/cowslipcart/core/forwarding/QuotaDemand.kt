package cowslipcart.core.forwarding

import cowslipcart.core.model.PoolId

/** How a request compares with what its organisation asks for beside it. */
internal sealed interface QuotaUrgency {
    /** So small that it costs the limit almost nothing. */
    data object Negligible : QuotaUrgency

    /** The organisation sends requests of [moreUrgentRanks] more urgent ranks to the same pool. */
    data class Ranked(val moreUrgentRanks: Int) : QuotaUrgency
}

/** What one organisation has lately asked of this host, whether admitted or not. */
internal class QuotaDemand {
    private val askedAtMs = mutableMapOf<PoolId, MutableMap<Int, Long>>()

    /** Moving averages of the cost of a request and of its square. */
    private var meanCost = 0.0
    private var meanSquaredCost = 0.0

    /** Records a request of [cost] and [rank] for [pool], and returns how urgent it is. */
    fun onAsked(pool: PoolId, rank: Int, cost: Double, nowMs: Long): QuotaUrgency {
        meanCost += (cost - meanCost) * COST_WEIGHT
        meanSquaredCost += (cost * cost - meanSquaredCost) * COST_WEIGHT
        val ranks = askedAtMs.getOrPut(pool) { mutableMapOf() }
        ranks[rank] = nowMs
        // The size of the request to which a unit of the limit goes on average.
        val usualCost = meanSquaredCost / meanCost
        if (cost < usualCost * NEGLIGIBLE_COST_SHARE) return QuotaUrgency.Negligible
        return QuotaUrgency.Ranked(
            ranks.count { (other, atMs) -> other < rank && nowMs - atMs < REMEMBERED_MS }
        )
    }

    private companion object {
        /** Averages cover some twenty requests. */
        const val COST_WEIGHT = 0.05
        const val NEGLIGIBLE_COST_SHARE = 0.03

        /** A host gets a request of each rank of a small organisation within this time, in ms. */
        const val REMEMBERED_MS = 30_000L
    }
}

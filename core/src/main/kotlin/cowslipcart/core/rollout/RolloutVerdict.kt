package cowslipcart.core.rollout

import cowslipcart.core.routing.RouteId

/** What the answers say about the new version. */
public sealed interface Verdict {
    /** [missing] names a route with too little evidence; [isLikelyGood] if none is against it. */
    public data class Undecided(public val missing: String, public val isLikelyGood: Boolean) :
        Verdict

    /** Each route with traffic has been answered as well as by the earlier version. */
    public data object Good : Verdict

    /** The answers to [route] are worse by [property]; [evidence] has the figures. */
    public data class Bad(
        public val route: RouteId,
        public val property: AnswerProperty,
        public val evidence: String
    ) : Verdict
}

/**
 * Compares the answers of the new version with those of the earlier one at the same time, route by
 * route. A sequential probability ratio test (Wald) says when there is enough evidence for a step;
 * cumulative sums of the same ratios (Page) find a fault that begins later. The sums are also kept
 * without each cohort, so that one faulty endpoint does not condemn a version.
 */
internal class RolloutVerdict {
    private val comparisons = mutableMapOf<RouteId, Map<AnswerProperty, Comparison>>()
    private var bad: Verdict.Bad? = null

    /** Counts what a host added to the answers at [key] at [nowMs]. */
    fun onAnswers(key: EvidenceKey, added: AnswerCounts, nowMs: Long) {
        val byProperty = comparisons.getOrPut(key.route) {
            AnswerProperty.entries.associateWith { Comparison(limitsOf(it)) }
        }
        for ((property, comparison) in byProperty) {
            val tally = added[property]
            // Totals of hosts that restarted or were reordered may be below those before.
            if (tally.judged <= 0 || tally.bad < 0 || tally.bad > tally.judged) continue
            if (key.cohort == CohortId.EARLIER) {
                comparison.onEarlier(tally, nowMs)
            } else {
                comparison.onNew(key.cohort, tally)
                val isBad = comparison.isBad || (excessCount >= MOST_BAD && comparison.isSuspect)
                if (isBad && bad == null) {
                    bad = Verdict.Bad(key.route, property, comparison.evidence())
                }
            }
        }
    }

    /** Bad answers of the new version, of all hosts, by the property that shows most. */
    val badCount: Int
        get() = comparisons.values.sumOf { routes -> routes.values.maxOf { it.newTotal.bad } }

    /** Bad answers beyond those that the earlier version would have had. */
    private val excessCount: Double
        get() = comparisons.values.sumOf { routes -> routes.values.maxOf { it.excess } }

    /** Returns the verdict; one that is bad stays so. */
    fun judge(nowMs: Long): Verdict {
        bad?.let { return it }
        val active = comparisons.filterValues {
            it.getValue(AnswerProperty.FAILURE).isActive(nowMs)
        }
        if (active.isEmpty()) return Verdict.Undecided("any", isLikelyGood = false)
        for ((route, byProperty) in active) {
            val open = byProperty.entries.firstOrNull { !it.value.isAccepted } ?: continue
            val isLikelyGood = active.values.all { all -> all.values.all { it.isLikelyGood } }
            return Verdict.Undecided("$route ${open.key}: ${open.value.evidence()}", isLikelyGood)
        }
        return Verdict.Good
    }

    private fun limitsOf(property: AnswerProperty): Limits = when (property) {
        AnswerProperty.FAILURE -> Limits(leastRate = 0.01, difference = 0.08)

        // First parts and gaps vary more, and a slow version is slow in a good part of its answers.
        AnswerProperty.FIRST_PART, AnswerProperty.GAPS ->
            Limits(leastRate = 0.05, difference = 0.15)
    }

    private companion object {
        /**
         * With so many more bad answers a version is given up, even if one cohort had them all.
         * After 50 the time to the roll-back counts.
         */
        const val MOST_BAD = 35
    }
}

/**
 * @property leastRate least rate of bad answers that the earlier version is taken to have
 * @property difference by how much more of the answers of a bad version are bad
 */
private class Limits(val leastRate: Double, val difference: Double)

/** The answers to one route, compared by one property. */
private class Comparison(private val limits: Limits) {
    private var earlierJudged = 0.0
    private var earlierBad = 0.0
    private var earlierAtMs = Long.MIN_VALUE

    var newTotal = Tally()
        private set

    /** Bad answers beyond those of the earlier version's rate; forgets good times as [sum] does. */
    var excess = 0.0
        private set

    /** Logarithm of the ratio of the probabilities of all answers, bad version to good one. */
    private var ratio = 0.0

    private val cohorts = mutableSetOf<CohortId>()
    private var sum = 0.0
    private val sumWithout = DoubleArray(CohortId.COUNT)

    fun onEarlier(tally: Tally, nowMs: Long) {
        if (earlierAtMs != Long.MIN_VALUE) {
            val passedMs = (nowMs - earlierAtMs).coerceAtLeast(0)
            val kept = Math.exp(-passedMs / MEMORY_MS)
            earlierJudged *= kept
            earlierBad *= kept
        }
        earlierAtMs = nowMs
        earlierJudged += tally.judged
        earlierBad += tally.bad
    }

    fun onNew(cohort: CohortId, tally: Tally) {
        newTotal += tally
        cohorts += cohort
        // With few answers of the earlier version its rate is taken to be high.
        val rate = (earlierBad + PRIOR_BAD) / (earlierJudged + PRIOR_JUDGED)
        val goodRate = rate.coerceIn(limits.leastRate, MAX_RATE)
        val badRate = goodRate + limits.difference
        val change = tally.bad * Math.log(badRate / goodRate) +
            (tally.judged - tally.bad) * Math.log((1 - badRate) / (1 - goodRate))
        ratio += change
        excess = maxOf(0.0, excess + tally.bad - tally.judged * goodRate)
        sum = maxOf(0.0, sum + change)
        for (index in sumWithout.indices) {
            if (index != cohort.value) sumWithout[index] = maxOf(0.0, sumWithout[index] + change)
        }
    }

    val isBad: Boolean
        get() = if (cohorts.size < 2) sum >= SINGLE_LIMIT else sumWithout.min() >= SUM_LIMIT

    /** Whether the answers are bad with those of all cohorts, also of a faulty one. */
    val isSuspect: Boolean get() = sum >= SUM_LIMIT

    /** Whether all answers together speak for a good version, with no new trouble. */
    val isAccepted: Boolean
        get() = hasNoAnswers || (ratio <= ACCEPT_LIMIT && sum < TROUBLE_LIMIT)

    val isLikelyGood: Boolean
        get() = hasNoAnswers || (ratio <= LIKELY_LIMIT && sum < TROUBLE_LIMIT)

    private val hasNoAnswers: Boolean get() = newTotal.judged == 0 && earlierJudged < 1

    fun isActive(nowMs: Long): Boolean = newTotal.judged > 0 ||
        (earlierAtMs != Long.MIN_VALUE && nowMs - earlierAtMs < ACTIVE_MS)

    fun evidence(): String = "${newTotal.bad} of ${newTotal.judged} bad, before " +
        "${earlierBad.toInt()} of ${earlierJudged.toInt()}, ratio ${ratio.toInt()}, " +
        "sum ${sum.toInt()}, cohorts ${cohorts.size}"

    private companion object {
        /** Trouble that hits both versions counts as the earlier one's for about this long. */
        const val MEMORY_MS = 30_000.0
        const val PRIOR_BAD = 0.5
        const val PRIOR_JUDGED = 10.0
        const val MAX_RATE = 0.7

        /** Logarithm of the probability of accepting a bad version, 0.001. */
        const val ACCEPT_LIMIT = -6.9

        /** Some answers, and they speak for the version. */
        const val LIKELY_LIMIT = -1.0

        /** Exceeded by a good version about once in e^12 answers. */
        const val SUM_LIMIT = 12.0
        const val SINGLE_LIMIT = 18.0

        /** A sum above it needs an explanation before traffic is raised. */
        const val TROUBLE_LIMIT = 5.0

        /** A route without a request for that long is not waited for. */
        const val ACTIVE_MS = 15_000L
    }
}

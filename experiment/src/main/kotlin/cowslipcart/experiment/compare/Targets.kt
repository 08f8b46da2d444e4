package cowslipcart.experiment.compare

import cowslipcart.core.capacity.SchedulerPolicy
import cowslipcart.core.capacity.SchedulerPolicy.CowslipCart
import cowslipcart.experiment.result.ExperimentResult
import cowslipcart.experiment.sim.ALL_POLICIES
import cowslipcart.experiment.sim.policyName
import java.util.Locale

/**
 * One target on one workload. Values are medians over the seeds, except the sum of breaches.
 *
 * @property bound least or greatest permitted value of [actual], as [target] says
 * @property isHit whether [actual] is within [bound]
 * @property reference what [bound] is derived from; empty for a fixed bound
 */
public data class TargetResult(
    public val workload: String,
    public val target: String,
    public val bound: Double,
    public val actual: Double,
    public val isHit: Boolean,
    public val reference: String
)

/** Checks the targets that apply to the workload of [comparison]. */
public fun checkTargets(comparison: Comparison): List<TargetResult> = listOfNotNull(
    checkTopTierGoodput(comparison),
    checkTotalGoodput(comparison),
    checkWastedPrefill(comparison),
    checkSlowEngine(comparison),
    checkBreaches(comparison)
)

private fun checkTopTierGoodput(comparison: Comparison): TargetResult? {
    if (comparison.peakLoad != TOP_TIER_LOAD) return null
    val emptySystemGoodput =
        medianOf(comparison.emptySystem.map { goodputOfTopTier(comparison, it) })
    val actual = comparison.median(CowslipCart) { goodputOfTopTier(comparison, it) }
    val bound = TOP_TIER_SHARE * emptySystemGoodput
    return TargetResult(
        comparison.workload,
        "goodput of the top tier, 1/s, at least",
        bound,
        actual,
        actual >= bound,
        "95% of empty system"
    )
}

private fun checkTotalGoodput(comparison: Comparison): TargetResult {
    val bestBaseline = baselines.maxBy { policy ->
        comparison.median(policy) { it.totalGoodputPerS }
    }
    val bound = comparison.median(bestBaseline) { it.totalGoodputPerS }
    val actual = comparison.median(CowslipCart) { it.totalGoodputPerS }
    return TargetResult(
        comparison.workload,
        "total goodput, 1/s, at least",
        bound,
        actual,
        actual >= bound,
        bestBaseline.policyName
    )
}

private fun checkWastedPrefill(comparison: Comparison): TargetResult {
    val bestBaseline = baselines.minBy { policy -> comparison.median(policy, ::wastedTokens) }
    val bound = comparison.median(bestBaseline, ::wastedTokens) / WASTE_DIVISOR
    val actual = comparison.median(CowslipCart, ::wastedTokens)
    return TargetResult(
        comparison.workload,
        "wasted prefill, tokens, at most",
        bound,
        actual,
        actual <= bound,
        "a third of ${bestBaseline.policyName}"
    )
}

private fun checkSlowEngine(comparison: Comparison): TargetResult? {
    if (!comparison.hasSlowEngine) return null
    val p99 = { result: ExperimentResult -> topTier(comparison, result).ttftMs.p99.toDouble() }
    val bestBaseline = baselines.minBy { policy -> comparison.median(policy, p99) }
    val bound = comparison.median(bestBaseline, p99) / SLOW_ENGINE_DIVISOR
    val actual = comparison.median(CowslipCart, p99)
    return TargetResult(
        comparison.workload,
        "p99 first token of the top tier, ms, at most",
        bound,
        actual,
        actual <= bound,
        "a quarter of ${bestBaseline.policyName}"
    )
}

/** Sums over all seeds, since a median would hide a single breach. */
private fun checkBreaches(comparison: Comparison): TargetResult {
    val actual = comparison.runs.getValue(CowslipCart.policyName)
        .sumOf { it.shedRuleBreaches + it.dispatchBreaches }
    return TargetResult(
        comparison.workload,
        "breaches, sum of all seeds",
        0.0,
        actual.toDouble(),
        actual == 0,
        ""
    )
}

/** Renders the targets of all [comparisons] as a Markdown table. */
public fun buildTable(comparisons: List<Comparison>): String = buildString {
    appendLine("| workload | target | bound | reference | cowslipcart | |")
    appendLine("|---|---|---|---|---|---|")
    for (result in comparisons.flatMap(::checkTargets)) {
        val bound = formatValue(result.bound)
        val actual = formatValue(result.actual)
        val verdict = if (result.isHit) "hit" else "MISS"
        appendLine(
            "| ${result.workload} | ${result.target} | $bound | ${result.reference} " +
                "| $actual | $verdict |"
        )
    }
}

private fun goodputOfTopTier(comparison: Comparison, result: ExperimentResult): Double =
    topTier(comparison, result).goodputPerS

private fun topTier(comparison: Comparison, result: ExperimentResult) =
    result.tiers.getValue(comparison.topTier)

private fun wastedTokens(result: ExperimentResult): Double = result.prefill.wastedTokens.toDouble()

private fun formatValue(value: Double): String = String.format(Locale.ROOT, "%.2f", value)

private val baselines: List<SchedulerPolicy> = ALL_POLICIES - CowslipCart

private const val TOP_TIER_LOAD = 1.5
private const val TOP_TIER_SHARE = 0.95
private const val WASTE_DIVISOR = 3
private const val SLOW_ENGINE_DIVISOR = 4

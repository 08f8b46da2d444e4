package cowslipcart.experiment.workload

/**
 * Requests a second that the engines of a workload can answer, by the formula in
 * `docs/experiments.md`: for each engine one request takes (mean prompt tokens to read / prefill
 * rate) + (mean output tokens / (slots x decode rate of a stream)) seconds; the rates add up.
 */
public fun Workload.capacityPerS(): Double {
    val prefillTokens = tiers.sumOf { it.share * meanPrefillTokens(it) }
    val outputTokens = tiers.sumOf { it.share * it.outputTokens.mean }
    return engines.sumOf { group ->
        val busyS = prefillTokens / group.prefillTokensPerS +
            outputTokens / (group.slotCount * group.decodeTokensPerS)
        group.count / busyS
    }
}

private fun Workload.meanPrefillTokens(tier: TierLoad): Double {
    val longTokens = prompts.questionTokens.mean +
        (1 - prompts.assumedReuse) * prompts.historyTokens.mean
    return (1 - tier.longShare) * prompts.chatTokens.mean + tier.longShare * longTokens
}

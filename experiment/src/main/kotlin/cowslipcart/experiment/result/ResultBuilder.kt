package cowslipcart.experiment.result

import cowslipcart.experiment.check.findDispatchBreaches
import cowslipcart.experiment.check.findShedRuleBreaches
import cowslipcart.experiment.sim.Outcome
import cowslipcart.experiment.sim.RequestRecord
import cowslipcart.experiment.sim.RunRecorder
import cowslipcart.experiment.workload.TierLoad
import cowslipcart.experiment.workload.Workload
import cowslipcart.experiment.workload.capacityPerS
import java.math.BigDecimal
import java.math.RoundingMode
import org.HdrHistogram.Histogram

/** Computes the result of a run from the records and the trace of [recorder]. */
internal fun buildResult(
    workload: Workload,
    policyName: String,
    seed: Long,
    recorder: RunRecorder
): ExperimentResult {
    val records = recorder.records.values
    return ExperimentResult(
        workload = workload.name,
        policy = policyName,
        seed = seed,
        capacityPerS = roundRate(workload.capacityPerS()),
        durationMs = workload.durationMs,
        tiers = workload.tiers.associate { tier ->
            val ofTier = records.filter { it.arrival.tier.tier == tier.tier }
            tier.name to buildTier(workload, tier, ofTier, recorder)
        },
        prefill = buildPrefill(records),
        decisions = recorder.decisionCount,
        controlBytes = recorder.controlBytes,
        shedRuleBreaches = findShedRuleBreaches(recorder.trace).size,
        dispatchBreaches = findDispatchBreaches(recorder.trace).size
    )
}

private fun buildPrefill(records: Collection<RequestRecord>): PrefillResult {
    val (answered, unanswered) = records.partition { it.outcome == Outcome.Answered }
    return PrefillResult(
        readTokens = records.sumOf { it.readTokens },
        reusedTokens = records.sumOf { it.reusedTokens },
        wastedTokens = records.sumOf { it.wastedTokens },
        wastedByCause = mapOf(
            "cached_elsewhere" to answered.sumOf { it.missedCacheTokens },
            "read_again" to answered.sumOf { it.wastedTokens - it.missedCacheTokens },
            "not_answered" to unanswered.sumOf { it.wastedTokens }
        )
    )
}

private fun buildTier(
    workload: Workload,
    tier: TierLoad,
    records: List<RequestRecord>,
    recorder: RunRecorder
): TierResult {
    val answeredInTime = records.count { it.isInTime }.toLong()
    val refusals = records.mapNotNull { refusalReason(it) }.groupingBy { it }.eachCount()
    val gaps = records.firstOrNull()?.let { recorder.tokenGaps(it.arrival) }
    return TierResult(
        offered = records.size.toLong(),
        answeredInTime = answeredInTime,
        goodputPerS = roundRate(answeredInTime * MS_PER_S / workload.durationMs),
        shed = (refusals[SHARD_FULL] ?: 0) + (refusals[EXPIRED_WAITING] ?: 0).toLong(),
        refusedByReason = refusals.toSortedMap().mapValues { it.value.toLong() },
        gaveWay = records.sumOf { it.gaveWayCount.toLong() },
        ttftMs = percentiles(firstTokenTimes(tier, records)),
        tokenGapMs = gaps?.let(::percentiles) ?: Percentiles(0, 0, 0)
    )
}

private fun refusalReason(record: RequestRecord): String? = when (val outcome = record.outcome) {
    is Outcome.Refused -> outcome.reason.name.lowercase()
    Outcome.ExpiredWaiting -> EXPIRED_WAITING
    Outcome.Answered, Outcome.MissedDeadline, Outcome.Unknown, Outcome.Lost, null -> null
}

/**
 * Times to first token. A request whose deadline passed without a token counts with its deadline,
 * so that a policy does not look faster for never answering.
 */
private fun firstTokenTimes(tier: TierLoad, records: List<RequestRecord>): Histogram {
    val histogram = Histogram(RunRecorder.HISTOGRAM_DIGITS)
    for (record in records) {
        val hasMissed = record.outcome == Outcome.MissedDeadline ||
            record.outcome == Outcome.ExpiredWaiting
        (record.ttftMs ?: tier.deadlineMs.takeIf { hasMissed })?.let(histogram::recordValue)
    }
    return histogram
}

private fun percentiles(histogram: Histogram): Percentiles = Percentiles(
    p50 = histogram.getValueAtPercentile(50.0),
    p95 = histogram.getValueAtPercentile(95.0),
    p99 = histogram.getValueAtPercentile(99.0)
)

private fun roundRate(value: Double): Double =
    BigDecimal.valueOf(value).setScale(RATE_DECIMALS, RoundingMode.HALF_EVEN).toDouble()

private const val SHARD_FULL = "shard_full"
private const val EXPIRED_WAITING = "expired_waiting"
private const val MS_PER_S = 1000.0
private const val RATE_DECIMALS = 3

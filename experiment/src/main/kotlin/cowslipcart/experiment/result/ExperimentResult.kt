package cowslipcart.experiment.result

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Result of one run; `docs/experiments.md` documents each field with its unit. */
@Serializable
public data class ExperimentResult(
    public val workload: String,
    public val policy: String,
    public val seed: Long,
    @SerialName("capacity_per_s") public val capacityPerS: Double,
    @SerialName("duration_ms") public val durationMs: Long,
    public val tiers: Map<String, TierResult>,
    public val prefill: PrefillResult,
    public val decisions: Long,
    @SerialName("control_bytes") public val controlBytes: Long,
    @SerialName("shed_rule_breaches") public val shedRuleBreaches: Int,
    @SerialName("dispatch_breaches") public val dispatchBreaches: Int
) {
    /** Goodput of all tiers, answers a second. */
    public val totalGoodputPerS: Double
        get() = tiers.values.sumOf { it.goodputPerS }
}

/**
 * Result of one tier.
 *
 * @property answeredInTime answers that met the targets for the first token and the token gap
 * @property shed requests refused for lack of capacity or expired while they waited
 * @property gaveWay preemptions; a request can be preempted several times
 */
@Serializable
public data class TierResult(
    public val offered: Long,
    @SerialName("answered_in_time") public val answeredInTime: Long,
    @SerialName("goodput_per_s") public val goodputPerS: Double,
    public val shed: Long,
    @SerialName("refused_by_reason") public val refusedByReason: Map<String, Long>,
    @SerialName("gave_way") public val gaveWay: Long,
    @SerialName("ttft_ms") public val ttftMs: Percentiles,
    @SerialName("token_gap_ms") public val tokenGapMs: Percentiles
)

/** Percentiles in milliseconds; 0 without samples. */
@Serializable
public data class Percentiles(public val p50: Long, public val p95: Long, public val p99: Long)

/**
 * Prompt tokens of all requests.
 *
 * @property readTokens tokens that engines read
 * @property reusedTokens tokens that engines took from their caches
 * @property wastedTokens tokens that were read without use
 * @property wastedByCause parts of [wastedTokens]
 */
@Serializable
public data class PrefillResult(
    @SerialName("read_tokens") public val readTokens: Long,
    @SerialName("reused_tokens") public val reusedTokens: Long,
    @SerialName("wasted_tokens") public val wastedTokens: Long,
    @SerialName("wasted_by_cause") public val wastedByCause: Map<String, Long> = emptyMap()
)

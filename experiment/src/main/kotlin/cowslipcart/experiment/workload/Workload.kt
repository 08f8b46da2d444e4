package cowslipcart.experiment.workload

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.Tier
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One workload file; `docs/experiments.md` documents the format.
 *
 * @property durationMs arrivals stop after this time; the run ends when the last request has ended
 * @property hosts number of origin hosts
 */
@Serializable
public data class Workload(
    public val name: String,
    public val description: String,
    public val durationMs: Long,
    public val hosts: Int,
    public val delays: Delays,
    public val reports: Reports,
    public val engines: List<EngineGroup>,
    public val tiers: List<TierLoad>,
    public val organisations: List<OrganisationLoad>,
    public val prompts: Prompts,
    public val load: Load,
    public val reservedShare: Double = 0.0,
    public val faults: List<Fault> = emptyList()
) {
    /** Identifiers of all engines, in the order of the groups. */
    public val endpointIds: List<EndpointId>
        get() = engines.flatMap { it.endpointIds }
}

/** One-way delays in milliseconds. */
@Serializable
public data class Delays(public val hostToOwnerMs: Long, public val hostToEngineMs: Long)

/**
 * Reports of the engines.
 *
 * @property intervalMs time between two polls of an engine's load
 * @property lagMs age of a load report when the scheduler receives it
 * @property cacheLagMs age of a cache event when the scheduler receives it
 * @property cacheLossShare share of cache events that are lost, from 0.0 to 1.0
 */
@Serializable
public data class Reports(
    public val intervalMs: Long,
    public val lagMs: Long,
    public val cacheLagMs: Long,
    public val cacheLossShare: Double
)

/**
 * Engines of one generation; the endpoint ids are `<generation>-1` to `<generation>-<count>`. A
 * step of an engine with `d` streams that generate and `p` prompt tokens to read lasts
 * `baseStepUs + d * sequenceStepUs + p * prefillTokenUs`.
 *
 * @property slotCount declared number of requests that may run at once
 * @property budgetTokens declared limit of the outstanding tokens of all running requests
 * @property prefillTokensPerStep prompt tokens that one step reads at most
 * @property cacheTokens size of the prompt prefix cache of one engine
 * @property resumeHandleMs how long a cancelled stream can be resumed
 */
@Serializable
public data class EngineGroup(
    public val generation: String,
    public val count: Int,
    public val slotCount: Int,
    public val budgetTokens: Long,
    public val baseStepUs: Long,
    public val sequenceStepUs: Long,
    public val prefillTokenUs: Long,
    public val prefillTokensPerStep: Int,
    public val cacheTokens: Long,
    public val canResume: Boolean = true,
    public val resumeHandleMs: Long = 60_000
) {
    /** Identifiers of the engines of this group. */
    public val endpointIds: List<EndpointId>
        get() = (1..count).map { EndpointId("$generation-$it") }

    /** Prompt tokens that one engine reads a second when it does nothing else. */
    public val prefillTokensPerS: Double
        get() = 1e6 / prefillTokenUs

    /** Tokens a second of one stream when all slots generate and no prompt is read. */
    public val decodeTokensPerS: Double
        get() = 1e6 / (baseStepUs + slotCount * sequenceStepUs)
}

/** Log-uniform distribution of lengths in tokens from [min] to [max], both included. */
@Serializable
public data class TokenRange(public val min: Int, public val max: Int) {
    /** Mean of the distribution. */
    public val mean: Double
        get() = if (min == max) min.toDouble() else (max - min) / ln(max.toDouble() / min)

    /** Draws one length. */
    public fun draw(random: Random): Int =
        exp(ln(min.toDouble()) + random.nextDouble() * ln(max.toDouble() / min)).toInt()
            .coerceIn(min, max)
}

/**
 * Requests of one tier.
 *
 * @property share share of all arrivals; the shares of all tiers add up to 1
 * @property longShare share of the tier's requests that carry a customer history
 * @property maxQueued requests of the tier that may wait at the shard
 */
@Serializable
public data class TierLoad(
    @SerialName("rank")
    @Serializable(with = TierSerializer::class)
    public val tier: Tier,
    public val name: String,
    public val share: Double,
    public val firstTokenTargetMs: Long,
    public val tokenGapTargetMs: Long,
    public val deadlineMs: Long,
    public val outputTokens: TokenRange,
    public val longShare: Double,
    public val isInterruptible: Boolean,
    public val maxQueued: Int
)

/** Requests of one organisation: its share of all arrivals and its fair-share weight. */
@Serializable
public data class OrganisationLoad(
    @Serializable(with = OrganisationIdSerializer::class)
    public val id: OrganisationId,
    public val share: Double,
    public val weight: Double = 1.0
)

/**
 * Prompt lengths.
 *
 * @property chatTokens whole prompt of a short request
 * @property historyTokens shared history of one customer, at the start of each long prompt
 * @property questionTokens part of a long prompt that follows the history
 * @property customersPerOrganisation customers of each organisation; each has one history
 * @property assumedReuse share of history tokens that the capacity formula takes as cached
 */
@Serializable
public data class Prompts(
    public val chatTokens: TokenRange,
    public val historyTokens: TokenRange,
    public val questionTokens: TokenRange,
    public val customersPerOrganisation: Int,
    public val assumedReuse: Double
)

/** Poisson arrivals at [base] times the capacity, except during [bursts]. */
@Serializable
public data class Load(public val base: Double, public val bursts: List<Burst> = emptyList())

/** Arrivals at [load] times the capacity from [fromMs] until [untilMs]. */
@Serializable
public data class Burst(public val fromMs: Long, public val untilMs: Long, public val load: Double)

/** A fault during the run. */
@Serializable
public sealed interface Fault {
    /** Makes [endpoint] slower by [factor] from [fromMs] until [untilMs]. */
    @Serializable
    @SerialName("slow-engine")
    public data class SlowEngine(
        @Serializable(with = EndpointIdSerializer::class)
        public val endpoint: EndpointId,
        public val fromMs: Long,
        public val untilMs: Long,
        public val factor: Double
    ) : Fault

    /** Kills the origin host with this number, counted from 1. Host 1 owns the shard. */
    @Serializable
    @SerialName("kill-host")
    public data class KillHost(public val host: Int, public val atMs: Long) : Fault
}

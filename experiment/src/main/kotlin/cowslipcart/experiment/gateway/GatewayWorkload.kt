package cowslipcart.experiment.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import cowslipcart.experiment.workload.WorkloadError
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.random.Random
import kotlinx.serialization.Serializable

/**
 * A workload file for gateways in front of one pool of engines.
 *
 * @property durationMs arrivals stop after this time; the run ends with the last request
 * @property hosts number of gateways; each attempt of a caller goes to a random one
 * @property networkMs one-way delay between a gateway and an engine, and between gateways
 */
@Serializable
public data class GatewayWorkload(
    public val name: String,
    public val description: String,
    public val durationMs: Long,
    public val hosts: Int,
    public val networkMs: Long,
    public val engines: EngineSheet,
    public val kinds: List<RequestKind>,
    public val bursts: List<Burst> = emptyList(),
    public val notices: List<EngineNotice> = emptyList(),
    public val crashes: List<EngineCrash> = emptyList()
)

/**
 * Engines of the pool. Times hold for an engine of speed 1.0.
 *
 * @property speeds relative speed of each engine
 * @property slots requests that run at once
 * @property queue requests that wait for a slot; more are declined
 * @property stepMs base time of a step, without prefill
 * @property slotStepMs added for each running request
 * @property contextMsPerK added for each thousand context tokens of the running requests
 * @property prefillTokensPerMs prompt tokens prefilled in a ms
 * @property pairMsPerM added for each million pairs of a prompt token and an earlier token
 * @property chunkTokens prompt tokens that a step prefills at most
 * @property firstMs added to the step in which the prefill of a request starts
 * @property tokensPerEvent tokens in one event of a stream
 * @property noise other work on the machines of the engines, which then state their slowness; null
 * if no machine is shared
 */
@Serializable
public data class EngineSheet(
    public val speeds: List<Double>,
    public val slots: Int,
    public val queue: Int,
    public val stepMs: Double,
    public val slotStepMs: Double,
    public val contextMsPerK: Double,
    public val prefillTokensPerMs: Double,
    public val pairMsPerM: Double,
    public val chunkTokens: Int,
    public val firstMs: Double,
    public val tokensPerEvent: Int,
    public val noise: MachineNoise? = null
)

/**
 * Other work on the machine of an engine: in each period of [periodMs] it slows the engine by
 * [factor], with the probability [share].
 */
@Serializable
public data class MachineNoise(
    public val share: Double,
    public val factor: Double,
    public val periodMs: Long
)

/**
 * One kind of request.
 *
 * @property rank rank of the tier; 0 is the most urgent
 * @property objectiveMs latest time of the first event, from the arrival
 * @property gapTargetMs longest gap between two events of a stream on time
 * @property worth worth of an answer on time, for a request of mean size
 * @property lateWorth the same of a late answer
 * @property retries how often a caller retries after a refusal
 * @property hintSpread sigma of the log-normal error of the output length that callers state
 */
@Serializable
public data class RequestKind(
    public val name: String,
    public val rank: Int,
    public val ratePerS: Double,
    public val inputTokens: SizeSpread,
    public val outputEvents: SizeSpread,
    public val objectiveMs: Long,
    public val gapTargetMs: Long,
    public val deadlineMs: Long,
    public val worth: Double,
    public val lateWorth: Double,
    public val maxAttempts: Int,
    public val isResumable: Boolean,
    public val retries: Int = 1,
    public val hintSpread: Double = 0.5
)

/** Log-normal distribution of sizes with this [mean] and sigma [spread], capped at [max]. */
@Serializable
public data class SizeSpread(
    public val mean: Double,
    public val spread: Double,
    public val max: Double
) {
    internal fun draw(random: Random): Double =
        minOf(max, exp(ln(mean) - spread * spread / 2 + spread * random.nextGaussian()))
}

/** Multiplies the arrival rate of [kind] by [factor], or that of all kinds if it is null. */
@Serializable
public data class Burst(
    public val fromMs: Long,
    public val untilMs: Long,
    public val factor: Double,
    public val kind: String? = null
)

/**
 * What an engine says in its answers from [atMs] on.
 *
 * @property engine index of the engine
 * @property backoffMs time for which it refuses all requests and wants none; 0 if it leaves instead
 */
@Serializable
public data class EngineNotice(
    public val engine: Int,
    public val atMs: Long,
    public val backoffMs: Long = 0
)

/** The first [engines] of the pool accept no connection between [atMs] and [untilMs]. */
@Serializable
public data class EngineCrash(
    public val engines: Int,
    public val atMs: Long,
    public val untilMs: Long
)

/** Parses the text of a workload file for gateways. */
public fun parseGatewayWorkload(text: String): Either<WorkloadError, GatewayWorkload> = try {
    val workload = Yaml.default.decodeFromString(GatewayWorkload.serializer(), text)
    when {
        workload.hosts < 1 -> WorkloadError.Invalid("hosts", "at least 1", "${workload.hosts}")
            .left()

        workload.engines.speeds.isEmpty() ->
            WorkloadError.Invalid("engines.speeds", "at least one", "none").left()

        else -> workload.right()
    }
} catch (e: YamlException) {
    WorkloadError.Malformed(e.line, e.message).left()
}

/** Standard normal value by the polar method. */
internal fun Random.nextGaussian(): Double {
    while (true) {
        val x = nextDouble(-1.0, 1.0)
        val y = nextDouble(-1.0, 1.0)
        val square = x * x + y * y
        if (square > 0 && square < 1) return x * sqrt(-2 * ln(square) / square)
    }
}

package cowslipcart.experiment.compare

import cowslipcart.core.capacity.SchedulerPolicy
import cowslipcart.experiment.result.ExperimentResult
import cowslipcart.experiment.runExperiment
import cowslipcart.experiment.sim.ALL_POLICIES
import cowslipcart.experiment.sim.policyName
import cowslipcart.experiment.workload.Fault
import cowslipcart.experiment.workload.Workload
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * All runs of one workload.
 *
 * @property peakLoad highest offered load, as a multiple of the capacity
 * @property topTier name of the most urgent tier
 * @property emptySystem one run for each seed, with the arrivals of the top tier only
 * @property runs results of each policy by its name, one for each seed
 */
@Serializable
public data class Comparison(
    public val workload: String,
    public val peakLoad: Double,
    public val hasSlowEngine: Boolean,
    public val topTier: String,
    public val emptySystem: List<ExperimentResult>,
    public val runs: Map<String, List<ExperimentResult>>
) {
    /** Median over the seeds of [value] of the runs of [policy]. */
    public fun median(policy: SchedulerPolicy, value: (ExperimentResult) -> Double): Double =
        medianOf(runs.getValue(policy.policyName).map(value))
}

/** Runs [workload] with seeds 1 to [seedCount] under all policies. */
public fun compareWorkload(workload: Workload, seedCount: Int): Comparison {
    val seeds = 1L..seedCount
    val topTier = workload.tiers.minBy { it.tier }
    return Comparison(
        workload = workload.name,
        peakLoad = (workload.load.bursts.map { it.load } + workload.load.base).max(),
        hasSlowEngine = workload.faults.any { it is Fault.SlowEngine },
        topTier = topTier.name,
        emptySystem = seeds.map {
            runExperiment(workload, SchedulerPolicy.CowslipCart, it, topTier.tier)
        },
        runs = ALL_POLICIES.associate { policy ->
            policy.policyName to seeds.map { runExperiment(workload, policy, it) }
        }
    )
}

/** Runs [tasks] on at most [MAX_THREADS] threads and returns their results in order. */
public fun <T> runInParallel(tasks: List<() -> T>): List<T> {
    val executor = Executors.newFixedThreadPool(MAX_THREADS)
    return try {
        executor.invokeAll(tasks.map { Callable { it() } }).map { it.get() }
    } finally {
        executor.shutdown()
    }
}

/** Encodes [comparison] as JSON. */
public fun encodeComparison(comparison: Comparison): String =
    Json.encodeToString(Comparison.serializer(), comparison)

/** Decodes what [encodeComparison] wrote. */
public fun decodeComparison(text: String): Comparison =
    Json.decodeFromString(Comparison.serializer(), text)

internal fun medianOf(values: List<Double>): Double {
    val sorted = values.sorted()
    val middle = sorted.size / 2
    return if (sorted.size % 2 == 1) sorted[middle] else (sorted[middle - 1] + sorted[middle]) / 2
}

private const val MAX_THREADS = 5

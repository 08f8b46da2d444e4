package cowslipcart.experiment

import cowslipcart.core.capacity.SchedulerPolicy
import cowslipcart.core.capacity.createShardScheduler
import cowslipcart.core.model.Tier
import cowslipcart.experiment.check.findDispatchBreaches
import cowslipcart.experiment.check.findShedRuleBreaches
import cowslipcart.experiment.result.ExperimentResult
import cowslipcart.experiment.result.buildResult
import cowslipcart.experiment.sim.RunRecorder
import cowslipcart.experiment.sim.SchedulerFactory
import cowslipcart.experiment.sim.policyName
import cowslipcart.experiment.sim.simulate
import cowslipcart.experiment.workload.Workload
import cowslipcart.experiment.workload.generateArrivals

/** Creates the production scheduler of `core`. */
internal val coreSchedulerFactory: SchedulerFactory = SchedulerFactory(::createShardScheduler)

/**
 * Runs [workload] under [policy] with [seed] in virtual time.
 *
 * @param onlyTier if given, only the arrivals of this tier, at the same times as with all tiers
 */
public fun runExperiment(
    workload: Workload,
    policy: SchedulerPolicy,
    seed: Long,
    onlyTier: Tier? = null,
    factory: SchedulerFactory = coreSchedulerFactory
): ExperimentResult {
    val recorder = runSimulation(workload, policy, seed, onlyTier, factory)
    return buildResult(workload, policy.policyName, seed, recorder)
}

/** Runs like [runExperiment] and returns the trace and then the breaches found in it, as text. */
internal fun traceExperiment(
    workload: Workload,
    policy: SchedulerPolicy,
    seed: Long,
    onlyTier: Tier?
): List<String> {
    val trace = runSimulation(workload, policy, seed, onlyTier, coreSchedulerFactory).trace
    return (trace + findShedRuleBreaches(trace) + findDispatchBreaches(trace)).map { "$it" }
}

private fun runSimulation(
    workload: Workload,
    policy: SchedulerPolicy,
    seed: Long,
    onlyTier: Tier?,
    factory: SchedulerFactory
): RunRecorder {
    val arrivals = generateArrivals(workload, seed)
        .filter { onlyTier == null || it.tier.tier == onlyTier }
    return simulate(workload, arrivals, policy, seed, factory)
}

package cowslipcart.experiment.sim

import cowslipcart.core.capacity.SchedulerPolicy
import cowslipcart.core.capacity.ShardConfig
import cowslipcart.core.capacity.ShardScheduler
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.TierPolicy
import cowslipcart.core.model.TierSpec
import cowslipcart.experiment.workload.EngineGroup
import cowslipcart.experiment.workload.Workload
import kotlin.random.Random

/** Creates the scheduler under test; tests replace it by a faulty one. */
public fun interface SchedulerFactory {
    /** Creates a scheduler; [rebuild] is true for one that replaces a lost owner. */
    public fun create(
        policy: SchedulerPolicy,
        config: ShardConfig,
        random: Random,
        rebuild: Boolean
    ): ShardScheduler
}

/** Name of the policy on the command line and in results. */
public val SchedulerPolicy.policyName: String
    get() = when (this) {
        SchedulerPolicy.RoundRobin -> "round-robin"
        SchedulerPolicy.LeastReportedLoad -> "least-reported-load"
        SchedulerPolicy.TwoRandomChoices -> "two-random-choices"
        SchedulerPolicy.CowslipCart -> "cowslipcart"
    }

/** Whether one scheduler serves all hosts; the baselines run on each host independently. */
internal val SchedulerPolicy.isShared: Boolean
    get() = when (this) {
        SchedulerPolicy.RoundRobin,
        SchedulerPolicy.LeastReportedLoad,
        SchedulerPolicy.TwoRandomChoices -> false

        SchedulerPolicy.CowslipCart -> true
    }

/** All policies, baselines first. */
public val ALL_POLICIES: List<SchedulerPolicy> = listOf(
    SchedulerPolicy.RoundRobin,
    SchedulerPolicy.LeastReportedLoad,
    SchedulerPolicy.TwoRandomChoices,
    SchedulerPolicy.CowslipCart
)

/** Configuration of the one shard of [workload]. */
internal fun shardConfig(workload: Workload): ShardConfig = ShardConfig(
    shard = ShardId(MODEL_POOL, 0),
    endpoints = workload.engines.flatMap(::endpointSpecs),
    unavailable = emptySet(),
    tiers = workload.tiers.associate {
        it.tier to TierSpec(it.tier, it.name, it.firstTokenTargetMs, it.tokenGapTargetMs)
    },
    preset = PresetSpec(
        name = PresetName(workload.name),
        tiers = workload.tiers.associate { it.tier to TierPolicy(1.0, it.maxQueued) },
        reservedShare = workload.reservedShare
    ),
    weights = workload.organisations.associate { it.id to it.weight }
)

private fun endpointSpecs(group: EngineGroup): List<EndpointSpec> =
    group.endpointIds.mapIndexed { index, id ->
        EndpointSpec(
            id = id,
            pool = MODEL_POOL,
            address = "127.0.0.1:${FIRST_PORT + index}",
            domain = DomainId("d1"),
            slotCount = group.slotCount,
            budgetTokens = group.budgetTokens,
            prefillTokensPerS = group.prefillTokensPerS,
            decodeTokensPerS = group.decodeTokensPerS,
            cacheTokens = group.cacheTokens,
            canResume = group.canResume,
            checksFencing = true
        )
    }

/** The address is a required field of the declaration; nothing connects to it. */
private const val FIRST_PORT = 8_101

package cowslipcart.experiment

import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.Tier
import cowslipcart.experiment.workload.Burst
import cowslipcart.experiment.workload.Delays
import cowslipcart.experiment.workload.EngineGroup
import cowslipcart.experiment.workload.Load
import cowslipcart.experiment.workload.OrganisationLoad
import cowslipcart.experiment.workload.Prompts
import cowslipcart.experiment.workload.Reports
import cowslipcart.experiment.workload.TierLoad
import cowslipcart.experiment.workload.TokenRange
import cowslipcart.experiment.workload.Workload

/** Ten seconds with two engines of different speeds, overloaded for four seconds. */
internal val SMALL_WORKLOAD = Workload(
    name = "small",
    description = "Two engines.",
    durationMs = 10_000,
    hosts = 3,
    delays = Delays(hostToOwnerMs = 1, hostToEngineMs = 1),
    reports = Reports(500, lagMs = 300, cacheLagMs = 1_000, cacheLossShare = 0.05),
    engines = listOf(
        EngineGroup("fast", 1, 8, 50_000, 6_000, 300, 40, 1_024, 131_072),
        EngineGroup("slow", 1, 4, 25_000, 12_000, 900, 160, 224, 65_536)
    ),
    tiers = listOf(
        tierLoad(0, "top", isInterruptible = false),
        tierLoad(1, "bulk", isInterruptible = true)
    ),
    organisations = listOf(OrganisationLoad(OrganisationId("large"), 1.0)),
    prompts = Prompts(
        TokenRange(50, 500),
        TokenRange(2_000, 4_000),
        TokenRange(50, 300),
        customersPerOrganisation = 3,
        assumedReuse = 0.5
    ),
    load = Load(0.6, listOf(Burst(3_000, 7_000, 2.5)))
)

private fun tierLoad(rank: Int, name: String, isInterruptible: Boolean) = TierLoad(
    tier = Tier(rank),
    name = name,
    share = 0.5,
    firstTokenTargetMs = 930,
    tokenGapTargetMs = 67,
    deadlineMs = 8_000,
    outputTokens = TokenRange(20, 100),
    longShare = 0.2,
    isInterruptible = isInterruptible,
    maxQueued = 20
)

package cowslipcart.core.capacity

import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierPolicy
import kotlin.random.Random

internal val POOL = PoolId("sizing")

/** Endpoint that by default processes 1 prompt token or 1/20 output token per millisecond. */
internal fun endpoint(
    id: String,
    slots: Int = 2,
    budgetTokens: Long = 100_000,
    prefillPerS: Double = 1_000.0,
    decodePerS: Double = 50.0,
    canResume: Boolean = true
) = EndpointSpec(
    id = EndpointId(id),
    pool = POOL,
    address = "127.0.0.1:8101",
    domain = DomainId("fukuoka"),
    slotCount = slots,
    budgetTokens = budgetTokens,
    prefillTokensPerS = prefillPerS,
    decodeTokensPerS = decodePerS,
    cacheTokens = 64_000,
    canResume = canResume,
    checksFencing = false
)

internal fun config(
    vararg endpoints: EndpointSpec,
    unavailable: Set<String> = emptySet(),
    maxQueued: Int = 100,
    reservedShare: Double = 0.0,
    weights: Map<String, Double> = emptyMap()
) = ShardConfig(
    shard = ShardId(POOL, 0),
    endpoints = endpoints.toList(),
    unavailable = unavailable.mapTo(HashSet(), ::EndpointId),
    tiers = emptyMap(),
    preset = PresetSpec(
        PresetName("ordinary"),
        (0..2).associate { Tier(it) to TierPolicy(1.0, maxQueued) },
        reservedShare
    ),
    weights = weights.mapKeys { OrganisationId(it.key) }
)

internal fun request(
    id: String,
    tier: Int = 1,
    organisation: String = "hamasaki",
    origin: String = "host-1",
    timeLeftMs: Long? = null,
    prefill: Int = 1,
    output: Int = 100,
    prefix: List<Int> = emptyList(),
    isSuspect: Boolean = false,
    isInterruptible: Boolean = true,
    resumeOn: String? = null
) = CapacityRequest(
    requestId = RequestId(id),
    origin = HostId(origin),
    organisation = OrganisationId(organisation),
    tier = Tier(tier),
    pool = POOL,
    timeLeftMs = timeLeftMs,
    prefillTokens = prefill,
    outputTokens = output,
    prefixBlocks = prefix.map { PrefixBlock(it.toLong()) },
    isSuspect = isSuspect,
    isInterruptible = isInterruptible,
    resumeOn = resumeOn?.let(::EndpointId)
)

internal fun report(
    grantId: GrantId,
    end: GrantEnd = GrantEnd.COMPLETED,
    prefill: Int = 100,
    cached: Int = 0,
    output: Int = 100,
    firstTokenMs: Long? = null,
    durationMs: Long = 1_000
) = GrantReport(grantId, end, prefill, cached, output, firstTokenMs, durationMs)

internal fun schedulerOf(
    config: ShardConfig,
    policy: SchedulerPolicy = SchedulerPolicy.CowslipCart,
    rebuild: Boolean = false
): ShardScheduler = createShardScheduler(policy, config, Random(7), rebuild)

internal val List<SchedulerDecision>.grants: List<SchedulerDecision.Grant>
    get() = filterIsInstance<SchedulerDecision.Grant>()

internal val List<SchedulerDecision>.refusals: List<SchedulerDecision.Refuse>
    get() = filterIsInstance<SchedulerDecision.Refuse>()

internal val List<SchedulerDecision>.preemptions: List<SchedulerDecision.Preempt>
    get() = filterIsInstance<SchedulerDecision.Preempt>()

/** Request ids of the decisions, in order. */
internal val List<SchedulerDecision>.ids: List<String>
    get() = map { it.request.requestId.value }

/** The endpoint of the only grant. */
internal val List<SchedulerDecision>.grantedEndpoint: String
    get() = grants.single().endpoint.value

package cowslipcart.experiment.slopes

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Revision
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierPolicy
import cowslipcart.core.model.TierSpec
import cowslipcart.core.origin.CallerRequest

/** Inputs and declarations of realistic size for the measurements. */
internal object Samples {
    val pool = PoolId("assistant")

    fun identity(number: Int) = HostIdentity(
        HostId("host-%03d".format(number)),
        IncarnationId(-7_000_000_000_000_000_000L + number),
        DomainId("domain-${number % 10}"),
        "10.0.${number / 250}.${number % 250}:9000"
    )

    fun process(number: Int) = identity(number).let { ProcessId(it.host, it.incarnation) }

    fun organisation(number: Int) = OrganisationSpec(
        OrganisationId("organisation-%05d".format(number)),
        "%064x".format(number),
        Tier(0),
        weight = 1.0,
        // High enough for the requests of a measurement, which arrive faster than in production.
        limitTokensPerS = 1_000_000
    )

    fun endpoint(number: Int) = EndpointSpec(
        id = EndpointId("runner-%03d".format(number)),
        pool = pool,
        address = "10.1.${number / 250}.${number % 250}:8000",
        domain = DomainId("domain-${number % 10}"),
        slotCount = 16,
        budgetTokens = 200_000,
        prefillTokensPerS = 8_000.0,
        decodeTokensPerS = 40.0,
        cacheTokens = 400_000,
        canResume = true,
        checksFencing = true
    )

    fun publish(organisationCount: Int, endpointCount: Int, shardCount: Int) = ConfigEntry.Publish(
        Revision(0),
        basics(shardCount) +
            (0 until organisationCount).map { organisation(it) } +
            (0 until endpointCount).map { endpoint(it) },
        emptyList(),
        "slopes"
    )

    fun switch(base: Long) =
        ConfigEntry.SwitchPreset(Revision(base), PresetName("ordinary"), "slopes")

    fun request(id: RequestId, organisation: Int) = CallerRequest(
        requestId = id,
        organisation = OrganisationId("organisation-%05d".format(organisation)),
        tier = Tier(organisation % TIER_COUNT),
        pool = pool,
        key = null,
        isIdempotent = true,
        isInterruptible = true,
        fingerprint = Fingerprint("%016x".format(organisation)),
        timeLeftMs = 30_000,
        prefillTokens = 640,
        outputTokens = 200,
        prefixBlocks = List(10) { PrefixBlock(stableHash("$organisation/$it")) }
    )

    fun capacityRequest(id: RequestId, organisation: Int): CapacityRequest {
        val request = request(id, organisation)
        return CapacityRequest(
            requestId = request.requestId,
            origin = identity(0).host,
            organisation = request.organisation,
            tier = request.tier,
            pool = request.pool,
            timeLeftMs = request.timeLeftMs,
            prefillTokens = request.prefillTokens,
            outputTokens = request.outputTokens,
            prefixBlocks = request.prefixBlocks,
            isSuspect = false,
            isInterruptible = true,
            resumeOn = null
        )
    }

    fun completed(grantId: GrantId) = GrantReport(
        grantId,
        GrantEnd.COMPLETED,
        prefillTokens = 640,
        cachedTokens = 0,
        outputTokens = 200,
        firstTokenMs = 80,
        durationMs = 5_000
    )

    fun claim(number: Int, keyTimeMs: Long): ClaimItem.Claim {
        val uuid = "01a2400c-%04x-7962-8632-%012x".format(number and 0xFFFF, number)
        return ClaimItem.Claim(
            RequestKey(OrganisationId("organisation-%05d".format(number % 100)), uuid, keyTimeMs),
            AttemptId("host-001~9edb0a5d5c318000~$number"),
            Fingerprint("%016x".format(number)),
            process(1)
        )
    }

    private fun basics(shardCount: Int): List<Declaration> =
        (0 until TIER_COUNT).map { TierSpec(Tier(it), "tier-$it", 930, 67) } +
            PoolSpec(pool, PoolKind.Model("fitting-assistant"), shardCount) +
            PresetSpec(
                PresetName("ordinary"),
                (0 until TIER_COUNT).associate { Tier(it) to TierPolicy(1.0, 500) },
                reservedShare = 0.1
            )

    private const val TIER_COUNT = 3
}

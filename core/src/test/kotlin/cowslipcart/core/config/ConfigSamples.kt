package cowslipcart.core.config

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.Revision
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierPolicy
import cowslipcart.core.model.TierSpec

internal val chatTier = TierSpec(Tier(0), "chat", firstTokenTargetMs = 930, tokenGapTargetMs = 67)
internal val draftsPool = PoolSpec(PoolId("drafts"), PoolKind.Model("fitting"), shardCount = 1)
internal val ordinary = samplePreset("ordinary")
internal val peak = samplePreset("peak")
internal val runner = EndpointSpec(
    EndpointId("runner-1"),
    draftsPool.id,
    "127.0.0.1:8101",
    DomainId("fukuoka"),
    slotCount = 8,
    budgetTokens = 64_000,
    prefillTokensPerS = 8_000.0,
    decodeTokensPerS = 40.0,
    cacheTokens = 200_000,
    canResume = true,
    checksFencing = false
)
internal val shop = sampleOrganisation("shop", 'a')

internal fun sampleOrganisation(name: String, hashDigit: Char) = OrganisationSpec(
    OrganisationId(name),
    hashDigit.toString().repeat(64),
    Tier(0),
    weight = 1.0,
    limitTokensPerS = 100
)

internal fun samplePreset(name: String) =
    PresetSpec(PresetName(name), mapOf(Tier(0) to TierPolicy(1.0, 10)), reservedShare = 0.1)

internal fun configurationOf(vararg declarations: Declaration) =
    Configuration(Revision(1), declarations.associateBy { it.key }, null)

internal fun publish(base: Long, vararg upserts: Declaration, author: String = "mari") =
    ConfigEntry.Publish(Revision(base), upserts.toList(), emptyList(), author)

internal fun record(offset: Long, entry: ConfigEntry, appendedAtMs: Long = offset) =
    ConfigRecord(LogOffset(offset), appendedAtMs, entry)

package cowslipcart.experiment.scenario

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.Revision
import cowslipcart.core.model.RouteSpec
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierPolicy
import cowslipcart.core.model.TierSpec

/** The configuration that each world starts with: revision 2 with preset `ordinary` in force. */
internal object InitialConfiguration {
    /** Organisation with a limit of [LIMIT_TOKENS_PER_S]. */
    val LIMITED = OrganisationId("small-harbour")
    val ORGANISATIONS = listOf(OrganisationId("city-parks"), OrganisationId("harbour"), LIMITED)
    val PRESETS = listOf("ordinary", "peak", "maintenance")
    private const val LIMIT_TOKENS_PER_S = 20L
    private val TIERS = listOf("urgent", "normal", "night")

    fun records(setup: WorldSetup): List<ConfigEntry> = listOf(
        ConfigEntry.Publish(Revision(0), declarations(setup), emptyList(), "setup"),
        ConfigEntry.SwitchPreset(Revision(1), PresetName(PRESETS.first()), "setup")
    )

    /** Endpoints, each with whether it is a model engine. */
    fun endpoints(setup: WorldSetup): List<Pair<EndpointSpec, Boolean>> {
        val models = (1..setup.engineCount).map {
            endpoint("runner-$it", Route.CHAT.pool, "10.0.1.$it:80", setup.slotCount) to true
        }
        val services = (1..setup.serviceCount).map {
            endpoint("service-$it", Route.SIGN_OFF.pool, "10.0.2.$it:80", setup.slotCount) to false
        }
        return models + services
    }

    fun organisation(id: OrganisationId, limitTokensPerS: Long? = null) = OrganisationSpec(
        id = id,
        tokenSha256 = "%064x".format(id.value.hashCode().toLong() and 0xffffffffL),
        highestTier = Tier(0),
        weight = 1.0,
        limitTokensPerS = limitTokensPerS
    )

    private fun declarations(setup: WorldSetup): List<Declaration> = buildList {
        TIERS.forEachIndexed { rank, name -> add(TierSpec(Tier(rank), name, 930, 67)) }
        ORGANISATIONS.forEach {
            add(organisation(it, LIMIT_TOKENS_PER_S.takeIf { _ -> it == LIMITED }))
        }
        add(PoolSpec(PoolId(Route.CHAT.pool), PoolKind.Model("assistant"), setup.shardCount))
        val routes = listOf(
            RouteSpec("POST", "/sign-offs", false, Tier(0)),
            RouteSpec("GET", "/stock", true, Tier(0))
        )
        add(PoolSpec(PoolId(Route.SIGN_OFF.pool), PoolKind.Service(routes), 1))
        endpoints(setup).forEach { add(it.first) }
        PRESETS.forEach { add(preset(it, setup.maxQueued)) }
    }

    private fun preset(name: String, maxQueued: Int) = PresetSpec(
        PresetName(name),
        TIERS.indices.associate { Tier(it) to TierPolicy(1.0, maxQueued) },
        0.0
    )

    private fun endpoint(id: String, pool: String, address: String, slotCount: Int) = EndpointSpec(
        id = EndpointId(id),
        pool = PoolId(pool),
        address = address,
        domain = DomainId("domain-1"),
        slotCount = slotCount,
        budgetTokens = 100_000,
        prefillTokensPerS = 5_000.0,
        decodeTokensPerS = 50.0,
        cacheTokens = 10_000,
        canResume = pool == Route.CHAT.pool,
        checksFencing = false
    )
}

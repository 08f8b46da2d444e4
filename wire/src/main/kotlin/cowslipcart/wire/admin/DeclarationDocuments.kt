package cowslipcart.wire.admin

import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.DrainSpec
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.EngineRole
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.RouteSpec
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierPolicy
import cowslipcart.core.model.TierSpec
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Wire form of a [Declaration]: JSON in the operator API, CBOR in the log, YAML in files. */
@Serializable
public sealed interface DeclarationDocument {
    /** Converts to the core type. Values are checked by the core's validation, not here. */
    public fun toDeclaration(): Declaration
}

/** Wire form of an [OrganisationSpec]. */
@Serializable
@SerialName("organisation")
public data class OrganisationDocument(
    public val id: String,
    public val tokenSha256: String,
    public val highestTier: Int,
    public val weight: Double,
    public val limitTokensPerS: Long? = null
) : DeclarationDocument {
    override fun toDeclaration(): Declaration = OrganisationSpec(
        OrganisationId(id),
        tokenSha256,
        Tier(highestTier),
        weight,
        limitTokensPerS
    )
}

/** Wire form of a [TierSpec]. */
@Serializable
@SerialName("tier")
public data class TierDocument(
    public val rank: Int,
    public val name: String,
    public val firstTokenTargetMs: Long,
    public val tokenGapTargetMs: Long
) : DeclarationDocument {
    override fun toDeclaration(): Declaration =
        TierSpec(Tier(rank), name, firstTokenTargetMs, tokenGapTargetMs)
}

/** Wire form of a [RouteSpec]. */
@Serializable
public data class RouteDocument(
    public val method: String,
    public val path: String,
    public val repeatable: Boolean,
    public val tier: Int
) {
    internal fun toRoute() = RouteSpec(method, path, repeatable, Tier(tier))
}

/** Wire form of a [PoolSpec]; exactly one of [model] and [routes] is given. */
@Serializable
@SerialName("pool")
public data class PoolDocument(
    public val id: String,
    public val model: String? = null,
    public val routes: List<RouteDocument>? = null,
    public val shardCount: Int = 1,
    public val ordersPerMinute: Double = PoolSpec.DEFAULT_ORDERS_PER_MINUTE
) : DeclarationDocument {
    override fun toDeclaration(): Declaration {
        val kind = model?.let { PoolKind.Model(it) }
            ?: PoolKind.Service(routes.orEmpty().map { it.toRoute() })
        return PoolSpec(PoolId(id), kind, shardCount, ordersPerMinute)
    }
}

/** Wire form of an [EngineRole]. */
@Serializable
public enum class EngineRoleDocument(internal val role: EngineRole) {
    /** Runs whole requests. */
    @SerialName("mixed")
    MIXED(EngineRole.MIXED),

    /** Runs prefill only. */
    @SerialName("prefill")
    PREFILL(EngineRole.PREFILL),

    /** Runs decode only. */
    @SerialName("decode")
    DECODE(EngineRole.DECODE)
}

/** Wire form of an [EngineState]. */
@Serializable
public data class EngineStateDocument(
    public val model: String,
    public val version: String? = null,
    public val adapters: List<String> = emptyList(),
    public val role: EngineRoleDocument = EngineRoleDocument.MIXED
) {
    internal fun toState() = EngineState(model, version, adapters.toSet(), role.role)
}

/** Wire form of an [EndpointSpec]. */
@Serializable
@SerialName("endpoint")
public data class EndpointDocument(
    public val id: String,
    public val pool: String,
    public val address: String,
    public val domain: String,
    public val slotCount: Int,
    public val budgetTokens: Long,
    public val prefillTokensPerS: Double,
    public val decodeTokensPerS: Double,
    public val cacheTokens: Long = 0,
    public val canResume: Boolean = false,
    public val checksFencing: Boolean = false,
    public val desired: EngineStateDocument? = null
) : DeclarationDocument {
    override fun toDeclaration(): Declaration = EndpointSpec(
        id = EndpointId(id),
        pool = PoolId(pool),
        address = address,
        domain = DomainId(domain),
        slotCount = slotCount,
        budgetTokens = budgetTokens,
        prefillTokensPerS = prefillTokensPerS,
        decodeTokensPerS = decodeTokensPerS,
        cacheTokens = cacheTokens,
        canResume = canResume,
        checksFencing = checksFencing,
        desired = desired?.toState()
    )
}

/** Wire form of a [TierPolicy]. */
@Serializable
public data class TierPolicyDocument(
    public val rank: Int,
    public val limitScale: Double = 1.0,
    public val maxQueuedPerShard: Int
)

/** Wire form of a [PresetSpec]. */
@Serializable
@SerialName("preset")
public data class PresetDocument(
    public val name: String,
    public val tiers: List<TierPolicyDocument>,
    public val reservedShare: Double = 0.0
) : DeclarationDocument {
    override fun toDeclaration(): Declaration = PresetSpec(
        PresetName(name),
        tiers.associate { Tier(it.rank) to TierPolicy(it.limitScale, it.maxQueuedPerShard) },
        reservedShare
    )
}

/** Wire form of a [DrainSpec]. */
@Serializable
@SerialName("drain")
public data class DrainDocument(public val endpoint: String) : DeclarationDocument {
    override fun toDeclaration(): Declaration = DrainSpec(EndpointId(endpoint))
}

/** Converts a declaration to its document. */
public fun Declaration.toDocument(): DeclarationDocument = when (this) {
    is OrganisationSpec ->
        OrganisationDocument(id.value, tokenSha256, highestTier.rank, weight, limitTokensPerS)

    is TierSpec -> TierDocument(tier.rank, name, firstTokenTargetMs, tokenGapTargetMs)

    is PoolSpec -> toPoolDocument()

    is EndpointSpec -> toEndpointDocument()

    is PresetSpec -> PresetDocument(
        name.value,
        tiers.map { (tier, policy) ->
            TierPolicyDocument(tier.rank, policy.limitScale, policy.maxQueuedPerShard)
        },
        reservedShare
    )

    is DrainSpec -> DrainDocument(endpoint.value)
}

private fun PoolSpec.toPoolDocument(): PoolDocument = when (val kind = kind) {
    is PoolKind.Model -> PoolDocument(
        id.value,
        model = kind.model,
        shardCount = shardCount,
        ordersPerMinute = ordersPerMinute
    )

    is PoolKind.Service -> PoolDocument(
        id.value,
        routes = kind.routes.map {
            RouteDocument(it.method, it.path, it.isIdempotent, it.tier.rank)
        },
        shardCount = shardCount,
        ordersPerMinute = ordersPerMinute
    )
}

/** Converts an endpoint to its document. */
public fun EndpointSpec.toEndpointDocument(): EndpointDocument = EndpointDocument(
    id = id.value,
    pool = pool.value,
    address = address,
    domain = domain.value,
    slotCount = slotCount,
    budgetTokens = budgetTokens,
    prefillTokensPerS = prefillTokensPerS,
    decodeTokensPerS = decodeTokensPerS,
    cacheTokens = cacheTokens,
    canResume = canResume,
    checksFencing = checksFencing,
    desired = desired?.toDocument()
)

private fun EngineState.toDocument() = EngineStateDocument(
    model,
    version,
    adapters.sorted(),
    EngineRoleDocument.entries.first { it.role == role }
)

/** Wire form of a [DeclarationKey]: the kind of the declaration and its id, name or rank. */
@Serializable
public data class DeclarationKeyDocument(public val kind: String, public val name: String) {
    /** Converts to the core type; null if [kind] is unknown or the rank of a tier is no number. */
    public fun toKey(): DeclarationKey? = when (kind) {
        "organisation" -> DeclarationKey.Organisation(OrganisationId(name))
        "tier" -> name.toIntOrNull()?.let { DeclarationKey.TierKey(Tier(it)) }
        "pool" -> DeclarationKey.Pool(PoolId(name))
        "endpoint" -> DeclarationKey.Endpoint(EndpointId(name))
        "preset" -> DeclarationKey.Preset(PresetName(name))
        "drain" -> DeclarationKey.Drain(EndpointId(name))
        else -> null
    }
}

/** Converts a key to its document. */
public fun DeclarationKey.toDocument(): DeclarationKeyDocument = when (this) {
    is DeclarationKey.Organisation -> DeclarationKeyDocument("organisation", id.value)
    is DeclarationKey.TierKey -> DeclarationKeyDocument("tier", tier.rank.toString())
    is DeclarationKey.Pool -> DeclarationKeyDocument("pool", id.value)
    is DeclarationKey.Endpoint -> DeclarationKeyDocument("endpoint", id.value)
    is DeclarationKey.Preset -> DeclarationKeyDocument("preset", name.value)
    is DeclarationKey.Drain -> DeclarationKeyDocument("drain", endpoint.value)
}

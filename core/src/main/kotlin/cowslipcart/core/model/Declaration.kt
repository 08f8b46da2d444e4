package cowslipcart.core.model

/** One declared object of the configuration, addressed by its [key]. */
public sealed interface Declaration {
    /** Address of the declaration; a later declaration with the same key replaces it. */
    public val key: DeclarationKey
}

/** Address of a declaration. */
public sealed interface DeclarationKey {
    /** Key of an organisation. */
    public data class Organisation(public val id: OrganisationId) : DeclarationKey

    /** Key of a tier. */
    public data class TierKey(public val tier: Tier) : DeclarationKey

    /** Key of a pool. */
    public data class Pool(public val id: PoolId) : DeclarationKey

    /** Key of an endpoint. */
    public data class Endpoint(public val id: EndpointId) : DeclarationKey

    /** Key of a preset. */
    public data class Preset(public val name: PresetName) : DeclarationKey

    /** Key of an operator's drain order for an endpoint. */
    public data class Drain(public val endpoint: EndpointId) : DeclarationKey
}

/**
 * An organisation that may send requests.
 *
 * @property tokenSha256 lower-case hex SHA-256 of its bearer token
 * @property highestTier the most urgent tier that its requests may use
 * @property weight share of a contended tier relative to other organisations; positive
 * @property limitTokensPerS prefill and output tokens a second across all hosts; null for no limit
 */
public data class OrganisationSpec(
    public val id: OrganisationId,
    public val tokenSha256: String,
    public val highestTier: Tier,
    public val weight: Double,
    public val limitTokensPerS: Long?
) : Declaration {
    override val key: DeclarationKey get() = DeclarationKey.Organisation(id)
}

/**
 * A tier of work with its targets.
 *
 * @property firstTokenTargetMs time from arrival to first token that counts as answered in time
 * @property tokenGapTargetMs time between tokens that counts as answered in time
 */
public data class TierSpec(
    public val tier: Tier,
    public val name: String,
    public val firstTokenTargetMs: Long,
    public val tokenGapTargetMs: Long
) : Declaration {
    override val key: DeclarationKey get() = DeclarationKey.TierKey(tier)
}

/** What the endpoints of a pool serve. */
public sealed interface PoolKind {
    /** Model engines that serve [model]. */
    public data class Model(public val model: String) : PoolKind

    /**
     * Plain HTTP services. Only calls whose method and path match a [RouteSpec] are routed.
     */
    public data class Service(public val routes: List<RouteSpec>) : PoolKind
}

/**
 * One route of a plain service.
 *
 * @property method HTTP method in upper case
 * @property path path below the service, without query; a trailing `*` matches any suffix
 * @property isRepeatable whether the call is idempotent; if not, callers must send an `Idempotency-Key`
 * @property tier tier of calls to this route
 */
public data class RouteSpec(
    public val method: String,
    public val path: String,
    public val isRepeatable: Boolean,
    public val tier: Tier
)

/**
 * A pool of endpoints; [shardCount] is at least 1.
 *
 * @property ordersPerMinute limit of orders to the endpoints of the pool, so that the loads of
 * weights stay within the rate limit of the weight store
 */
public data class PoolSpec(
    public val id: PoolId,
    public val kind: PoolKind,
    public val shardCount: Int,
    public val ordersPerMinute: Double = DEFAULT_ORDERS_PER_MINUTE
) : Declaration {
    override val key: DeclarationKey get() = DeclarationKey.Pool(id)

    public companion object {
        /** One order every 30 s. */
        public const val DEFAULT_ORDERS_PER_MINUTE: Double = 2.0
    }
}

/**
 * An endpoint of a pool.
 *
 * @property address IP number and port, for example `127.0.0.1:8101`
 * @property slotCount requests that may run at once
 * @property budgetTokens prefill and output tokens of all running requests that may be outstanding
 * @property prefillTokensPerS initial estimate, replaced by what is observed
 * @property decodeTokensPerS initial estimate for one stream, replaced by what is observed
 * @property cacheTokens size of the prompt prefix cache
 * @property canResume whether a cancelled stream can be resumed
 * @property checksFencing whether orders with an old fencing number are refused
 * @property desired state that orders bring the engine to; null if it is left as it is
 */
public data class EndpointSpec(
    public val id: EndpointId,
    public val pool: PoolId,
    public val address: String,
    public val domain: DomainId,
    public val slotCount: Int,
    public val budgetTokens: Long,
    public val prefillTokensPerS: Double,
    public val decodeTokensPerS: Double,
    public val cacheTokens: Long,
    public val canResume: Boolean,
    public val checksFencing: Boolean,
    public val desired: EngineState? = null
) : Declaration {
    override val key: DeclarationKey get() = DeclarationKey.Endpoint(id)
}

/**
 * What a preset sets for one tier.
 *
 * @property limitScale factor on the limit of each organisation for work of this tier
 * @property maxQueuedPerShard requests of this tier that may wait at one shard; 0 stops the tier
 */
public data class TierPolicy(public val limitScale: Double, public val maxQueuedPerShard: Int)

/**
 * A preset. Exactly one is in force.
 *
 * @property reservedShare share of the slots of each endpoint kept for tier 0, from 0.0 to 1.0
 */
public data class PresetSpec(
    public val name: PresetName,
    public val tiers: Map<Tier, TierPolicy>,
    public val reservedShare: Double
) : Declaration {
    override val key: DeclarationKey get() = DeclarationKey.Preset(name)
}

/** An operator's order to give [endpoint] no new work. */
public data class DrainSpec(public val endpoint: EndpointId) : Declaration {
    override val key: DeclarationKey get() = DeclarationKey.Drain(endpoint)
}

package cowslipcart.core.model

/** One declared object of the configuration, identified by its [key]. */
public sealed interface Declaration {
    /** Identity of the declaration; a later declaration with the same key replaces it. */
    public val key: DeclarationKey
}

/** Identity of a declaration: its kind and its name, id or rank. */
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

    /** Key of the drain of an endpoint. */
    public data class Drain(public val endpoint: EndpointId) : DeclarationKey
}

/**
 * An organisation that may send requests.
 *
 * @property tokenSha256 lower-case hex SHA-256 of its bearer token
 * @property highestTier most urgent tier that its requests may use
 * @property weight share of a contended tier relative to other organisations; positive
 * @property limitTokensPerS limit of prefill and output tokens per second over all hosts; null for
 * no limit
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
 * A tier of requests and its latency targets.
 *
 * @property firstTokenTargetMs longest time from arrival to first token of a request that counts as
 * answered in time
 * @property tokenGapTargetMs longest time between consecutive tokens of such a request
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

    /** Plain HTTP services. Only calls whose method and path match one of [routes] are routed. */
    public data class Service(public val routes: List<RouteSpec>) : PoolKind
}

/**
 * One route of a plain service.
 *
 * @property method HTTP method in upper case
 * @property path path below the service, without query; a trailing `*` matches any suffix
 * @property isIdempotent whether the call is idempotent; if not, callers must send an
 * `Idempotency-Key`
 * @property tier tier of calls to this route
 */
public data class RouteSpec(
    public val method: String,
    public val path: String,
    public val isIdempotent: Boolean,
    public val tier: Tier
)

/**
 * A pool of endpoints.
 *
 * @property shardCount at least 1
 * @property ordersPerMinute limit of orders to the endpoints of the pool, which keeps loads of
 * weights within the rate limit of the weight store
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
 * @property address IP address and port, for example `127.0.0.1:8101`
 * @property domain failure domain that the endpoint runs in
 * @property slotCount requests that may run at once
 * @property budgetTokens limit of the outstanding prefill and output tokens of all running requests
 * @property prefillTokensPerS initial estimate, replaced by the observed rate
 * @property decodeTokensPerS initial estimate for one stream, replaced by the observed rate
 * @property cacheTokens size of the prompt prefix cache, in tokens
 * @property canResume whether a cancelled stream can be resumed
 * @property checksFencing whether the endpoint refuses orders with an outdated fencing number
 * @property desired state that orders bring the engine to; null if it gets no orders
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
 * @property limitScale factor on the limit of each organisation for requests of this tier
 * @property maxQueuedPerShard limit of the requests of this tier queued at one shard; 0 stops the
 * tier
 */
public data class TierPolicy(public val limitScale: Double, public val maxQueuedPerShard: Int)

/**
 * Settings that are put in force together. After the first switch exactly one preset is in force.
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

/** Tells that an operator has drained [endpoint]: it gets no new requests. */
public data class DrainSpec(public val endpoint: EndpointId) : Declaration {
    override val key: DeclarationKey get() = DeclarationKey.Drain(endpoint)
}

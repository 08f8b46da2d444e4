package cowslipcart.core.routing

import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.Revision
import cowslipcart.core.model.Tier

/**
 * Limits on the requests and connections of a caller.
 *
 * @property headerBytes largest size of the headers
 * @property bodyBytes largest size of the body
 * @property headerTimeoutMs time from the first byte of a request to the end of its headers
 * @property idleTimeoutMs time that a keep-alive connection may wait for its next request
 */
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerTimeoutMs: Long,
    public val idleTimeoutMs: Long
)

/** Unit of an organisation's limit. */
public enum class QuotaUnit { REQUESTS, TOKENS }

/**
 * Token bucket limit of an organisation over all hosts.
 *
 * @property ratePerS units that become available each second
 * @property burst capacity of the bucket, in units
 * @property defaultRequestTokens cost of a request that states no tokens, for [QuotaUnit.TOKENS]
 */
public data class QuotaSpec(
    public val unit: QuotaUnit,
    public val ratePerS: Double,
    public val burst: Double,
    public val defaultRequestTokens: Long
)

/**
 * An organisation that may send requests.
 *
 * @property tier takes precedence over the tier of a route; null if the route decides
 * @property quota null for no limit
 */
public data class OrganisationAccess(
    public val id: OrganisationId,
    public val tier: Tier?,
    public val quota: QuotaSpec?
)

/**
 * Properties of a pool in the operator's configuration.
 *
 * @property maxConnections connections of all hosts together to one endpoint
 * @property tokensPerEvent tokens in one event of a stream; 0 for a plain service
 */
public data class PoolProfile(
    public val id: PoolId,
    public val maxConnections: Int,
    public val tokensPerEvent: Int
)

/**
 * One revision of the operator's routing configuration; immutable.
 *
 * @property requiresKey whether requests of routes that are not public need an API key
 */
public class RoutingTable(
    public val revision: Revision,
    routes: List<Route>,
    pools: List<PoolProfile>,
    organisationsByKey: Map<String, OrganisationAccess>,
    public val limits: CallerLimits,
    public val requiresKey: Boolean
) {
    private val routesByHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }
    private val pools = pools.associateBy { it.id }
    private val organisationsByKey = organisationsByKey.toMap()
    private val tiersByPool = routes
        .flatMap { route -> route.targets.map { it.pool to route.tier } }
        .groupBy({ it.first }, { it.second })
        .mapValues { (_, tiers) -> tiers.distinct().sorted() }

    /** Returns the route of [host] with the longest prefix of [path]; null if none matches. */
    public fun match(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the organisation of the API key [key]; null for an unknown key. */
    public fun organisation(key: String): OrganisationAccess? = organisationsByKey[key]

    /** Returns the configured properties of [pool]; null if it has none. */
    public fun pool(pool: PoolId): PoolProfile? = pools[pool]

    /** Number of tiers among the routes to [pool] that are more urgent than [tier]. */
    public fun rankInPool(pool: PoolId, tier: Tier): Int =
        tiersByPool[pool].orEmpty().count { it < tier }

    /** Organisations with an API key. */
    public val organisations: Collection<OrganisationAccess> =
        this.organisationsByKey.values.toSet()

    /** Number of routes of all host names. */
    public val routeCount: Int get() = routesByHost.values.sumOf { it.size }
}

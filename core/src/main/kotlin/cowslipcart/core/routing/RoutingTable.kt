package cowslipcart.core.routing

import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.Revision
import cowslipcart.core.model.Tier

/**
 * Bounds on what a caller may send, and on how long it may take.
 *
 * @property headerTimeoutMs from the first byte of a request to the end of its headers
 * @property idleTimeoutMs that a kept connection may wait for its next request
 */
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerTimeoutMs: Long,
    public val idleTimeoutMs: Long
)

/** What the tokens of a request are counted in. */
public enum class QuotaUnit { REQUESTS, TOKENS }

/**
 * Limit of an organisation over all hosts.
 *
 * @property ratePerS units that become available each second
 * @property burst most units that are available at once
 * @property plainRequestTokens tokens of a request that states none
 */
public data class TokenQuota(
    public val unit: QuotaUnit,
    public val ratePerS: Double,
    public val burst: Double,
    public val plainRequestTokens: Long
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
    public val quota: TokenQuota?
)

/**
 * Properties of a pool that the operator states.
 *
 * @property maxConnections of all hosts to one endpoint
 * @property tokensPerEvent tokens in one event of a stream; 0 for a plain service
 */
public data class PoolProfile(
    public val id: PoolId,
    public val maxConnections: Int,
    public val tokensPerEvent: Int
)

/** One revision of the operator's configuration; immutable. */
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

    /** Returns the route of [host] with the longest prefix that begins [path]. */
    public fun match(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the organisation that holds [key]. */
    public fun organisation(key: String): OrganisationAccess? = organisationsByKey[key]

    /** Returns what the operator states of [pool]. */
    public fun pool(pool: PoolId): PoolProfile? = pools[pool]

    /** Number of tiers of the routes to [pool] that go before [tier]. */
    public fun rankInPool(pool: PoolId, tier: Tier): Int =
        tiersByPool[pool].orEmpty().count { it < tier }

    /** Organisations that hold a key. */
    public val organisations: Collection<OrganisationAccess> =
        this.organisationsByKey.values.toSet()

    /** Number of routes. */
    public val routeCount: Int get() = routesByHost.values.sumOf { it.size }
}

package cowslipcart.core.host

import cowslipcart.core.membership.rendezvousIndex
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.ShardId

/**
 * Assignment of endpoints to shards in one configuration. 600 endpoints and 200 shards take 120,000
 * hashes, too many for each change, so assignments that still hold are copied from [previous].
 */
internal class ShardLayout(configuration: Configuration, previous: ShardLayout?) {
    private val pools: Map<PoolId, PoolSpec> = configuration.pools

    /** All shards of all pools. */
    val shards: List<ShardId> = configuration.pools.values.flatMap { pool ->
        (0 until pool.shardCount).map { ShardId(pool.id, it) }
    }

    /** Shard of each endpoint whose pool is declared. */
    val shardByEndpoint: Map<EndpointId, ShardId> = configuration.endpoints.mapNotNull { endpoint ->
        pools[endpoint.pool]?.let { pool ->
            val previousShard = previous?.takeIf {
                it.pools[pool.id]?.shardCount == pool.shardCount
            }
                ?.shardByEndpoint?.get(endpoint.id)
                ?.takeIf { it.pool == pool.id }
            endpoint.id to (previousShard ?: shardOf(endpoint.id, pool))
        }
    }.toMap()

    /** Endpoints of each shard that has any, in the order of their ids. */
    val endpointsByShard: Map<ShardId, List<EndpointSpec>> = configuration.endpoints
        .filter { it.id in shardByEndpoint }
        .groupBy { shardByEndpoint.getValue(it.id) }

    private fun shardOf(endpoint: EndpointId, pool: PoolSpec) =
        ShardId(pool.id, rendezvousIndex(endpoint.value, pool.shardCount))
}

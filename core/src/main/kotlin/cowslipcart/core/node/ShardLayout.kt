package cowslipcart.core.node

import cowslipcart.core.membership.rendezvousIndex
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.ShardId

/**
 * Which endpoint belongs to which shard in one configuration. Computed once a configuration: with
 * 600 endpoints and 200 shards it takes 120,000 hashes, too many for each change of members.
 */
internal class ShardLayout(configuration: Configuration) {
    /** All shards of all pools. */
    val shards: List<ShardId> = configuration.pools.values.flatMap { pool ->
        (0 until pool.shardCount).map { ShardId(pool.id, it) }
    }

    /** Shard of each endpoint whose pool is declared. */
    val shardByEndpoint: Map<EndpointId, ShardId> = configuration.endpoints.mapNotNull { endpoint ->
        configuration.pools[endpoint.pool]?.let { pool ->
            endpoint.id to ShardId(pool.id, rendezvousIndex(endpoint.id.value, pool.shardCount))
        }
    }.toMap()

    /** Endpoints of each shard that has any, in the order of their ids. */
    val endpointsByShard: Map<ShardId, List<EndpointSpec>> = configuration.endpoints
        .filter { it.id in shardByEndpoint }
        .groupBy { shardByEndpoint.getValue(it.id) }
}

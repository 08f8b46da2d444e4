package cowslipcart.core.host

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against two hosts that assign an endpoint to different shards. */
class ShardLayoutTest {
    @Nested
    inner class Changes {
        @Test
        fun `a layout derived from an earlier one equals one computed from scratch`() {
            val steps = listOf(
                configurationOf(shardCount = 3, endpoints = 0..9, pool = "a"),
                configurationOf(shardCount = 3, endpoints = 5..14, pool = "a"),
                configurationOf(shardCount = 4, endpoints = 5..14, pool = "a"),
                configurationOf(shardCount = 4, endpoints = 5..14, pool = "b")
            )

            var layout: ShardLayout? = null
            for (configuration in steps) {
                val derived = ShardLayout(configuration, layout)
                val fresh = ShardLayout(configuration, null)
                assertEquals(fresh.shardByEndpoint, derived.shardByEndpoint)
                assertEquals(fresh.endpointsByShard, derived.endpointsByShard)
                layout = derived
            }
        }
    }

    private fun configurationOf(shardCount: Int, endpoints: IntRange, pool: String): Configuration {
        val declarations = listOf("a", "b").map {
            PoolSpec(PoolId(it), PoolKind.Model("model-$it"), shardCount)
        } + endpoints.map { endpoint(it, PoolId(pool)) }
        return Configuration(Revision(1), declarations.associateBy(Declaration::key), null)
    }

    private fun endpoint(number: Int, pool: PoolId) = EndpointSpec(
        EndpointId("runner-$number"),
        pool,
        "127.0.0.1:${8_000 + number}",
        DomainId("d"),
        slotCount = 8,
        budgetTokens = 64_000,
        prefillTokensPerS = 8_000.0,
        decodeTokensPerS = 40.0,
        cacheTokens = 200_000,
        canResume = true,
        checksFencing = false
    )
}

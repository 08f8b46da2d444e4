package cowslipcart.core.routing

import cowslipcart.core.forwarding.ForwardingFixture
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.Revision
import cowslipcart.core.model.Tier
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

class RoutingTableTest {
    private val short = ForwardingFixture.route(WorkKind.Idempotent, 1)
    private val long = short.copy(id = RouteId("long"), pathPrefix = "/a/b/", tier = Tier(2))
    private val table = RoutingTable(
        Revision(1),
        listOf(short, long),
        emptyList(),
        emptyMap(),
        CallerLimits(1, 1, 1, 1),
        requiresKey = false
    )

    @Nested
    inner class Matching {
        @Test
        fun `the route with the longest matching prefix is chosen`() {
            assertEquals(long, table.match("shop.example", "/a/b/c"))
            assertEquals(short, table.match("SHOP.example", "/a/bc"))
        }

        @Test
        fun `an unknown host or path has no route`() {
            assertNull(table.match("other.example", "/a/b/c"))
            assertNull(table.match("shop.example", "/b/"))
        }
    }

    @Nested
    inner class Splitting {
        @Test
        fun `positions select pools in proportion to their weights`() {
            val first = PoolId("first")
            val second = PoolId("second")
            val route = short.copy(
                targets = listOf(WeightedPool(first, 90.0), WeightedPool(second, 10.0))
            )
            assertEquals(first, route.poolAt(0.89))
            assertEquals(second, route.poolAt(0.91))
            assertEquals(second, route.poolAt(1.0))
        }

        @Test
        fun `a pool without weight gets no requests`() {
            val none = PoolId("none")
            val route = short.copy(
                targets = listOf(WeightedPool(none, 0.0), WeightedPool(PoolId("all"), 5.0))
            )
            assertEquals(PoolId("all"), route.poolAt(0.0))
        }
    }

    @Test
    fun `the rank is the number of more urgent tiers in the pool`() {
        assertEquals(1, table.rankInPool(ForwardingFixture.POOL, Tier(2)))
        assertEquals(0, table.rankInPool(ForwardingFixture.POOL, Tier(0)))
    }
}

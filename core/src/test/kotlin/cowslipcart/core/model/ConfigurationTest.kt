package cowslipcart.core.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

/** Guards against lookups that miss a declared object or find an undeclared one. */
class ConfigurationTest {
    private val pool = PoolSpec(PoolId("drafts"), PoolKind.Model("fitting-notes"), shardCount = 1)

    @Nested
    inner class FindModelPool {
        @Test
        fun `finds the pool that serves the model`() {
            val configuration = Configuration(Revision(1), mapOf(pool.key to pool), null)

            assertEquals(pool, configuration.findModelPool("fitting-notes"))
        }

        @Test
        fun `returns null for a model that no pool serves`() {
            assertNull(Configuration.EMPTY.findModelPool("fitting-notes"))
        }
    }
}

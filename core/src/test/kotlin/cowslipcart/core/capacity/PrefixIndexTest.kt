package cowslipcart.core.capacity

import cowslipcart.core.model.PrefixBlock
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against a wrong cached depth and against unbounded growth. */
class PrefixIndexTest {
    private val index = PrefixIndex().apply {
        resize(0, blockLimit = 4)
        resize(70, blockLimit = 4)
    }

    private fun blocks(vararg hashes: Long) = hashes.map(::PrefixBlock)

    private fun depths(vararg hashes: Long): Pair<Int, Int> {
        index.findDepths(blocks(*hashes))
        return index.depths[0] to index.depths[70]
    }

    @Nested
    inner class FindDepths {
        @Test
        fun `counts the leading blocks at each endpoint`() {
            index.touch(0, blocks(1, 2, 3), 0)
            index.touch(70, blocks(1, 2, 9), 0)
            assertEquals(3 to 2, depths(1, 2, 3))
        }

        @Test
        fun `ignores blocks after a gap`() {
            index.touch(0, blocks(1, 2, 3), 0)
            index.evict(0, PrefixBlock(2))
            assertEquals(1 to 0, depths(1, 2, 3))
        }

        @Test
        fun `counts a block that the endpoint reported as stored`() {
            index.store(70, PrefixBlock(1), 0)
            assertEquals(0 to 1, depths(1))
        }
    }

    @Nested
    inner class Limit {
        @Test
        fun `drops the least recently used blocks`() {
            index.touch(0, blocks(1, 2), 0)
            index.touch(0, blocks(5, 6), 0)
            index.touch(0, blocks(1, 2), 0)
            index.touch(0, blocks(7, 8), 0)
            assertEquals(2 to 0, depths(1, 2))
            assertEquals(0 to 0, depths(5, 6))
        }

        @Test
        fun `drops the end of a prefix before its start`() {
            index.touch(0, blocks(1, 2, 3), 0)
            index.touch(0, blocks(7, 8), 0)
            assertEquals(2 to 0, depths(1, 2, 3))
        }

        @Test
        fun `keeps the start of a prefix longer than the limit`() {
            index.touch(0, blocks(1, 2, 3, 4, 5, 6), 0)
            assertEquals(4 to 0, depths(1, 2, 3, 4, 5, 6))
        }
    }

    @Test
    fun `a cleared endpoint holds nothing and others keep their blocks`() {
        index.touch(0, blocks(1), 0)
        index.touch(70, blocks(1), 0)
        index.clear(0)
        assertEquals(0 to 1, depths(1))
    }
}

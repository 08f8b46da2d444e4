package cowslipcart.core.capacity

import cowslipcart.core.model.PrefixBlock
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against missing events that go unnoticed and events that are processed twice. */
class CacheCursorTest {
    private val cursor = CacheCursor()

    private fun events(vararg indexes: Long) =
        indexes.map { NumberedCacheEvent(it, PrefixBlock(it * 10), isStored = true) }

    private fun gapOf(vararg indexes: Long) = cursor.advance(events(*indexes)).gap

    @Nested
    inner class Continuation {
        @Test
        fun `reads the last known event again and processes it once`() {
            cursor.advance(events(0, 1, 2))
            assertEquals(2, cursor.fromIndex)
            assertEquals(CacheUpdate(events(3), null), cursor.advance(events(2, 3)))
        }

        @Test
        fun `an idle endpoint repeats its last event`() {
            cursor.advance(events(0, 1))
            assertEquals(CacheUpdate(emptyList(), null), cursor.advance(events(1)))
        }
    }

    @Nested
    inner class Missing {
        @Test
        fun `events missing between others are counted`() {
            assertEquals(CacheGap.Missing(3), gapOf(0, 2, 5))
        }

        @Test
        fun `events that the endpoint no longer has are counted`() {
            cursor.advance(events(0, 1))
            assertEquals(CacheGap.Missing(7), gapOf(9, 10))
        }

        @Test
        fun `events before the first page are not missing`() {
            assertEquals(null, gapOf(70, 71))
        }
    }

    @Nested
    inner class Restart {
        @Test
        fun `an endpoint without the last known event has restarted`() {
            cursor.advance(events(0, 1, 2))
            assertEquals(CacheGap.Restarted, gapOf())
            assertEquals(0, cursor.fromIndex)
        }

        @Test
        fun `an endpoint with another event at the last known index has restarted`() {
            cursor.advance(events(0, 1, 2))
            val other = listOf(NumberedCacheEvent(2, PrefixBlock(7), isStored = true))
            assertEquals(CacheUpdate(emptyList(), CacheGap.Restarted), cursor.advance(other))
        }
    }
}

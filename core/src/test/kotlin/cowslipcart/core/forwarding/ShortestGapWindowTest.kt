package cowslipcart.core.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

class ShortestGapWindowTest {
    private val window = ShortestGapWindow()

    @Nested
    inner class Streams {
        /** Guards against mistaking a busy engine for a slow one. */
        @Test
        fun `gaps while the engine prefills a prompt do not count`() {
            var atMs = 0L
            for (gapMs in listOf(20L, 20, 150, 20, 20, 20, 20, 20, 150, 20)) {
                window.onEvent(atMs)
                atMs += gapMs
            }
            assertEquals(5, window.gapCount)
            assertEquals(100, window.durationMs)
        }

        @Test
        fun `a short stream counts as a whole`() {
            listOf(0L, 20, 45).forEach { window.onEvent(it) }
            assertEquals(2, window.gapCount)
            assertEquals(45, window.durationMs)
        }

        @Test
        fun `a single event has no gap`() {
            window.onEvent(7)
            assertEquals(0, window.gapCount)
        }
    }
}

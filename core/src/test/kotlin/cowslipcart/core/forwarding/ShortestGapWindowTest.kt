package cowslipcart.core.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

class ShortestGapWindowTest {
    private val quickest = ShortestGapWindow()

    @Nested
    inner class Streams {
        /** Guards against mistaking a busy engine for a slow one. */
        @Test
        fun `gaps while the engine prefills a prompt do not count`() {
            var atMs = 0L
            for (gapMs in listOf(20L, 20, 150, 20, 20, 20, 20, 20, 150, 20)) {
                quickest.onEvent(atMs)
                atMs += gapMs
            }
            assertEquals(5, quickest.pauses)
            assertEquals(100, quickest.durationMs)
        }

        @Test
        fun `a short stream counts as a whole`() {
            listOf(0L, 20, 45).forEach { quickest.onEvent(it) }
            assertEquals(2, quickest.pauses)
            assertEquals(45, quickest.durationMs)
        }

        @Test
        fun `a single event has no gap`() {
            quickest.onEvent(7)
            assertEquals(0, quickest.pauses)
        }
    }
}

package cowslipcart.experiment.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import org.junit.jupiter.api.Nested

/** Guards against an order of events that depends on anything but time and insertion. */
class EventQueueTest {
    private val queue = EventQueue()
    private val seen = mutableListOf<String>()

    @Nested
    inner class Order {
        @Test
        fun `runs actions by time`() {
            queue.schedule(20) { seen += "late" }
            queue.schedule(10) { seen += "early" }
            queue.run { true }

            assertEquals(listOf("early", "late"), seen)
        }

        @Test
        fun `runs actions of the same time in the order of insertion`() {
            val names = (1..50).map { "action $it" }
            names.forEach { name -> queue.schedule(5) { seen += name } }
            queue.run { true }

            assertEquals(names, seen)
        }

        @Test
        fun `runs an action added for now after those already due`() {
            queue.schedule(5) { queue.scheduleIn(0) { seen += "added" } }
            queue.schedule(5) { seen += "due" }
            queue.run { true }

            assertEquals(listOf("due", "added"), seen)
        }
    }

    @Nested
    inner class Time {
        @Test
        fun `advances to the time of the action`() {
            queue.schedule(30) { seen += "${queue.nowMs}" }
            queue.run { true }

            assertEquals(listOf("30"), seen)
        }

        @Test
        fun `rejects a time in the past`() {
            queue.schedule(30) { queue.schedule(29) { seen += "past" } }

            assertFailsWith<IllegalArgumentException> { queue.run { true } }
        }

        @Test
        fun `stops when the condition no longer holds`() {
            (1L..5L).forEach { atMs -> queue.schedule(atMs) { seen += "$atMs" } }
            queue.run { seen.size < 2 }

            assertEquals(listOf("1", "2"), seen)
        }
    }
}

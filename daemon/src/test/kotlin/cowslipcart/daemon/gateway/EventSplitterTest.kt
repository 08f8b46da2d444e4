package cowslipcart.daemon.gateway

import java.io.IOException
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class EventSplitterTest {
    private fun text(event: StreamEvent) = event.bytes.decodeToString()

    @Nested
    inner class CompleteEvents {
        @Test
        fun `events keep their bytes and id`() {
            val events = EventSplitter().add(
                "weights: 2\nid: 7\ndata: a\n\ndata: b\n\n".toByteArray()
            )
            assertEquals(
                listOf("weights: 2\nid: 7\ndata: a\n\n", "data: b\n\n"),
                events.map(::text)
            )
            assertEquals(7, events[0].id)
            assertNull(events[1].id)
        }

        @Test
        fun `lines may end with CR LF`() {
            val events = EventSplitter().add("id: 1\r\ndata: a\r\n\r\nid: 2".toByteArray())
            assertEquals(listOf("id: 1\r\ndata: a\r\n\r\n"), events.map(::text))
        }
    }

    @Nested
    inner class RandomPieces {
        @Test
        fun `events do not depend on how the network splits the bytes`() {
            val random = Random(11)
            val all = (1..50).map { "id: $it\ndata: ${"x".repeat(random.nextInt(40))}\n\n" }
            val bytes = all.joinToString("").toByteArray()
            repeat(200) {
                val splitter = EventSplitter()
                val found = bytes.toList().chunked(random.nextInt(1, 300))
                    .flatMap { splitter.add(it.toByteArray()) }
                assertEquals(all, found.map(::text))
            }
        }
    }

    @Nested
    inner class LongEvents {
        /** Guards against a cost that grows with the square of an event's length. */
        @Test
        fun `a long event in single bytes is split in time`() {
            val splitter = EventSplitter()
            val atMs = System.nanoTime() / NS_PER_MS
            repeat(LONG_EVENT_BYTES) { assertEquals(emptyList(), splitter.add(byteArrayOf(X))) }
            val event = splitter.add("\n\n".toByteArray()).single()
            assertEquals(LONG_EVENT_BYTES + 2, event.bytes.size)
            val tookMs = System.nanoTime() / NS_PER_MS - atMs
            assertTrue(tookMs < BOUND_MS, "took $tookMs ms")
        }

        @Test
        fun `an event without an end is a failure`() {
            val splitter = EventSplitter()
            assertFailsWith<IOException> {
                repeat(ENDLESS_PIECES) { splitter.add(ByteArray(1_024)) }
            }
        }
    }

    private companion object {
        const val LONG_EVENT_BYTES = 200_000
        const val ENDLESS_PIECES = 2_000
        const val BOUND_MS = 5_000L
        const val NS_PER_MS = 1_000_000L
        const val X = 'x'.code.toByte()
    }
}

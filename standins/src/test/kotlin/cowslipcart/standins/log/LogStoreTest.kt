package cowslipcart.standins.log

import cowslipcart.core.log.LogPage
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StreamName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

/** Guards against a log that reorders, loses or misdates records beyond its declared limits. */
class LogStoreTest {
    private val name = StreamName("claims-0")

    private fun LogStore.append(text: String, nowMs: Long) = append(name, text.toByteArray(), nowMs)

    private fun LogStore.readAll(nowMs: Long, from: Long = 0, hidden: Int = 0): LogPage =
        read(name, LogOffset(from), maxCount = 100, nowMs, hidden)

    private fun LogPage.texts() = records.map { it.payload.decodeToString() }

    @Nested
    inner class Append {
        private val store = LogStore(LogStoreSettings())

        @Test
        fun `offsets count each stream from 0`() {
            store.append("a", 0)
            store.append(StreamName("other"), byteArrayOf(), 0)

            assertEquals(LogOffset(1), store.append("b", 0).getOrNull()?.offset)
        }

        @Test
        fun `time stamps do not decrease when the clock jumps back`() {
            store.append("a", 1_000)

            assertEquals(1_000, store.append("b", 900).getOrNull()?.appendedAtMs)
        }

        @Test
        fun `an append beyond the rate writes nothing until the token bucket refills`() {
            val limited = LogStore(LogStoreSettings(appendsPerS = 2.0))
            repeat(2) { limited.append("$it", 0) }

            assertIs<LogStoreError.RateExceeded>(limited.append("c", 499).leftOrNull())
            assertEquals(LogOffset(2), limited.append("d", 500).getOrNull()?.offset)
        }
    }

    @Nested
    inner class Retention {
        @Test
        fun `old records are removed and offsets stay`() {
            val store = LogStore(LogStoreSettings(retentionMs = 100))
            store.append("a", 0)
            store.append("b", 60)

            val page = store.readAll(101)

            assertEquals(listOf("b"), page.texts())
            assertEquals(LogOffset(1), page.firstKeptOffset)
            assertEquals(LogOffset(2), page.endOffset)
        }

        @Test
        fun `the record limit removes the oldest`() {
            val store = LogStore(LogStoreSettings(retentionRecords = 2))
            listOf("a", "b", "c").forEach { store.append(it, 0) }

            assertEquals(listOf("b", "c"), store.readAll(0).texts())
        }
    }

    @Nested
    inner class Read {
        private val store = LogStore(LogStoreSettings()).also { store ->
            listOf("a", "b", "c").forEach { store.append(it, 0) }
        }

        @Test
        fun `a page starts at the offset and has at most the given count`() {
            assertEquals(listOf("b"), store.read(name, LogOffset(1), 1, 0).texts())
        }

        @Test
        fun `a stale read shows neither the newest records nor their offsets`() {
            val page = store.readAll(0, hidden = 2)

            assertEquals(listOf("a"), page.texts())
            assertEquals(LogOffset(1), page.endOffset)
        }

        @Test
        fun `a read beyond the end is empty`() {
            assertEquals(emptyList(), store.readAll(0, from = 9).texts())
        }
    }
}

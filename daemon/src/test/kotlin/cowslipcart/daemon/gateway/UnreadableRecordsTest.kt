package cowslipcart.daemon.gateway

import cowslipcart.core.model.LogOffset
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.TableRecord
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

class UnreadableRecordsTest {
    private val logged = mutableListOf<String>()
    private val unreadable = UnreadableRecords { _, key -> logged += key }

    private fun record(key: String, offset: Long) =
        TableRecord(key, ByteArray(1), LogOffset(offset))

    @Nested
    inner class Repeats {
        /**
         * Guards against a log line at every read of the table, for as long as the record stays.
         */
        @Test
        fun `a record is logged once however often it is read`() {
            repeat(5) { unreadable.report(StoreTable.HOSTS, record("odd", 3)) }

            assertEquals(listOf("odd"), logged)
        }

        @Test
        fun `a later record at the same key and one of another table are logged`() {
            unreadable.report(StoreTable.HOSTS, record("odd", 3))
            unreadable.report(StoreTable.HOSTS, record("odd", 4))
            unreadable.report(StoreTable.ENDPOINTS, record("odd", 4))

            assertEquals(3, logged.size)
        }
    }
}

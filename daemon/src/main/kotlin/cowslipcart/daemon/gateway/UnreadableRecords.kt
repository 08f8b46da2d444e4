package cowslipcart.daemon.gateway

import cowslipcart.core.model.LogOffset
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.TableRecord
import java.util.concurrent.ConcurrentHashMap

/**
 * Reports the key of each unreadable record once to [log], although every snapshot holds the record
 * again.
 */
internal class UnreadableRecords(private val log: (StoreTable, String) -> Unit) {
    private data class RecordKey(val table: StoreTable, val key: String)

    private val reportedOffsets = ConcurrentHashMap<RecordKey, LogOffset>()

    /** Reports [record] of [table], unless that was done. */
    fun report(table: StoreTable, record: TableRecord) {
        if (reportedOffsets.size >= MAX_RECORDS) reportedOffsets.clear()
        val before = reportedOffsets.put(RecordKey(table, record.key), record.offset)
        if (before != record.offset) log(table, record.key)
    }

    private companion object {
        /** Bounds the memory that other writers can take by odd keys. */
        const val MAX_RECORDS = 1_000
    }
}

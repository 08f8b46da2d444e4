package cowslipcart.daemon.gateway

import arrow.core.Either
import arrow.core.right
import cowslipcart.core.model.LogOffset
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.TableChanges
import cowslipcart.core.store.TableRecord
import cowslipcart.core.store.TableSnapshot
import kotlinx.coroutines.delay

/** Store with the tables of endpoints and configurations, which have the same offsets. */
internal class SmallStore : KeyedStore {
    private val records = mutableMapOf<StoreTable, MutableList<TableRecord>>()

    /** Thrown by the next read of the endpoints. */
    var failure: Throwable? = null

    fun write(table: StoreTable, key: String, value: String) {
        val written = records.getOrPut(table) { mutableListOf() }
        val offset = LogOffset(written.size.toLong())
        written += TableRecord(key, value.encodeToByteArray(), offset)
    }

    private fun recordsOf(table: StoreTable): List<TableRecord> = records[table].orEmpty()

    override suspend fun newest(table: StoreTable): Either<StoreError, TableSnapshot> {
        val newest = recordsOf(table).associateBy { it.key }.values.toList()
        return TableSnapshot(newest, LogOffset(recordsOf(table).size.toLong())).right()
    }

    override suspend fun changes(
        table: StoreTable,
        from: LogOffset,
        waitMs: Long,
        responseTimeoutMs: Long
    ): Either<StoreError, TableChanges> {
        failure?.takeIf { table == StoreTable.ENDPOINTS }?.let {
            failure = null
            throw it
        }
        delay(READ_MS)
        val next = LogOffset(recordsOf(table).size.toLong())
        return TableChanges(recordsOf(table).filter { it.offset >= from }, next).right()
    }

    override suspend fun put(table: StoreTable, key: String, value: ByteArray) = Either.Right(Unit)

    override suspend fun putAt(
        table: StoreTable,
        key: String,
        value: ByteArray,
        expectedEnd: LogOffset
    ) = Either.Right(Unit)

    companion object {
        /** Time of a read, in ms. */
        const val READ_MS = 10L
    }
}

package cowslipcart.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.TableChanges
import cowslipcart.core.store.TableRecord
import cowslipcart.core.store.TableSnapshot
import kotlinx.coroutines.awaitCancellation

/** Store whose calls can be made to fail, with a table of streams and one for all the rest. */
internal class FailingStore : KeyedStore {
    val records = LinkedHashMap<String, ByteArray>()
    private val streams = LinkedHashMap<String, ByteArray>()
    var failingCalls = 0
    var callCount = 0

    /** Called before each conditional write, to write something else first. */
    var beforePutAt: suspend () -> Unit = {}
    private val end: LogOffset get() = LogOffset(writeCount)
    private var writeCount = 2L

    private fun recordsOf(table: StoreTable) = if (table == StoreTable.STREAMS) streams else records

    private fun <T> call(result: () -> T): Either<StoreError, T> {
        callCount++
        if (failingCalls > 0) {
            failingCalls--
            return StoreError.Unavailable("down").left()
        }
        return result().right()
    }

    override suspend fun newest(table: StoreTable): Either<StoreError, TableSnapshot> = call {
        val records = recordsOf(table).map { (key, value) -> TableRecord(key, value, LogOffset(1)) }
        TableSnapshot(records, end)
    }

    override suspend fun changes(
        table: StoreTable,
        from: LogOffset,
        waitMs: Long,
        responseTimeoutMs: Long
    ): Either<StoreError, TableChanges> = awaitCancellation()

    override suspend fun put(
        table: StoreTable,
        key: String,
        value: ByteArray
    ): Either<StoreError, Unit> = call {
        writeCount++
        val records = recordsOf(table)
        if (value.isEmpty()) records -= key else records[key] = value
    }

    override suspend fun putAt(
        table: StoreTable,
        key: String,
        value: ByteArray,
        expectedEnd: LogOffset
    ): Either<StoreError, Unit> {
        beforePutAt()
        return if (expectedEnd == end) put(table, key, value) else StoreError.Conflict.left()
    }
}

/** Decodes no record. */
internal object NoDecoder : RecordDecoder {
    override fun decodeRouting(key: String, value: ByteArray): RoutingTable? = null

    override fun decodeEndpoint(id: EndpointId, value: ByteArray): EndpointRecord? = null
}

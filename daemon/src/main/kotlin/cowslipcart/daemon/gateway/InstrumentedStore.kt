package cowslipcart.daemon.gateway

import arrow.core.Either
import cowslipcart.core.model.LogOffset
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.TableChanges
import cowslipcart.core.store.TableSnapshot

/** Decorates [store] with a metric that counts its calls by operation and result. */
internal class InstrumentedStore(
    private val store: KeyedStore,
    private val metrics: GatewayMetrics
) : KeyedStore {
    override suspend fun newest(table: StoreTable): Either<StoreError, TableSnapshot> =
        store.newest(table).also { count("newest", it) }

    override suspend fun changes(
        table: StoreTable,
        from: LogOffset,
        waitMs: Long,
        responseTimeoutMs: Long
    ): Either<StoreError, TableChanges> =
        store.changes(table, from, waitMs, responseTimeoutMs).also { count("changes", it) }

    override suspend fun put(
        table: StoreTable,
        key: String,
        value: ByteArray
    ): Either<StoreError, Unit> = store.put(table, key, value).also { count("put", it) }

    override suspend fun putAt(
        table: StoreTable,
        key: String,
        value: ByteArray,
        expectedEnd: LogOffset
    ): Either<StoreError, Unit> =
        store.putAt(table, key, value, expectedEnd).also { count("put-at", it) }

    private fun count(operation: String, outcome: Either<StoreError, Any>) {
        val result = when (outcome.leftOrNull()) {
            null -> "answered"
            is StoreError.Unavailable -> "failed"
            StoreError.Trimmed -> "trimmed"
            StoreError.Conflict -> "conflict"
        }
        metrics.storeCalls.labelValues(operation, result).inc()
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.store.ConfigurationFeed
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.StoreUpdate
import cowslipcart.core.store.TableRecord
import cowslipcart.daemon.catchFailure
import cowslipcart.daemon.catchStepFailure
import cowslipcart.daemon.control.RuntimeClock
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay

/** Components that the followers of all tables use. */
internal class StoreFollowing(
    val store: KeyedStore,
    val decoder: RecordDecoder,
    val listener: StoreListener,
    val publisher: StoreUpdatePublisher,
    val eventLog: GatewayEventLog,
    val clock: RuntimeClock,
    val orders: OrderListener = OrderListener { false }
) {
    private val unreadable = UnreadableRecords { table, key ->
        eventLog.unreadableRecord(table, key)
    }

    /**
     * Decodes the value of [record] of [table] by [decode]. Returns null for a deleted record, and
     * for one that [decode] does not accept or fails on, which is reported: it may be of another
     * writer, and the others have to be followed all the same.
     */
    fun <T : Any> decodeOrReport(
        table: StoreTable,
        record: TableRecord,
        decode: (ByteArray) -> T?
    ): T? {
        val value = record.value ?: return null
        var decoded: T? = null
        val failure = catchFailure { decoded = decode(value) }
        if (failure != null) eventLog.storeFailure(table, failure, record.key)
        if (decoded == null) unreadable.report(table, record)
        return decoded
    }

    /**
     * Runs [step]; logs its failure and pauses, so that [table] is followed further. Returns
     * whether it did not fail.
     */
    suspend fun guard(table: StoreTable, step: suspend () -> Unit): Boolean {
        val failure = catchStepFailure(step) ?: return true
        eventLog.storeFailure(table, failure)
        delay(StoreHealth.FIRST_RETRY_DELAY_MS)
        return false
    }

    /** Runs [step] until it has not failed. */
    suspend fun guardUntilDone(table: StoreTable, step: suspend () -> Unit) {
        while (!guard(table, step)) Unit
    }
}

/**
 * Follows the table of configurations. The host at rank 0 reads it with a long poll and publishes
 * what it read; the others take that, and read themselves only if it does not come.
 */
internal class ConfigurationFollower(
    private val following: StoreFollowing,
    private val health: StoreHealth,
    private val feed: ConfigurationFeed
) {
    private val clock get() = following.clock
    private val updates =
        Channel<StoreUpdate.Configuration>(UPDATE_CAPACITY, BufferOverflow.DROP_OLDEST)

    /** Queues an update that another host read from the store; never blocks. */
    fun onUpdate(update: StoreUpdate.Configuration) {
        updates.trySend(update)
    }

    /** Waits for an update, or reads the table if none arrives in time. */
    suspend fun followOnce() {
        val rank = following.publisher.groupRank
        val untilReadMs = feed.untilReadMs(rank, clock.nowMs())
        val update = if (untilReadMs == 0L) {
            updates.tryReceive().getOrNull()
        } else {
            updates.receiveOrNull(untilReadMs)
        }
        if (update != null && isCurrentAfter(update)) return
        read(if (update == null && rank == 0) feed.waitMs else 0)
    }

    /** Applies what this host lacks of [update]; returns whether nothing is left to read. */
    private fun isCurrentAfter(update: StoreUpdate.Configuration): Boolean {
        val missing = feed.missingIn(update)
        if (missing != null && notifyRouting(listOf(missing)) != null) {
            feed.onApplied(update, clock.nowMs())
        }
        return feed.onUpdate(update, clock.nowMs())
    }

    private suspend fun read(waitMs: Long) {
        val from = feed.next
        val sentAtMs = clock.nowMs()
        val table = StoreTable.CONFIGURATION
        val error = if (from == null) {
            following.store.newest(table).onRight {
                feed.onEra(it.era)
                val newest = notifyRouting(it.records)
                feed.onRead(it.end, newest, sentAtMs, clock.nowMs(), hasOrders(it.records))
            }.leftOrNull()
        } else {
            val timeoutMs = health.responseTimeoutMs
            following.store.changes(table, from, waitMs, timeoutMs).onRight {
                if (feed.onEra(it.era)) return@onRight
                // Without a change, the store answers only after the whole long poll.
                val waitedMs = if (it.next == from) waitMs else 0
                val nowMs = clock.nowMs()
                val asOfMs = minOf(sentAtMs + waitedMs, nowMs)
                val newest = notifyRouting(it.records)
                feed.onRead(it.next, newest, asOfMs, nowMs, hasOrders(it.records))
            }.leftOrNull()
        }
        health.onCall(error)
        when (error) {
            null -> feed.update(clock.nowMs())?.let { following.publisher.publish(it) }

            StoreError.Trimmed -> feed.onTrimmed()

            StoreError.Conflict, is StoreError.Unavailable ->
                feed.onFailed(clock.nowMs() + health.retryDelayMs())
        }
    }

    /** Tells the listener of the configurations in [records] and returns the last valid one. */
    private fun notifyRouting(records: List<TableRecord>): TableRecord? {
        var newest: TableRecord? = null
        for (record in records) {
            if (record.value == null || following.orders.onRecord(record)) continue
            val table = following.decodeOrReport(StoreTable.CONFIGURATION, record) {
                following.decoder.decodeRouting(record.key, it)
            } ?: continue
            newest = record
            following.listener.onRouting(table)
        }
        return newest
    }

    private fun hasOrders(records: List<TableRecord>): Boolean =
        records.any { following.orders.isOrder(it.key) }

    private companion object {
        /** Each update holds all that is needed, so the newest ones suffice. */
        const val UPDATE_CAPACITY = 8
    }
}

package cowslipcart.daemon.gateway

import arrow.core.Either
import cowslipcart.core.store.ConfigurationFeed
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.StoreUpdate
import cowslipcart.core.store.TableRecord
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.catchFailure
import cowslipcart.daemon.catchStepFailure
import cowslipcart.daemon.control.RuntimeClock
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select

/** Asks the host at an address for the configuration that it holds; null if it gives none. */
internal fun interface ConfigurationSource {
    suspend fun ask(host: SocketAddressSetting): StoreUpdate.Configuration?
}

/** Components that the followers of all tables use. */
internal class StoreFollowing(
    val store: KeyedStore,
    val decoder: RecordDecoder,
    val listener: StoreListener,
    val publisher: StoreUpdatePublisher,
    val eventLog: GatewayEventLog,
    val clock: RuntimeClock,
    val orders: OrderListener = OrderListener { false },
    val configurations: ConfigurationSource = ConfigurationSource { null }
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
 * what it read; the others take that, and read themselves only if it does not come. A host that the
 * store doesn't answer asks the publisher for a configuration that is too large for an update.
 */
internal class ConfigurationFollower(
    private val following: StoreFollowing,
    private val health: StoreHealth,
    private val feed: ConfigurationFeed
) {
    private class Received(
        val update: StoreUpdate.Configuration,
        val publisher: SocketAddressSetting?
    )

    private val clock get() = following.clock
    private val updates = Channel<Received>(UPDATE_CAPACITY, BufferOverflow.DROP_OLDEST)

    /** The newest update of a change that this host has not got; null if there is none. */
    private var ahead: Received? = null

    /** Configuration for hosts that ask; null before the first one. */
    @Volatile
    var held: StoreUpdate.Configuration? = null
        private set

    /** Queues an update that the host at [publisher] read from the store; never blocks. */
    fun onUpdate(update: StoreUpdate.Configuration, publisher: SocketAddressSetting?) {
        updates.trySend(Received(update, publisher))
    }

    /** Waits for an update, or reads the table if none arrives in time. */
    suspend fun followOnce() {
        val rank = following.publisher.groupRank
        val untilReadMs = feed.untilReadMs(rank, clock.nowMs())
        val received = if (untilReadMs == 0L) {
            updates.tryReceive().getOrNull()
        } else {
            updates.receiveOrNull(untilReadMs)
        }
        if (received == null || !isSettled(received)) {
            read(if (received == null && rank == 0) feed.waitMs else 0)
        }
    }

    /** Takes what this host lacks of [received]; returns whether nothing is left to read. */
    private suspend fun isSettled(received: Received): Boolean {
        val update = received.update
        val missing = feed.missingIn(update)
        if (missing != null && notifyRouting(listOf(missing)) != null) {
            feed.onApplied(update, clock.nowMs())
            held = feed.held(clock.nowMs())
        }
        if (feed.onUpdate(update, clock.nowMs())) {
            ahead = null
            return true
        }
        if (feed.isBeyondGiven(update)) ahead = received
        return health.failures > 0 && askAhead()
    }

    /** Asks the host that is ahead of this one; returns whether it gave its configuration. */
    private suspend fun askAhead(): Boolean {
        val wanted = ahead ?: return false
        val publisher = wanted.publisher ?: return false
        val given = following.configurations.ask(publisher)
        following.eventLog.configurationAsked(publisher, given?.next)
        val record = given?.record ?: return false
        notifyRouting(listOf(record))
        feed.onGiven(given)
        if (feed.isBeyondGiven(wanted.update)) return false
        ahead = null
        return true
    }

    private suspend fun read(waitMs: Long) {
        val from = feed.next
        val sentAtMs = clock.nowMs()
        val table = StoreTable.CONFIGURATION
        val result = if (from == null) {
            following.store.newest(table).onRight {
                feed.onEra(it.era)
                val newest = notifyRouting(it.records)
                feed.onRead(it.end, newest, sentAtMs, clock.nowMs(), hasOrders(it.records))
            }
        } else {
            val timeoutMs = health.responseTimeoutMs
            val read = unlessUpdated {
                following.store.changes(table, from, waitMs, timeoutMs)
            } ?: return
            read.onRight {
                if (feed.onEra(it.era)) return@onRight
                // Without a change, the store answers only after the whole long poll.
                val waitedMs = if (it.next == from) waitMs else 0
                val nowMs = clock.nowMs()
                val asOfMs = minOf(sentAtMs + waitedMs, nowMs)
                val newest = notifyRouting(it.records)
                feed.onRead(it.next, newest, asOfMs, nowMs, hasOrders(it.records))
            }
        }
        onRead(result.leftOrNull())
    }

    private suspend fun onRead(error: StoreError?) {
        health.onCall(error)
        when (error) {
            null -> {
                ahead = null
                held = feed.held(clock.nowMs())
                feed.update(clock.nowMs())?.let { following.publisher.publish(it) }
            }

            StoreError.Trimmed -> feed.onTrimmed()

            StoreError.Conflict, is StoreError.Unavailable -> {
                askAhead()
                feed.onFailed(clock.nowMs() + health.retryDelayMs())
            }
        }
    }

    /**
     * Returns the result of [call], or null if an update came meanwhile that makes it needless. The
     * store may leave the call without an answer for seconds.
     */
    private suspend fun <T : Any> unlessUpdated(
        call: suspend () -> Either<StoreError, T>
    ): Either<StoreError, T>? = coroutineScope {
        val from = feed.next
        val reading = async { call() }
        var result: Either<StoreError, T>? = null
        while (result == null && feed.next == from) {
            result = select {
                reading.onAwait { it }
                updates.onReceive {
                    isSettled(it)
                    null
                }
            }
        }
        reading.cancel()
        result
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

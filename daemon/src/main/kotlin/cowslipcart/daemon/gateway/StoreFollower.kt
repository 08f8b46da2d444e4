package cowslipcart.daemon.gateway

import arrow.core.Either
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.EndpointChange
import cowslipcart.core.store.EndpointFeed
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.StoreUpdate
import cowslipcart.core.store.TableFreshness
import cowslipcart.core.store.TableRecord
import cowslipcart.daemon.control.RuntimeClock
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/** Decodes the records of a platform's store. Returns null for a record that is not valid. */
public interface RecordDecoder {
    /** Decodes the operator's configuration from the record at [key]. */
    public fun decodeRouting(key: String, value: ByteArray): RoutingTable?

    /** Decodes the record that the endpoint [id] wrote about itself. */
    public fun decodeEndpoint(id: EndpointId, value: ByteArray): EndpointRecord?
}

/** Receives the current content of the tables of the store. */
internal interface StoreListener {
    fun onRouting(table: RoutingTable)

    fun onEndpoints(entries: List<EndpointEntry>)

    /**
     * The endpoints are known as of [asOfMs] on the monotonic clock; [isStoreLost] if the store did
     * not answer the last read.
     */
    fun onEndpointsKnown(asOfMs: Long, isStoreLost: Boolean)

    fun onHosts(hosts: Map<HostId, HostRecord>)
}

/** Sends what this host read from the store to the other hosts of its group. */
internal interface StoreUpdatePublisher {
    /** Rank of this host in its group; the host at rank 0 reads the store for the others. */
    val groupRank: Int

    fun publish(update: StoreUpdate)
}

/**
 * Follows the tables of the store, each in a coroutine of its own. One host of a group reads the
 * store and publishes its reads; the others read it themselves only if these updates stop.
 */
internal class StoreFollower(
    private val store: KeyedStore,
    private val decoder: RecordDecoder,
    private val listener: StoreListener,
    private val publisher: StoreUpdatePublisher,
    private val eventLog: GatewayEventLog,
    private val clock: RuntimeClock,
    private val random: Random
) {
    private val endpoints = EndpointFeed()
    private val configuration = TableFreshness(CONFIGURATION_MAX_AGE_MS)
    private val endpointUpdates = updateChannel<StoreUpdate.Endpoints>()
    private val configurationUpdates = updateChannel<StoreUpdate.Configuration>()
    private var entries: List<EndpointEntry>? = null
    private val suspensions = Channel<Unit>(Channel.CONFLATED)
    private val unreadable = UnreadableRecords { key ->
        eventLog.event("record-unreadable", "key" to key)
    }

    /** Starts following the store, and registers [self] with [record] in it. */
    fun start(scope: CoroutineScope, self: HostId, record: HostRecord) {
        scope.launch {
            while (isActive) guard(StoreTable.CONFIGURATION) { followConfiguration() }
        }
        scope.launch { while (isActive) guard(StoreTable.ENDPOINTS) { followEndpoints() } }
        scope.launch { guard(StoreTable.HOSTS) { register(self, record) } }
        scope.launch { while (isActive) guard(StoreTable.HOSTS) { listHosts() } }
    }

    /** Runs [step]; logs its exception and pauses, so that the table is followed further. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun guard(table: StoreTable, step: suspend () -> Unit) {
        try {
            step()
        } catch (e: RuntimeException) {
            // A closed channel can throw a CancellationException although nothing is cancelled.
            currentCoroutineContext().ensureActive()
            val origin = e.stackTrace.firstOrNull()
            eventLog.event(
                "store-failed",
                "table" to table.name,
                "reason" to "$e",
                "at" to "$origin"
            )
            delay(FIRST_RETRY_DELAY_MS)
        }
    }

    /** Queues an update that another host read from the store; never blocks. */
    fun onUpdate(update: StoreUpdate) {
        when (update) {
            is StoreUpdate.Endpoints -> endpointUpdates.trySend(update)
            is StoreUpdate.Configuration -> configurationUpdates.trySend(update)
        }
    }

    /** The machine was suspended: what this host knows may be old. Never blocks. */
    fun onSuspended() {
        suspensions.trySend(Unit)
    }

    private val endpointHealth = StoreHealth(StoreTable.ENDPOINTS, eventLog)

    /** Whether the store itself, not a lag of this host, is why the last read failed. */
    private var isStoreLost = false

    /** Waits for an update of the endpoints, or reads them if none arrives in time. */
    private suspend fun followEndpoints() {
        val waitMs = endpoints.untilReadMs(publisher.groupRank, clock.nowMs())
        when (val event = awaitEndpointEvent(waitMs)) {
            EndpointEvent.Due -> readEndpoints()
            EndpointEvent.Suspended -> endpoints.onSuspended()
            is EndpointEvent.Updated -> endpoints.onUpdate(event.update, clock.nowMs())
        }
        if (endpoints.next == null) return
        notifyEndpoints()
        listener.onEndpointsKnown(endpoints.asOfMs, isStoreLost)
    }

    private sealed interface EndpointEvent {
        data object Due : EndpointEvent

        data object Suspended : EndpointEvent

        class Updated(val update: StoreUpdate.Endpoints) : EndpointEvent
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun awaitEndpointEvent(waitMs: Long): EndpointEvent = select {
        suspensions.onReceive { EndpointEvent.Suspended }
        endpointUpdates.onReceive { EndpointEvent.Updated(it) }
        onTimeout(waitMs) { EndpointEvent.Due }
    }

    private fun notifyEndpoints() {
        val current = endpoints.entries(clock.nowMs())
        if (current == entries) return
        entries = current
        listener.onEndpoints(current)
    }

    private suspend fun readEndpoints() {
        val from = endpoints.next
        val sentAtMs = clock.nowMs()
        val table = StoreTable.ENDPOINTS
        val timeoutMs = responseTimeoutMs(endpointHealth)
        val result = if (from == null) {
            store.newest(table).onRight {
                endpoints.onSnapshot(decodeEndpoints(it.records), it.end, sentAtMs, clock.nowMs())
            }
        } else {
            store.changes(table, from, 0, timeoutMs).onRight {
                val changes = decodeEndpoints(it.records)
                endpoints.onChanges(changes, from, it.next, sentAtMs, clock.nowMs())
            }
        }
        val error = result.leftOrNull()
        endpointHealth.onCall(error)
        val isPunctual = clock.nowMs() - sentAtMs <= timeoutMs + MAX_LAG_MS
        isStoreLost = error is StoreError.Unavailable && isPunctual
        when (error) {
            null -> endpoints.update(clock.nowMs())?.let { publisher.publish(it) }

            StoreError.Trimmed -> endpoints.onTrimmed()

            is StoreError.Unavailable -> endpoints.onFailed(
                clock.nowMs() + retryDelayMs(endpointHealth)
            )
        }
    }

    private fun decodeEndpoints(records: List<TableRecord>): List<EndpointChange> =
        records.map { record ->
            val id = EndpointId(record.key)
            val decoded = record.value?.let { decoder.decodeEndpoint(id, it) }
            if (decoded == null && record.value != null) {
                unreadable.report(StoreTable.ENDPOINTS, record)
            }
            EndpointChange(id, decoded, record.offset)
        }

    private val configurationHealth = StoreHealth(StoreTable.CONFIGURATION, eventLog)

    /**
     * Waits for an update of the configuration, or reads it if none arrives in time. The host at
     * rank 0 reads with a long poll.
     */
    private suspend fun followConfiguration() {
        val rank = publisher.groupRank
        val waitMs = configuration.untilReadMs(rank, clock.nowMs())
        val update = if (waitMs == 0L) {
            configurationUpdates.tryReceive().getOrNull()
        } else {
            configurationUpdates.receiveOrNull(waitMs)
        }
        if (update != null && configuration.onUpdate(update, clock.nowMs())) return
        readConfiguration(if (update == null && rank == 0) CONFIGURATION_WAIT_MS else 0)
    }

    private suspend fun readConfiguration(waitMs: Long) {
        val from = configuration.next
        val sentAtMs = clock.nowMs()
        val table = StoreTable.CONFIGURATION
        val result: Either<StoreError, Unit> = if (from == null) {
            store.newest(table).map {
                notifyRouting(it.records)
                configuration.onRead(it.end, sentAtMs)
            }
        } else {
            store.changes(table, from, waitMs, responseTimeoutMs(configurationHealth)).map {
                notifyRouting(it.records)
                // Without a change, the store answers only after the whole long poll.
                val waitedMs = if (it.next == from) waitMs else 0
                configuration.onRead(it.next, minOf(sentAtMs + waitedMs, clock.nowMs()))
            }
        }
        val error = result.leftOrNull()
        configurationHealth.onCall(error)
        when (error) {
            null -> configuration.next?.let {
                val ageMs = configuration.ageMs(clock.nowMs())
                publisher.publish(StoreUpdate.Configuration(it, ageMs))
            }

            StoreError.Trimmed -> configuration.onTrimmed()

            is StoreError.Unavailable ->
                configuration.onFailed(clock.nowMs() + retryDelayMs(configurationHealth))
        }
    }

    private fun notifyRouting(records: List<TableRecord>) {
        for (record in records) {
            val value = record.value ?: continue
            val table = decoder.decodeRouting(record.key, value)
            if (table == null) {
                unreadable.report(StoreTable.CONFIGURATION, record)
            } else {
                listener.onRouting(table)
            }
        }
    }

    /** Doubles after each failure, so that a slow store does not time out for ever. */
    private fun responseTimeoutMs(health: StoreHealth): Long =
        RESPONSE_TIMEOUT_MS shl minOf(health.failures, MAX_DOUBLINGS)

    private fun retryDelayMs(health: StoreHealth): Long {
        val delayMs = FIRST_RETRY_DELAY_MS shl minOf(health.failures - 1, MAX_DOUBLINGS)
        return delayMs / 2 + random.nextLong(delayMs / 2)
    }

    /** Writes the address of this host to the store. */
    private suspend fun register(self: HostId, record: HostRecord) {
        val health = StoreHealth(StoreTable.HOSTS, eventLog)
        val value = record.encode()
        while (store.put(StoreTable.HOSTS, self.value, value).reportTo(health) == null) {
            delay(retryDelayMs(health))
        }
    }

    /**
     * Reads the addresses of the other hosts repeatedly, also while that of this one is unknown.
     */
    private suspend fun listHosts() {
        val health = StoreHealth(StoreTable.HOSTS, eventLog)
        var intervalMs = FIRST_HOSTS_INTERVAL_MS
        while (clock.nowMs() >= 0) {
            val snapshot = store.newest(StoreTable.HOSTS).reportTo(health)
            if (snapshot != null) {
                listener.onHosts(decodeHosts(snapshot.records))
                intervalMs = minOf(intervalMs * HOSTS_INTERVAL_GROWTH, MAX_HOSTS_INTERVAL_MS)
            }
            delay(if (snapshot == null) HOSTS_RETRY_MS else intervalMs)
        }
    }

    private fun <T> Either<StoreError, T>.reportTo(health: StoreHealth): T? {
        health.onCall(leftOrNull())
        return getOrNull()
    }

    private fun decodeHosts(records: List<TableRecord>): Map<HostId, HostRecord> =
        records.mapNotNull { record ->
            val decoded = record.value?.let { HostRecord.decode(it) }
            if (decoded == null) unreadable.report(StoreTable.HOSTS, record)
            decoded?.let { HostId(record.key) to it }
        }.toMap()

    private fun <T> updateChannel() = Channel<T>(UPDATE_CAPACITY, BufferOverflow.DROP_OLDEST)

    private companion object {
        /**
         * Duration of the long poll by the host at rank 0, in ms. The others read the store
         * themselves if they receive no update for a little longer.
         */
        const val CONFIGURATION_WAIT_MS = 800L

        /**
         * Age at which the first host of a group reads the configuration again, in ms. It limits
         * the calls a second if the store ignores the long poll.
         */
        const val CONFIGURATION_MAX_AGE_MS = 50L

        /** A response takes 4 ms, and close to 400 ms when the store is slow. */
        const val RESPONSE_TIMEOUT_MS = 500L

        /**
         * Interval between reads of the table of hosts, in ms. It starts short to find hosts that
         * start together, and grows with each read, since later hosts are known by their reports.
         */
        const val FIRST_HOSTS_INTERVAL_MS = 500L
        const val HOSTS_INTERVAL_GROWTH = 4
        const val MAX_HOSTS_INTERVAL_MS = 30_000L
        const val HOSTS_RETRY_MS = 1_000L

        /** Delay after the first failed call, in ms; doubles up to 800 ms. */
        const val FIRST_RETRY_DELAY_MS = 200L
        const val MAX_DOUBLINGS = 2

        /** A timeout that is noticed later shows that this host is behind with its work, in ms. */
        const val MAX_LAG_MS = 200L

        /** Each update covers the last seconds, so the newest ones suffice. */
        const val UPDATE_CAPACITY = 8
    }
}

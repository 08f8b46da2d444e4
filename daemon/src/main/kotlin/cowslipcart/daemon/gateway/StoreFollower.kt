package cowslipcart.daemon.gateway

import arrow.core.Either
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.EndpointHeartbeat
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.StoreEra
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.ConfigurationFeed
import cowslipcart.core.store.EndpointChange
import cowslipcart.core.store.EndpointFeed
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.StoreUpdate
import cowslipcart.core.store.TableRecord
import cowslipcart.daemon.SocketAddressSetting
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
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

    /** Endpoints wrote [heartbeats] after [writtenAfterMs] on the monotonic clock. */
    fun onHeartbeats(heartbeats: List<EndpointHeartbeat>, writtenAfterMs: Long)

    fun onHosts(hosts: Map<HostId, HostRecord>)

    /** The store came back from an older copy, so what hosts wrote lately may be lost. */
    fun onStoreReplaced() = Unit
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
    private val following: StoreFollowing,
    configurationBoundMs: Long,
    private val random: Random
) {
    private val store = following.store
    private val listener = following.listener
    private val publisher = following.publisher
    private val clock = following.clock
    private val endpoints = EndpointFeed()
    private val endpointHealth = healthOf(StoreTable.ENDPOINTS)
    private val endpointUpdates =
        Channel<StoreUpdate.Endpoints>(UPDATE_CAPACITY, BufferOverflow.DROP_OLDEST)
    private val configuration = ConfigurationFollower(
        following,
        healthOf(StoreTable.CONFIGURATION),
        ConfigurationFeed(configurationBoundMs)
    )
    private var entries: List<EndpointEntry>? = null
    private val suspensions = Channel<Unit>(Channel.CONFLATED)
    private val replacements = Channel<Unit>(Channel.CONFLATED)

    private fun healthOf(table: StoreTable) = StoreHealth(table, following.eventLog, random)

    /** Starts following the store, and registers [self] with [record] in it. */
    fun start(scope: CoroutineScope, self: HostId, record: HostRecord) {
        scope.launch { repeatGuarded(StoreTable.CONFIGURATION) { configuration.followOnce() } }
        scope.launch { repeatGuarded(StoreTable.ENDPOINTS) { followEndpoints() } }
        scope.launch {
            following.guardUntilDone(StoreTable.HOSTS) { register(self, record) }
            while (isActive) {
                replacements.receive()
                following.guardUntilDone(StoreTable.HOSTS) { register(self, record) }
            }
        }
        scope.launch { repeatGuarded(StoreTable.HOSTS) { listHosts() } }
    }

    private suspend fun repeatGuarded(table: StoreTable, step: suspend () -> Unit) {
        while (currentCoroutineContext().isActive) following.guard(table, step)
    }

    /** Configuration for hosts that ask; null before the first one. */
    val heldConfiguration: StoreUpdate.Configuration? get() = configuration.held

    /**
     * Queues an update that another host read from the store; never blocks. [publisher] is the
     * address of that host for traffic between hosts; null if it is not known.
     */
    fun onUpdate(update: StoreUpdate, publisher: SocketAddressSetting? = null) {
        when (update) {
            is StoreUpdate.Endpoints -> endpointUpdates.trySend(update)
            is StoreUpdate.Configuration -> configuration.onUpdate(update, publisher)
        }
    }

    /** The machine was suspended: what this host knows may be old. Never blocks. */
    fun onSuspended() {
        suspensions.trySend(Unit)
    }

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
        val knownAsOfMs = endpoints.asOfMs
        val sentAtMs = clock.nowMs()
        val table = StoreTable.ENDPOINTS
        val timeoutMs = endpointHealth.responseTimeoutMs
        val result = if (from == null) {
            store.newest(table).onRight {
                onEra(it.era)
                endpoints.onSnapshot(decodeEndpoints(it.records), it.end, sentAtMs, clock.nowMs())
            }
        } else {
            store.changes(table, from, 0, timeoutMs).onRight {
                if (onEra(it.era)) return@onRight
                val changes = decodeEndpoints(it.records)
                endpoints.onChanges(changes, from, it.next, sentAtMs, clock.nowMs())
                notifyHeartbeats(changes, knownAsOfMs)
            }
        }
        val error = result.leftOrNull()
        endpointHealth.onCall(error)
        val isPunctual = clock.nowMs() - sentAtMs <= timeoutMs + MAX_LAG_MS
        isStoreLost = error is StoreError.Unavailable && isPunctual
        when (error) {
            null -> endpoints.update(clock.nowMs())?.let { publisher.publish(it) }

            StoreError.Trimmed -> endpoints.onTrimmed()

            StoreError.Conflict, is StoreError.Unavailable -> endpoints.onFailed(
                clock.nowMs() + endpointHealth.retryDelayMs()
            )
        }
    }

    /** Returns whether the store came back from an older copy; tells the listener then. */
    private fun onEra(era: StoreEra): Boolean {
        if (!endpoints.onEra(era)) return false
        following.eventLog.event("store-replaced", "era" to era.value)
        listener.onStoreReplaced()
        replacements.trySend(Unit)
        return true
    }

    /** The records of [changes] were written after the table was known as of [knownAsOfMs]. */
    private fun notifyHeartbeats(changes: List<EndpointChange>, knownAsOfMs: Long) {
        val heartbeats = changes.mapNotNull { change ->
            change.record?.let { EndpointHeartbeat(change.id, it.startedAtMs, it.sequence) }
        }
        if (heartbeats.isNotEmpty()) listener.onHeartbeats(heartbeats, knownAsOfMs)
    }

    private fun decodeEndpoints(records: List<TableRecord>): List<EndpointChange> =
        records.map { record ->
            val id = EndpointId(record.key)
            val decoded = following.decodeOrReport(StoreTable.ENDPOINTS, record) {
                following.decoder.decodeEndpoint(id, it)
            }
            EndpointChange(id, decoded, record.offset)
        }

    /** Writes the address of this host to the store. */
    private suspend fun register(self: HostId, record: HostRecord) {
        val health = healthOf(StoreTable.HOSTS)
        val value = record.encode()
        while (store.put(StoreTable.HOSTS, self.value, value).reportTo(health) == null) {
            delay(health.retryDelayMs())
        }
    }

    /**
     * Reads the addresses of the other hosts repeatedly, also while that of this one is unknown.
     */
    private suspend fun listHosts() {
        val health = healthOf(StoreTable.HOSTS)
        var intervalMs = FIRST_HOSTS_INTERVAL_MS
        while (clock.nowMs() >= 0) {
            val snapshot = store.newest(StoreTable.HOSTS).reportTo(health)
            if (snapshot != null) {
                listener.onHosts(decodeHosts(snapshot.records))
            }
            delay(if (snapshot == null) HOSTS_RETRY_MS else intervalMs)
            val nextMs = minOf(intervalMs * HOSTS_INTERVAL_GROWTH, MAX_HOSTS_INTERVAL_MS)
            if (snapshot != null) intervalMs = nextMs
        }
    }

    private fun <T> Either<StoreError, T>.reportTo(health: StoreHealth): T? {
        health.onCall(leftOrNull())
        return getOrNull()
    }

    private fun decodeHosts(records: List<TableRecord>): Map<HostId, HostRecord> =
        records.mapNotNull { record ->
            following.decodeOrReport(StoreTable.HOSTS, record) { HostRecord.decode(it) }
                ?.let { HostId(record.key) to it }
        }.toMap()

    private companion object {
        /**
         * Interval between the first two reads of the table of hosts, in ms. By then the hosts that
         * start together have written their records; later ones are known by their reports.
         */
        const val FIRST_HOSTS_INTERVAL_MS = 1_500L
        const val HOSTS_INTERVAL_GROWTH = 20
        const val MAX_HOSTS_INTERVAL_MS = 30_000L
        const val HOSTS_RETRY_MS = 1_000L

        /** A timeout that is noticed later shows that this host is behind with its work, in ms. */
        const val MAX_LAG_MS = 200L

        /** Each update covers the last seconds, so the newest ones suffice. */
        const val UPDATE_CAPACITY = 8
    }
}

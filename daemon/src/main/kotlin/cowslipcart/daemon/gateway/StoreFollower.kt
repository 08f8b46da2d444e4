package cowslipcart.daemon.gateway

import arrow.core.Either
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.EndpointChange
import cowslipcart.core.store.EndpointListing
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.TableRecord
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.control.RuntimeClock
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** Decodes the records of a platform. Returns null for a record of another form. */
public interface RecordDecoder {
    /** Decodes the operator's configuration. */
    public fun decodeRouting(key: String, value: ByteArray): RoutingTable?

    /** Decodes what the endpoint [id] wrote about itself. */
    public fun decodeEndpoint(id: EndpointId, value: ByteArray): EndpointRecord?
}

/** Receives what the store says. */
internal interface StoreListener {
    fun onRouting(table: RoutingTable)

    fun onEndpoints(entries: List<EndpointEntry>)

    fun onHosts(hosts: Map<HostId, SocketAddressSetting>)
}

/** Keeps up with the tables of the store, each in a coroutine of its own. */
internal class StoreFollower(
    private val store: KeyedStore,
    private val decoder: RecordDecoder,
    private val listener: StoreListener,
    private val journal: DecisionJournal,
    private val clock: RuntimeClock,
    private val random: Random
) {
    private val listing = EndpointListing()

    fun start(scope: CoroutineScope, self: HostId, peerAddress: SocketAddressSetting) {
        scope.launch {
            follow(StoreTable.CONFIGURATION, CONFIGURATION_WAIT_MS, 0, ::onConfiguration)
        }
        scope.launch { follow(StoreTable.ENDPOINTS, 0, ENDPOINT_INTERVAL_MS, ::onEndpoints) }
        scope.launch { announce(self, peerAddress) }
    }

    /** What a table's records mean; [end] is set for a snapshot. */
    private fun onConfiguration(records: List<TableRecord>, end: LogOffset?) {
        for (record in records) {
            val value = record.value ?: continue
            val table = decoder.decodeRouting(record.key, value)
            if (table == null) {
                journal.event("record-unreadable", "key" to record.key, "snapshot" to (end != null))
            } else {
                listener.onRouting(table)
            }
        }
    }

    private fun onEndpoints(records: List<TableRecord>, end: LogOffset?) {
        val changes = records.map { record ->
            val id = EndpointId(record.key)
            val decoded = record.value?.let { decoder.decodeEndpoint(id, it) }
            if (decoded == null && record.value != null) {
                journal.event("record-unreadable", "key" to record.key)
            }
            EndpointChange(id, decoded, record.offset)
        }
        if (end == null) listing.onChanges(changes) else listing.onSnapshot(changes, end)
        listing.compact(clock.nowMs())
    }

    private suspend fun follow(
        table: StoreTable,
        waitMs: Long,
        intervalMs: Long,
        apply: (List<TableRecord>, LogOffset?) -> Unit
    ) {
        var next: LogOffset? = null
        val health = StoreHealth(table, journal)
        while (clock.nowMs() >= 0) {
            val from = next
            val error = if (from == null) {
                store.newest(table).onRight {
                    apply(it.records, it.end)
                    next = it.end
                }.leftOrNull()
            } else {
                store.changes(table, from, waitMs, answerMs(health)).onRight {
                    apply(it.records, null)
                    next = it.next
                }.leftOrNull()
            }
            if (error == StoreError.Trimmed) next = null
            onCallEnded(table, error)
            health.onCall(error)
            delay(untilNextCallMs(table, pauseMs(error, intervalMs, health)))
        }
    }

    /** Entries that lapsed in an outage have to be given up on time, not at the next read. */
    private fun untilNextCallMs(table: StoreTable, pauseMs: Long): Long {
        if (table != StoreTable.ENDPOINTS) return pauseMs
        val graceLeftMs = listing.graceLeftMs(clock.nowMs())
        return if (graceLeftMs > 0) minOf(pauseMs, graceLeftMs) else pauseMs
    }

    /** Doubles after each failure, so that a slow store is not taken for a silent one for ever. */
    private fun answerMs(health: StoreHealth): Long =
        ANSWER_MS shl minOf(health.failures, MAX_DOUBLINGS)

    private fun onCallEnded(table: StoreTable, error: StoreError?) {
        if (table != StoreTable.ENDPOINTS) return
        when (error) {
            is StoreError.Unavailable -> listing.onStoreLost()

            StoreError.Trimmed -> Unit

            null -> {
                listing.onStoreAnswered(clock.nowMs())
                listener.onEndpoints(listing.entries(clock.nowMs()))
            }
        }
    }

    private fun pauseMs(error: StoreError?, intervalMs: Long, health: StoreHealth): Long =
        when (error) {
            null -> intervalMs

            StoreError.Trimmed -> 0

            is StoreError.Unavailable -> {
                val pauseMs = FIRST_PAUSE_MS shl minOf(health.failures, MAX_DOUBLINGS)
                pauseMs / 2 + random.nextLong(pauseMs / 2)
            }
        }

    /** Writes where this host is reached, and reads where the others are. */
    private suspend fun announce(self: HostId, address: SocketAddressSetting) {
        val health = StoreHealth(StoreTable.HOSTS, journal)
        val value = address.toString().encodeToByteArray()
        while (store.put(StoreTable.HOSTS, self.value, value).onHost(health) == null) {
            delay(pauseMs(StoreError.Unavailable(""), 0, health))
        }
        while (clock.nowMs() >= 0) {
            val snapshot = store.newest(StoreTable.HOSTS).onHost(health)
            if (snapshot != null) listener.onHosts(decodeHosts(snapshot.records))
            delay(if (snapshot == null) HOSTS_RETRY_MS else HOSTS_INTERVAL_MS)
        }
    }

    private fun <T> Either<StoreError, T>.onHost(health: StoreHealth): T? {
        health.onCall(leftOrNull())
        return getOrNull()
    }

    private fun decodeHosts(records: List<TableRecord>): Map<HostId, SocketAddressSetting> =
        records.mapNotNull { record ->
            val text = record.value?.decodeToString().orEmpty()
            val port = text.substringAfterLast(':', "").toIntOrNull()
            port?.let {
                HostId(record.key) to SocketAddressSetting(text.substringBeforeLast(':'), it)
            }
        }.toMap()

    private companion object {
        /**
         * With [ANSWER_MS] a silent connection is noticed within the 3 s after which a host has to
         * know a change again, in ms.
         */
        const val CONFIGURATION_WAIT_MS = 2_000L

        /**
         * An endpoint that drains may get work for 2 s. One read that fails, its pause and the next
         * one have to fit into that time, in ms.
         */
        const val ENDPOINT_INTERVAL_MS = 900L

        /** An answer takes 4 ms; on slow days close to 400 ms. */
        const val ANSWER_MS = 500L

        /** New hosts are usually known by their reports before, in ms. */
        const val HOSTS_INTERVAL_MS = 12_000L
        const val HOSTS_RETRY_MS = 1_000L

        /** First pause after a failed call, which doubles up to 800 ms. */
        const val FIRST_PAUSE_MS = 200L
        const val MAX_DOUBLINGS = 2
    }
}

/** Notes when a table of the store can no longer be read, and when it can again. */
private class StoreHealth(private val table: StoreTable, private val journal: DecisionJournal) {
    var failures = 0
        private set

    fun onCall(error: StoreError?) {
        when (error) {
            is StoreError.Unavailable -> {
                if (failures == 0) {
                    journal.event("store-lost", "table" to table.name, "reason" to error.reason)
                }
                failures++
            }

            StoreError.Trimmed -> journal.event("store-trimmed", "table" to table.name)

            null -> {
                if (failures > 0) {
                    journal.event("store-regained", "table" to table.name, "failures" to failures)
                }
                failures = 0
            }
        }
    }
}

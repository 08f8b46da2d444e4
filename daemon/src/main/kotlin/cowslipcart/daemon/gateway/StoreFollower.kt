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
import cowslipcart.core.store.StoreNews
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.TableFreshness
import cowslipcart.core.store.TableRecord
import cowslipcart.daemon.control.RuntimeClock
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

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

    fun onHosts(hosts: Map<HostId, HostRecord>)
}

/** Tells the other hosts of the group what this host read. */
internal interface NewsPublisher {
    /** Place of this host in the order in which its group takes duties, from 0. */
    val dutyRank: Int

    fun publish(news: StoreNews)
}

/**
 * Keeps up with the tables of the store, each in a coroutine of its own. A host reads the store
 * itself when the news of others stays out.
 */
internal class StoreFollower(
    private val store: KeyedStore,
    private val decoder: RecordDecoder,
    private val listener: StoreListener,
    private val publisher: NewsPublisher,
    private val journal: DecisionJournal,
    private val clock: RuntimeClock,
    private val random: Random
) {
    private val endpoints = EndpointFeed()
    private val configuration = TableFreshness(CONFIGURATION_PATIENCE_MS)
    private val endpointNews = newsChannel<StoreNews.Endpoints>()
    private val configurationNews = newsChannel<StoreNews.Configuration>()
    private var entries: List<EndpointEntry>? = null

    fun start(scope: CoroutineScope, self: HostId, record: HostRecord) {
        scope.launch { while (isActive) followConfiguration() }
        scope.launch { while (isActive) followEndpoints() }
        scope.launch { announce(self, record) }
    }

    /** Takes the news of another host; never blocks. */
    fun onNews(news: StoreNews) {
        when (news) {
            is StoreNews.Endpoints -> endpointNews.trySend(news)
            is StoreNews.Configuration -> configurationNews.trySend(news)
        }
    }

    private val endpointHealth = StoreHealth(StoreTable.ENDPOINTS, journal)

    /** Waits for news of the endpoints, or reads them itself. */
    private suspend fun followEndpoints() {
        val waitMs = endpoints.untilReadMs(publisher.dutyRank, clock.nowMs())
        val news = withTimeoutOrNull(waitMs) { endpointNews.receive() }
        if (news == null) {
            readEndpoints()
        } else {
            endpoints.onNews(news, clock.nowMs())
        }
        if (endpoints.next != null) showEndpoints()
    }

    private fun showEndpoints() {
        val current = endpoints.entries(clock.nowMs())
        if (current == entries) return
        entries = current
        listener.onEndpoints(current)
    }

    private suspend fun readEndpoints() {
        val from = endpoints.next
        val sentAtMs = clock.nowMs()
        val table = StoreTable.ENDPOINTS
        val answer = if (from == null) {
            store.newest(table).onRight {
                endpoints.onSnapshot(decodeEndpoints(it.records), it.end, sentAtMs, clock.nowMs())
            }
        } else {
            store.changes(table, from, 0, answerMs(endpointHealth)).onRight {
                val changes = decodeEndpoints(it.records)
                endpoints.onChanges(changes, from, it.next, sentAtMs, clock.nowMs())
            }
        }
        val error = answer.leftOrNull()
        endpointHealth.onCall(error)
        when (error) {
            null -> endpoints.news(clock.nowMs())?.let { publisher.publish(it) }
            StoreError.Trimmed -> endpoints.onTrimmed()
            is StoreError.Unavailable -> endpoints.onFailed(clock.nowMs() + pauseMs(endpointHealth))
        }
    }

    private fun decodeEndpoints(records: List<TableRecord>): List<EndpointChange> =
        records.map { record ->
            val id = EndpointId(record.key)
            val decoded = record.value?.let { decoder.decodeEndpoint(id, it) }
            if (decoded == null && record.value != null) {
                journal.event("record-unreadable", "key" to record.key)
            }
            EndpointChange(id, decoded, record.offset)
        }

    private val configurationHealth = StoreHealth(StoreTable.CONFIGURATION, journal)

    /** Waits for news of the configuration, or reads it; the first host waits at the store. */
    private suspend fun followConfiguration() {
        val rank = publisher.dutyRank
        val waitMs = configuration.untilReadMs(rank, clock.nowMs())
        val news = if (waitMs == 0L) {
            configurationNews.tryReceive().getOrNull()
        } else {
            withTimeoutOrNull(waitMs) { configurationNews.receive() }
        }
        if (news != null && configuration.onNews(news, clock.nowMs())) return
        readConfiguration(if (news == null && rank == 0) CONFIGURATION_WAIT_MS else 0)
    }

    private suspend fun readConfiguration(waitMs: Long) {
        val from = configuration.next
        val sentAtMs = clock.nowMs()
        val table = StoreTable.CONFIGURATION
        val answer: Either<StoreError, Unit> = if (from == null) {
            store.newest(table).map {
                showConfiguration(it.records)
                configuration.onRead(it.end, sentAtMs)
            }
        } else {
            store.changes(table, from, waitMs, answerMs(configurationHealth)).map {
                showConfiguration(it.records)
                // Without a change the store has waited the whole time before it answered.
                val waitedMs = if (it.next == from) waitMs else 0
                configuration.onRead(it.next, minOf(sentAtMs + waitedMs, clock.nowMs()))
            }
        }
        val error = answer.leftOrNull()
        configurationHealth.onCall(error)
        when (error) {
            null -> configuration.next?.let {
                val ageMs = configuration.ageMs(clock.nowMs())
                publisher.publish(StoreNews.Configuration(it, ageMs))
            }

            StoreError.Trimmed -> configuration.onTrimmed()

            is StoreError.Unavailable ->
                configuration.onFailed(clock.nowMs() + pauseMs(configurationHealth))
        }
    }

    private fun showConfiguration(records: List<TableRecord>) {
        for (record in records) {
            val value = record.value ?: continue
            val table = decoder.decodeRouting(record.key, value)
            if (table == null) {
                journal.event("record-unreadable", "key" to record.key)
            } else {
                listener.onRouting(table)
            }
        }
    }

    /** Doubles after each failure, so that a slow store is not taken for a silent one for ever. */
    private fun answerMs(health: StoreHealth): Long =
        ANSWER_MS shl minOf(health.failures, MAX_DOUBLINGS)

    private fun pauseMs(health: StoreHealth): Long {
        val pauseMs = FIRST_PAUSE_MS shl minOf(health.failures - 1, MAX_DOUBLINGS)
        return pauseMs / 2 + random.nextLong(pauseMs / 2)
    }

    /** Writes where this host is reached, and reads where the others are. */
    private suspend fun announce(self: HostId, record: HostRecord) {
        val health = StoreHealth(StoreTable.HOSTS, journal)
        val value = record.encode()
        while (store.put(StoreTable.HOSTS, self.value, value).onHost(health) == null) {
            delay(pauseMs(health))
        }
        var intervalMs = FIRST_HOSTS_INTERVAL_MS
        while (clock.nowMs() >= 0) {
            val snapshot = store.newest(StoreTable.HOSTS).onHost(health)
            if (snapshot != null) {
                listener.onHosts(decodeHosts(snapshot.records))
                intervalMs = minOf(intervalMs * HOSTS_INTERVAL_GROWTH, MAX_HOSTS_INTERVAL_MS)
            }
            delay(if (snapshot == null) HOSTS_RETRY_MS else intervalMs)
        }
    }

    private fun <T> Either<StoreError, T>.onHost(health: StoreHealth): T? {
        health.onCall(leftOrNull())
        return getOrNull()
    }

    private fun decodeHosts(records: List<TableRecord>): Map<HostId, HostRecord> =
        records.mapNotNull { record ->
            val decoded = record.value?.let { HostRecord.decode(it) }
            if (decoded == null) journal.event("record-unreadable", "key" to record.key)
            decoded?.let { HostId(record.key) to it }
        }.toMap()

    private fun <T> newsChannel() = Channel<T>(NEWS_CAPACITY, BufferOverflow.DROP_OLDEST)

    private companion object {
        /**
         * The first host of a group waits so long at the store for a change. The others read
         * themselves when they have heard nothing for a little longer, in ms.
         */
        const val CONFIGURATION_WAIT_MS = 800L

        /** Bounds the calls a second if the store answers at once without a change, in ms. */
        const val CONFIGURATION_PATIENCE_MS = 50L

        /** An answer takes 4 ms; on slow days close to 400 ms. */
        const val ANSWER_MS = 500L

        /**
         * Hosts that start together are listed soon; later ones are known by their reports. The
         * interval grows with each read, in ms.
         */
        const val FIRST_HOSTS_INTERVAL_MS = 500L
        const val HOSTS_INTERVAL_GROWTH = 4
        const val MAX_HOSTS_INTERVAL_MS = 30_000L
        const val HOSTS_RETRY_MS = 1_000L

        /** First pause after a failed call, which doubles up to 800 ms. */
        const val FIRST_PAUSE_MS = 200L
        const val MAX_DOUBLINGS = 2

        /** Each message covers the last seconds, so the newest ones suffice. */
        const val NEWS_CAPACITY = 8
    }
}

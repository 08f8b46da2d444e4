package cowslipcart.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.EndpointHeartbeat
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision
import cowslipcart.core.routing.CallerLimits
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.StoreUpdate
import cowslipcart.core.store.TableChanges
import cowslipcart.core.store.TableRecord
import cowslipcart.core.store.TableSnapshot
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.control.RuntimeClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Nested

/** Follows configurations on several hosts that send each other updates, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class ConfigurationFollowerTest {
    /** Store whose table of configurations answers long polls; counts the reads of it. */
    private class FakeStore : KeyedStore {
        private val records = MutableStateFlow(listOf(record(1)))
        var readCount = 0

        fun write(revision: Int) {
            records.value += record(revision)
        }

        private fun record(revision: Int) =
            TableRecord("config", "$revision".toByteArray(), LogOffset(revision - 1L))

        override suspend fun newest(table: StoreTable): Either<StoreError, TableSnapshot> {
            if (table != StoreTable.CONFIGURATION) {
                return TableSnapshot(emptyList(), LogOffset(0)).right()
            }
            readCount++
            val all = records.value
            return TableSnapshot(all.takeLast(1), LogOffset(all.size.toLong())).right()
        }

        override suspend fun changes(
            table: StoreTable,
            from: LogOffset,
            waitMs: Long,
            responseTimeoutMs: Long
        ): Either<StoreError, TableChanges> {
            if (table != StoreTable.CONFIGURATION) return TableChanges(emptyList(), from).right()
            readCount++
            delay(CALL_MS)
            withTimeoutOrNull(waitMs) { records.first { it.size > from.value } }
            val all = records.value
            return TableChanges(all.drop(from.value.toInt()), LogOffset(all.size.toLong())).right()
        }

        override suspend fun put(
            table: StoreTable,
            key: String,
            value: ByteArray
        ): Either<StoreError, Unit> = Unit.right()

        override suspend fun putAt(
            table: StoreTable,
            key: String,
            value: ByteArray,
            expectedEnd: LogOffset
        ): Either<StoreError, Unit> = Unit.right()
    }

    /** The store as one host reaches it. */
    private sealed interface Path {
        data object Open : Path

        /** The store refuses each call. */
        data object Refused : Path

        /** The store answers no call. */
        data object Silent : Path
    }

    private inner class PathToStore(val path: () -> Path) : KeyedStore by store {
        override suspend fun changes(
            table: StoreTable,
            from: LogOffset,
            waitMs: Long,
            responseTimeoutMs: Long
        ): Either<StoreError, TableChanges> = when (path()) {
            Path.Open -> store.changes(table, from, waitMs, responseTimeoutMs)

            Path.Refused -> {
                delay(CALL_MS)
                StoreError.Unavailable("refused").left()
            }

            Path.Silent -> {
                delay(waitMs + responseTimeoutMs)
                StoreError.Unavailable("no answer").left()
            }
        }
    }

    private object RevisionDecoder : RecordDecoder {
        override fun decodeRouting(key: String, value: ByteArray) = RoutingTable(
            Revision(value.decodeToString().toLong()),
            emptyList(),
            emptyList(),
            emptyMap(),
            CallerLimits(1, 1, 1, 1),
            requiresKey = false
        )

        override fun decodeEndpoint(id: EndpointId, value: ByteArray): EndpointRecord? = null
    }

    private val store = FakeStore()

    /** How the hosts reach the store, by rank; others without hindrance. */
    private val paths = mutableMapOf<Int, Path>()

    /** Latest revision by host, and when it came. */
    private val revisions = mutableMapOf<Int, Pair<Long, Long>>()
    private var isSending = true
    private var isRecordSent = true

    private fun TestScope.startHosts(count: Int) {
        val followers = mutableListOf<StoreFollower>()
        val clock = RuntimeClock(testTimeSource)
        for (rank in 0 until count) {
            val publisher = object : StoreUpdatePublisher {
                override val groupRank = rank

                override fun publish(update: StoreUpdate) {
                    if (!isSending || update !is StoreUpdate.Configuration) return
                    val sent = if (isRecordSent) update else update.copy(record = null)
                    backgroundScope.launch {
                        delay(CALL_MS)
                        followers.filterIndexed { other, _ -> other != rank }
                            .forEach { it.onUpdate(sent, addressOf(rank)) }
                    }
                }
            }
            val eventLog = GatewayEventLog(clock, GatewayMetrics())
            val following = StoreFollowing(
                PathToStore { paths[rank] ?: Path.Open },
                RevisionDecoder,
                listener(rank),
                publisher,
                eventLog,
                clock,
                configurations = {
                    delay(CALL_MS)
                    followers[it.port - 1].heldConfiguration
                }
            )
            val record = HostRecord(SocketAddressSetting("127.0.0.1", 1), HostProfile("a", 1.0))
            followers += StoreFollower(following, BOUND_MS, Random(rank))
                .also { it.start(backgroundScope, HostId("h$rank"), record) }
        }
    }

    private fun addressOf(rank: Int) = SocketAddressSetting("127.0.0.1", rank + 1)

    private fun TestScope.listener(rank: Int) = object : StoreListener {
        override fun onRouting(table: RoutingTable) {
            revisions[rank] = table.revision.value to currentTime
        }

        override fun onEndpoints(entries: List<EndpointEntry>) = Unit

        override fun onEndpointsKnown(asOfMs: Long, isStoreLost: Boolean) = Unit

        override fun onHeartbeats(heartbeats: List<EndpointHeartbeat>, writtenAfterMs: Long) = Unit

        override fun onHosts(hosts: Map<HostId, HostRecord>) = Unit
    }

    /** Writes [revision] and returns how late the last of [count] hosts has it. */
    private suspend fun TestScope.latestAfterChange(count: Int, revision: Int = 2): Long {
        store.write(revision)
        val startMs = currentTime
        delay(BOUND_MS * 2)
        val found = (0 until count).map { revisions.getValue(it).first }
        assertEquals(List(count) { revision.toLong() }, found)
        return revisions.values.maxOf { it.second } - startMs
    }

    @Nested
    inner class Changes {
        /** Guards against a read by each host for each change. */
        @Test
        fun `a change reaches all hosts at once and is read by one`() = runTest {
            startHosts(HOST_COUNT)
            delay(START_MS)
            val before = store.readCount
            val latestMs = latestAfterChange(HOST_COUNT)

            assertTrue(latestMs < 50, "found $latestMs ms")
            val reads = store.readCount - before
            assertTrue(reads <= 2 * BOUND_MS / 400 + 1, "found $reads reads")
        }

        @Test
        fun `a change is in force in time if updates are lost`() = runTest {
            startHosts(HOST_COUNT)
            delay(START_MS)
            isSending = false
            val latestMs = latestAfterChange(HOST_COUNT)

            assertTrue(latestMs < BOUND_MS, "found $latestMs ms")
        }

        @Test
        fun `a configuration that is too large for an update is read by each host`() = runTest {
            startHosts(HOST_COUNT)
            delay(START_MS)
            isRecordSent = false
            val latestMs = latestAfterChange(HOST_COUNT)

            assertTrue(latestMs < 50, "found $latestMs ms")
        }
    }

    /** Hosts that reach the other hosts and not the store. */
    @Nested
    inner class Cut {
        private fun cutFor(path: Path, ranks: Set<Int>) {
            ranks.forEach { paths[it] = path }
        }

        /** Guards against keys that stay valid at hosts which the store turns away. */
        @Test
        fun `a configuration that is too large for an update reaches hosts that are turned away`() =
            runTest {
                startHosts(HOST_COUNT)
                delay(START_MS)
                isRecordSent = false
                cutFor(Path.Refused, setOf(5, 6, HOST_COUNT - 1))
                delay(BOUND_MS)
                val latestMs = latestAfterChange(HOST_COUNT)

                assertTrue(latestMs < BOUND_MS, "found $latestMs ms")
            }

        @Test
        fun `a large configuration reaches all hosts while the first ones are turned away`() =
            runTest {
                startHosts(HOST_COUNT)
                delay(START_MS)
                isRecordSent = false
                cutFor(Path.Refused, setOf(0, 1, 5))
                delay(BOUND_MS)
                val latestMs = latestAfterChange(HOST_COUNT)

                assertTrue(latestMs < BOUND_MS, "found $latestMs ms")
            }

        /** Guards against updates that wait for a read which gets no answer. */
        @Test
        fun `an update takes effect while a read gets no answer`() = runTest {
            startHosts(HOST_COUNT)
            delay(START_MS)
            cutFor(Path.Silent, setOf(0, 1, 5))
            for (revision in 2..9) {
                delay(BOUND_MS + revision * 130)
                val latestMs = latestAfterChange(HOST_COUNT, revision)
                assertTrue(latestMs < BOUND_MS, "found $latestMs ms for revision $revision")
            }
        }

        @Test
        fun `a large configuration reaches hosts whose reads get no answer`() = runTest {
            startHosts(HOST_COUNT)
            delay(START_MS)
            isRecordSent = false
            cutFor(Path.Silent, setOf(0, 5))
            delay(BOUND_MS)
            val latestMs = latestAfterChange(HOST_COUNT)

            assertTrue(latestMs < BOUND_MS, "found $latestMs ms")
        }
    }

    private companion object {
        const val HOST_COUNT = 24
        const val BOUND_MS = 2_000L
        const val CALL_MS = 4L
        const val START_MS = 3_000L
    }
}

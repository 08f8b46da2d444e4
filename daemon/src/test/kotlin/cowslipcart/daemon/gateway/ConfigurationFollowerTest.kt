package cowslipcart.daemon.gateway

import arrow.core.Either
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
                            .forEach { it.onUpdate(sent) }
                    }
                }
            }
            val eventLog = GatewayEventLog(clock, GatewayMetrics())
            val following = StoreFollowing(
                store,
                RevisionDecoder,
                listener(rank),
                publisher,
                eventLog,
                clock
            )
            val record = HostRecord(SocketAddressSetting("127.0.0.1", 1), HostProfile("a", 1.0))
            followers += StoreFollower(following, BOUND_MS, Random(rank))
                .also { it.start(backgroundScope, HostId("h$rank"), record) }
        }
    }

    private fun TestScope.listener(rank: Int) = object : StoreListener {
        override fun onRouting(table: RoutingTable) {
            revisions[rank] = table.revision.value to currentTime
        }

        override fun onEndpoints(entries: List<EndpointEntry>) = Unit

        override fun onEndpointsKnown(asOfMs: Long, isStoreLost: Boolean) = Unit

        override fun onHeartbeats(heartbeats: List<EndpointHeartbeat>, writtenAfterMs: Long) = Unit

        override fun onHosts(hosts: Map<HostId, HostRecord>) = Unit
    }

    /** Writes revision 2 and returns how late the last of [count] hosts has it. */
    private suspend fun TestScope.latestAfterChange(count: Int): Long {
        store.write(2)
        val startMs = currentTime
        delay(BOUND_MS * 2)
        assertEquals(List(count) { 2L }, (0 until count).map { revisions.getValue(it).first })
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

    private companion object {
        const val HOST_COUNT = 24
        const val BOUND_MS = 2_000L
        const val CALL_MS = 4L
        const val START_MS = 3_000L
    }
}

package cowslipcart.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.EndpointHeartbeat
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.VersionId
import cowslipcart.core.rollout.RolloutChange
import cowslipcart.core.rollout.RolloutEffect
import cowslipcart.core.rollout.RolloutNotice
import cowslipcart.core.rollout.RolloutOrder
import cowslipcart.core.rollout.RolloutRecord
import cowslipcart.core.rollout.RolloutStep
import cowslipcart.core.rollout.StoredRollout
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.StoreUpdate
import cowslipcart.core.store.TableChanges
import cowslipcart.core.store.TableRecord
import cowslipcart.core.store.TableSnapshot
import cowslipcart.daemon.control.RuntimeClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Nested

@OptIn(ExperimentalCoroutinesApi::class)
class RolloutFollowerTest {
    private val order = RolloutOrder(PoolId("p"), VersionId("v2"), 60_000, LogOffset(5))

    private fun record(step: RolloutStep) = RolloutRecord(
        order.offset,
        order.pool,
        order.to,
        setOf(VersionId("v1")),
        step,
        0,
        HostId("h")
    )

    /** Store with the table of roll-outs only, whose answers may get lost. */
    private class FakeStore : KeyedStore {
        val records = mutableListOf<TableRecord>()
        var readCount = 0
        var isAnswerLost = false

        override suspend fun newest(table: StoreTable): Either<StoreError, TableSnapshot> {
            readCount++
            return TableSnapshot(records.toList(), end).right()
        }

        override suspend fun changes(
            table: StoreTable,
            from: LogOffset,
            waitMs: Long,
            responseTimeoutMs: Long
        ): Either<StoreError, TableChanges> {
            readCount++
            return TableChanges(records.filter { it.offset >= from }, end).right()
        }

        override suspend fun put(table: StoreTable, key: String, value: ByteArray) =
            error("expected conditional writes only, found one to $table")

        override suspend fun putAt(
            table: StoreTable,
            key: String,
            value: ByteArray,
            expectedEnd: LogOffset
        ): Either<StoreError, Unit> {
            if (expectedEnd != end) return StoreError.Conflict.left()
            records += TableRecord(key, value, end)
            return if (isAnswerLost) StoreError.Unavailable("lost").left() else Unit.right()
        }

        private val end get() = LogOffset(records.size.toLong())
    }

    /** Encodes the rank of the step only. */
    private inner class StepCodec : RolloutCodec {
        override fun isOrder(key: String) = key == "order"

        override fun decodeOrder(record: TableRecord) = order.takeIf { record.value?.size == 1 }

        override fun decodeRollout(record: TableRecord) = record.value
            ?.let {
                StoredRollout(record(RolloutStep.Shifting(it.single().toInt())), record.offset)
            }

        override fun encodeRollout(record: RolloutRecord) =
            EncodedRollout("p", byteArrayOf(record.step.rank.toByte()))
    }

    private object NoDecoder : RecordDecoder {
        override fun decodeRouting(key: String, value: ByteArray): RoutingTable? = null

        override fun decodeEndpoint(id: EndpointId, value: ByteArray): EndpointRecord? = null
    }

    private class Rank(override val groupRank: Int) : StoreUpdatePublisher {
        override fun publish(update: StoreUpdate) = Unit
    }

    private class NoListener : StoreListener {
        override fun onRouting(table: RoutingTable) = Unit

        override fun onEndpoints(entries: List<EndpointEntry>) = Unit

        override fun onEndpointsKnown(asOfMs: Long, isStoreLost: Boolean) = Unit

        override fun onHeartbeats(heartbeats: List<EndpointHeartbeat>, writtenAfterMs: Long) = Unit

        override fun onHosts(hosts: Map<HostId, HostRecord>) = Unit
    }

    private val store = FakeStore()
    private val changes = mutableListOf<RolloutChange>()

    private fun TestScope.follower(rank: Int): RolloutFollower {
        val clock = RuntimeClock(testTimeSource)
        val eventLog = GatewayEventLog(clock, GatewayMetrics())
        val following =
            StoreFollowing(store, NoDecoder, NoListener(), Rank(rank), eventLog, clock)
        val links = RolloutLinks(following, { changes += it }, {})
        return RolloutFollower(links, StepCodec(), Random(1)).also { it.start(backgroundScope) }
    }

    private fun notice(knownAgeMs: Long) = RolloutNotice(
        HostId("b"),
        IncarnationId(1),
        order,
        orderAgeMs = 0,
        stored = StoredRollout(record(RolloutStep.Observing), LogOffset(0)),
        knownAgeMs = knownAgeMs,
        earlierRunning = 0,
        stopReason = null,
        totals = emptyMap()
    )

    @Nested
    inner class Reads {
        /** Guards against calls to the store that no order asks for. */
        @Test
        fun `nothing is read without an order`() = runTest {
            follower(0)
            advanceTimeBy(60_000)

            assertEquals(0, store.readCount)
        }

        @Test
        fun `the first host reads about once a second until the order is final`() = runTest {
            val follower = follower(0)
            follower.perform(RolloutEffect.Follow(true))
            advanceTimeBy(9_500)
            assertTrue(store.readCount in 9..12, "found ${store.readCount}")
            follower.perform(RolloutEffect.Follow(false))
            val count = store.readCount
            advanceTimeBy(10_000)

            assertTrue(store.readCount <= count + 1, "found ${store.readCount} after $count")
        }

        /** Guards against a hundred hosts that all read the table each second. */
        @Test
        fun `another host does not read while it is told`() = runTest {
            val follower = follower(5)
            follower.perform(RolloutEffect.Follow(true))
            runCurrent()
            repeat(20) {
                follower.onNotice(notice(knownAgeMs = 500))
                advanceTimeBy(500)
            }
            assertEquals(1, store.readCount)
            advanceTimeBy(5_000)

            assertTrue(store.readCount in 2..3, "found ${store.readCount}")
        }

        @Test
        fun `an order is handed over, an unreadable one is not`() = runTest {
            val follower = follower(0)
            assertTrue(follower.onOrder(TableRecord("order", ByteArray(1), LogOffset(5))))
            assertTrue(follower.onOrder(TableRecord("order", ByteArray(2), LogOffset(6))))
            assertTrue(!follower.onOrder(TableRecord("config", ByteArray(1), LogOffset(7))))

            assertEquals(listOf<RolloutChange>(RolloutChange.Ordered(order)), changes)
        }
    }

    @Nested
    inner class Writes {
        /** Guards against a state that its writer takes to be in force without the store's word. */
        @Test
        fun `a written record counts once it has been read`() = runTest {
            val follower = follower(5)
            follower.perform(RolloutEffect.Write(record(RolloutStep.Shifting(25)), LogOffset(0)))
            advanceTimeBy(100)

            val read = changes.filterIsInstance<RolloutChange.TableRead>().last()
            assertEquals(RolloutStep.Shifting(25), read.changed.single().record.step)
        }

        /** Guards against two hosts that both think the write is theirs. */
        @Test
        fun `a write at another end fails and the table is read`() = runTest {
            store.records += TableRecord("p", byteArrayOf(50), LogOffset(0))
            val follower = follower(5)
            follower.perform(RolloutEffect.Write(record(RolloutStep.Shifting(25)), LogOffset(0)))
            advanceTimeBy(100)

            assertEquals(1, store.records.size)
            assertEquals(1, changes.count { it is RolloutChange.WriteFailed })
            assertEquals(1, changes.count { it is RolloutChange.TableRead })
        }

        /** Guards against a second write after one whose answer was lost. */
        @Test
        fun `a write without an answer is found by a read`() = runTest {
            store.isAnswerLost = true
            val follower = follower(5)
            follower.perform(RolloutEffect.Write(record(RolloutStep.Shifting(25)), LogOffset(0)))
            advanceTimeBy(100)

            assertEquals(1, changes.count { it is RolloutChange.WriteFailed })
            val read = changes.filterIsInstance<RolloutChange.TableRead>().last()
            assertEquals(1, read.changed.size)
        }
    }
}

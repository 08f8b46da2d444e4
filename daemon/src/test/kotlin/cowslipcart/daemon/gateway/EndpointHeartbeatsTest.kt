package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.EndpointHeartbeat
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.StoreTable
import cowslipcart.core.store.StoreUpdate
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.control.RuntimeClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Nested

/** Guards against a record of an endpoint that is taken for one written later than it was. */
@OptIn(ExperimentalCoroutinesApi::class)
class EndpointHeartbeatsTest {
    /** Decodes the sequence number of a record. */
    private object SequenceDecoder : RecordDecoder {
        override fun decodeRouting(key: String, value: ByteArray): RoutingTable? = null

        override fun decodeEndpoint(id: EndpointId, value: ByteArray): EndpointRecord {
            val entry = EndpointEntry(id, PoolId("p"), "127.0.0.1", 1, "a", 4, false)
            return EndpointRecord(entry, startedAtMs = 7, value.decodeToString().toLong())
        }
    }

    private object SilentPublisher : StoreUpdatePublisher {
        override val groupRank = 0

        override fun publish(update: StoreUpdate) = Unit
    }

    private class ToldHeartbeats(val heartbeats: List<EndpointHeartbeat>, val writtenAfterMs: Long)

    private val store = SmallStore()
    private val told = mutableListOf<ToldHeartbeats>()

    private fun TestScope.follow() {
        val clock = RuntimeClock(testTimeSource)
        val listener = object : StoreListener {
            override fun onRouting(table: RoutingTable) = Unit

            override fun onEndpoints(entries: List<EndpointEntry>) = Unit

            override fun onEndpointsKnown(asOfMs: Long, isStoreLost: Boolean) = Unit

            override fun onHeartbeats(heartbeats: List<EndpointHeartbeat>, writtenAfterMs: Long) {
                told += ToldHeartbeats(heartbeats, writtenAfterMs)
            }

            override fun onHosts(hosts: Map<HostId, HostRecord>) = Unit
        }
        val log = GatewayEventLog(clock, GatewayMetrics())
        val following =
            StoreFollowing(store, SequenceDecoder, listener, SilentPublisher, log, clock)
        val record = HostRecord(SocketAddressSetting("127.0.0.1", 1), HostProfile("a", 1.0))
        StoreFollower(following, configurationBoundMs = 2_000, Random(3))
            .start(backgroundScope, HostId("h"), record)
    }

    @Nested
    inner class Times {
        /** When a record of the first snapshot was written is unknown. */
        @Test
        fun `a record counts as written after the read before the one that shows it`() = runTest {
            store.write(StoreTable.ENDPOINTS, "e1", "3")
            follow()
            delay(SETTLE_MS)
            assertEquals(0, told.size)

            val writtenAtMs = currentTime
            store.write(StoreTable.ENDPOINTS, "e1", "4")
            delay(SETTLE_MS)

            val heartbeats = told.single()
            assertEquals(listOf(EndpointHeartbeat(EndpointId("e1"), 7, 4)), heartbeats.heartbeats)
            val isEarlier = heartbeats.writtenAfterMs <= writtenAtMs
            assertTrue(isEarlier, "${heartbeats.writtenAfterMs}, $writtenAtMs")
            assertTrue(heartbeats.writtenAfterMs > writtenAtMs - SETTLE_MS)
        }
    }

    private companion object {
        /** Several reads, in ms. */
        const val SETTLE_MS = 4_000L
    }
}

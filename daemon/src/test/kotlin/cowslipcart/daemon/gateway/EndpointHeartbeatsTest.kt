package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.EndpointHeartbeat
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PoolId
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.StoreTable
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
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

    private val store = SmallStore()

    @Nested
    inner class Times {
        /** When a record of the first snapshot was written is unknown. */
        @Test
        fun `a record counts as written after the read before the one that shows it`() = runTest {
            store.write(StoreTable.ENDPOINTS, "e1", "3")
            val told = followAlone(store, SequenceDecoder).told
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

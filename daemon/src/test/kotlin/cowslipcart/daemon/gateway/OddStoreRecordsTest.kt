package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.Revision
import cowslipcart.core.routing.CallerLimits
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.EndpointRecord
import cowslipcart.core.store.StoreTable
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested

/**
 * Guards against one record of another writer that ends what follows the store: the decoder of the
 * platform overflowed the stack on lists nested in each other, and no gateway served again.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class OddStoreRecordsTest {
    /** Decodes the revision of a configuration and any endpoint, but throws on [ODD] values. */
    private object FailingDecoder : RecordDecoder {
        private fun read(value: ByteArray): String {
            val text = value.decodeToString()
            if (text == ODD) throw StackOverflowError()
            return text
        }

        override fun decodeRouting(key: String, value: ByteArray): RoutingTable = RoutingTable(
            Revision(read(value).toLong()),
            emptyList(),
            emptyList(),
            emptyMap(),
            CallerLimits(1, 1, 1, 1),
            requiresKey = false
        )

        override fun decodeEndpoint(id: EndpointId, value: ByteArray): EndpointRecord {
            val entry = EndpointEntry(id, PoolId(read(value)), "127.0.0.1", 1, "a", 4, false)
            return EndpointRecord(entry, startedAtMs = 1, sequence = 1)
        }
    }

    private val store = SmallStore()
    private lateinit var followed: RecordingStoreListener

    private fun TestScope.follow() {
        followed = followAlone(store, FailingDecoder)
    }

    @Nested
    inner class Records {
        @Test
        fun `the endpoints beside an odd record are known at the start`() = runTest {
            store.write(StoreTable.ENDPOINTS, "e1", "p")
            store.write(StoreTable.ENDPOINTS, "odd", ODD)
            store.write(StoreTable.ENDPOINTS, "e2", "p")
            follow()
            delay(SETTLE_MS)

            assertEquals(setOf("e1", "e2"), followed.endpoints)
        }

        @Test
        fun `endpoints are followed further after an odd record`() = runTest {
            store.write(StoreTable.ENDPOINTS, "e1", "p")
            follow()
            delay(SETTLE_MS)
            store.write(StoreTable.ENDPOINTS, "odd", ODD)
            store.write(StoreTable.ENDPOINTS, "e2", "p")
            delay(SETTLE_MS)
            store.write(StoreTable.ENDPOINTS, "e3", "p")
            delay(SETTLE_MS)

            assertEquals(setOf("e1", "e2", "e3"), followed.endpoints)
        }

        @Test
        fun `a configuration is in force after an odd one`() = runTest {
            store.write(StoreTable.CONFIGURATION, "config", "7")
            follow()
            delay(SETTLE_MS)
            store.write(StoreTable.CONFIGURATION, "config", ODD)
            delay(SETTLE_MS)
            store.write(StoreTable.CONFIGURATION, "config", "9")
            delay(SETTLE_MS)

            assertEquals(9, followed.revision)
        }
    }

    @Nested
    inner class Steps {
        /** The step that reads may fail as well, with whatever a library throws. */
        @Test
        fun `the store is followed further after any error and exception`() = runTest {
            store.write(StoreTable.ENDPOINTS, "e0", "p")
            follow()
            delay(SETTLE_MS)
            val failures = listOf(
                StackOverflowError(),
                NoClassDefFoundError("lost"),
                IOException("closed"),
                IllegalStateException("unexpected")
            )
            for ((number, failure) in failures.withIndex()) {
                store.failure = failure
                while (store.failure != null) delay(SmallStore.READ_MS)
                store.write(StoreTable.ENDPOINTS, "e${number + 1}", "p")
                delay(SETTLE_MS)
                val endpoints = followed.endpoints
                assertTrue("e${number + 1}" in endpoints, "after $failure: $endpoints")
            }
        }
    }

    private companion object {
        const val ODD = "odd"

        /** Several reads and the pause after a failed one, in ms. */
        const val SETTLE_MS = 4_000L
    }
}

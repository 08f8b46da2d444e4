package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.PoolVersion
import cowslipcart.core.forwarding.StreamEffect
import cowslipcart.core.forwarding.StreamKey
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.VersionId
import cowslipcart.core.store.StoreTable
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested

/** Guards against versions that hosts forget when all of them stop at once. */
class VersionKeeperTest {
    private val store = FailingStore()
    private val inputs = mutableListOf<ForwardingInput>()
    private val version = PoolVersion(PoolId("pool"), VersionId("v1"))

    private fun TestScope.startKeeper(): VersionKeeper =
        VersionKeeper(followingAlone(store, NoDecoder), HostId("h"), Random(3)) { inputs += it }
            .also { it.start(backgroundScope) }

    @Nested
    inner class Storing {
        @Test
        fun `a host that starts reads what another one stored`() = runTest {
            startKeeper().perform(StreamEffect.Store(version))
            delay(SETTLE_MS)
            assertEquals(ForwardingInput.VersionStored(version), inputs.last())
            startKeeper()
            delay(SETTLE_MS)

            assertEquals(ForwardingInput.VersionsRead(setOf(version)), inputs.last())
        }

        @Test
        fun `a version is stored after an outage`() = runTest {
            store.failingCalls = 6
            startKeeper().perform(StreamEffect.Store(version))
            delay(LONG_MS)

            assertEquals(ForwardingInput.VersionStored(version), inputs.last())
        }

        @Test
        fun `a record of another writer is no version`() = runTest {
            store.records["odd"] = "no pool".encodeToByteArray()
            startKeeper()
            delay(SETTLE_MS)

            assertEquals(ForwardingInput.VersionsRead(emptySet()), inputs.last())
        }
    }

    /** Guards against streams of several versions that are all refused after all hosts stopped. */
    @Nested
    inner class Streams {
        private val other = PoolVersion(PoolId("pool"), VersionId("v2"))

        private fun keep(key: Long) = StreamEffect.Keep(mapOf(StreamKey(key) to version.version))

        private suspend fun TestScope.readAfterKeeping(vararg versions: PoolVersion) {
            val keeper = startKeeper()
            for (stored in versions) keeper.perform(StreamEffect.Store(stored))
            for (key in 1L..MANY) keeper.perform(keep(key))
            delay(SETTLE_MS)
            inputs.clear()
            startKeeper()
            delay(SETTLE_MS)
        }

        @Test
        fun `the last streams are read before the versions`() = runTest {
            readAfterKeeping(version, other)

            val told = inputs.filterIsInstance<ForwardingInput.StreamsTold>()
            assertEquals(StreamSlots.SLOT_COUNT, told.size)
            assertTrue(told.any { StreamKey(MANY) in it.versions })
            assertEquals(ForwardingInput.VersionsRead(setOf(version, other)), inputs.last())
        }

        @Test
        fun `they are not read if there is one version only`() = runTest {
            readAfterKeeping(version)

            assertEquals(
                listOf<ForwardingInput>(ForwardingInput.VersionsRead(setOf(version))),
                inputs
            )
        }
    }

    @Nested
    inner class Removing {
        @Test
        fun `a version whose streams have ended is removed`() = runTest {
            val keeper = startKeeper()
            keeper.perform(StreamEffect.Store(version))
            keeper.perform(StreamEffect.Remove(version))
            delay(SETTLE_MS)

            assertTrue(store.records.isEmpty())
        }

        /** Guards against the removal of a version that another host has stored again. */
        @Test
        fun `a version is kept if the table changes meanwhile`() = runTest {
            val keeper = startKeeper()
            keeper.perform(StreamEffect.Store(version))
            delay(SETTLE_MS)
            store.beforePutAt = { store.put(StoreTable.VERSIONS, "other", byteArrayOf(1)) }
            keeper.perform(StreamEffect.Remove(version))
            delay(SETTLE_MS)

            assertEquals(2, store.records.size)
        }
    }

    private companion object {
        const val SETTLE_MS = 1_000L
        const val LONG_MS = 20_000L

        /** More streams than a writer has records. */
        const val MANY = 100L
    }
}

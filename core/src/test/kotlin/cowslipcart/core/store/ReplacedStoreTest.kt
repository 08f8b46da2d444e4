package cowslipcart.core.store

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.StoreEra
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against changes that are missed after the store came back from an older copy. */
class ReplacedStoreTest {
    private val feed = EndpointFeed()

    private fun change(
        id: String,
        offset: Long,
        sequence: Long,
        isDraining: Boolean = false
    ): EndpointChange {
        val entry = EndpointEntry(EndpointId(id), PoolId("p"), "127.0.0.1", 1, "a", 4, isDraining)
        return EndpointChange(EndpointId(id), EndpointRecord(entry, 1, sequence), LogOffset(offset))
    }

    private fun snapshot(era: Long, nowMs: Long, end: Long, vararg changes: EndpointChange) {
        feed.onEra(StoreEra(era))
        feed.onSnapshot(changes.toList(), LogOffset(end), nowMs, nowMs)
    }

    private fun ids(nowMs: Long) = feed.entries(nowMs).map { it.id.value }.sorted()

    private fun drainingIds(nowMs: Long) =
        feed.entries(nowMs).filter { it.isDraining }.map { it.id.value }

    @Nested
    inner class Reading {
        @Test
        fun `changes of another era are not applied and a snapshot is read`() {
            snapshot(1, 0, 100, change("a", 99, 5))
            assertTrue(feed.onEra(StoreEra(2)))
            assertNull(feed.next)
            assertEquals(0, feed.untilReadMs(groupRank = 5, nowMs = 10))
        }

        @Test
        fun `changes at offsets that were given out before are applied`() {
            snapshot(1, 0, 100, change("a", 99, 5))
            snapshot(2, 1_000, 91, change("a", 90, 4))
            val draining = listOf(change("a", 91, 6, isDraining = true))
            feed.onChanges(draining, LogOffset(91), LogOffset(92), 1_100, 1_100)
            assertEquals(listOf("a"), drainingIds(1_100))
        }

        @Test
        fun `an endpoint that was draining stays so although the copy is older`() {
            snapshot(1, 0, 100, change("a", 99, 5, isDraining = true))
            snapshot(2, 1_000, 91, change("a", 90, 4))
            assertEquals(listOf("a"), drainingIds(1_000))
        }

        @Test
        fun `an endpoint that had left stays away although the copy still has it`() {
            snapshot(1, 0, 100, change("a", 98, 5), change("b", 99, 5))
            val removal = listOf(EndpointChange(EndpointId("a"), null, LogOffset(100)))
            feed.onChanges(removal, LogOffset(100), LogOffset(101), 100, 100)
            snapshot(2, 1_000, 91, change("a", 89, 5), change("b", 90, 5))
            assertEquals(listOf("b"), ids(1_000))
            assertEquals(listOf("b"), ids(9_000))
        }

        @Test
        fun `an endpoint that the copy lacks has time to write its entry again`() {
            snapshot(1, 0, 100, change("a", 98, 5), change("b", 99, 5))
            snapshot(2, 1_000, 91, change("a", 90, 5))
            assertEquals(listOf("a", "b"), ids(2_500))
            assertEquals(listOf("a"), ids(3_100))
        }
    }

    @Nested
    inner class Updates {
        private val other = EndpointFeed()

        private fun updateOf(era: Long, end: Long, nowMs: Long, vararg changes: EndpointChange) =
            other.run {
                onEra(StoreEra(era))
                onSnapshot(changes.toList(), LogOffset(end), nowMs, nowMs)
                checkNotNull(update(nowMs))
            }

        @Test
        fun `an update of a later era makes this host read itself`() {
            snapshot(1, 0, 100, change("a", 99, 5))
            assertFalse(feed.onUpdate(updateOf(2, 91, 900, change("a", 90, 4)), 900))
            assertEquals(0, feed.untilReadMs(groupRank = 5, nowMs = 900))
        }

        @Test
        fun `an update of an earlier era does not count as news`() {
            snapshot(2, 0, 100, change("a", 99, 5))
            assertFalse(feed.onUpdate(updateOf(1, 100, 900, change("a", 99, 5)), 900))
            assertEquals(0, feed.asOfMs)
        }

        @Test
        fun `an update of the same era is applied`() {
            snapshot(2, 0, 100, change("a", 99, 5))
            assertTrue(feed.onUpdate(updateOf(2, 100, 900, change("a", 99, 5)), 900))
        }
    }
}

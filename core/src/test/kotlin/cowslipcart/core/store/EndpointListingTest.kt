package cowslipcart.core.store

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class EndpointListingTest {
    private val listing = EndpointListing()
    private val id = EndpointId("e1")

    private fun change(
        offset: Long,
        heartbeat: Long,
        isDraining: Boolean = false,
        startedAtMs: Long = 1,
        slots: Int = 4
    ) = EndpointChange(
        id,
        EndpointRecord(
            EndpointEntry(id, PoolId("p"), "127.0.0.1", 1, "a", slots, isDraining),
            startedAtMs,
            heartbeat
        ),
        LogOffset(offset)
    )

    private fun EndpointListing.onChanges(changes: List<EndpointChange>) = onChanges(changes, 0)

    private fun EndpointListing.onSnapshot(changes: List<EndpointChange>, end: LogOffset) =
        onSnapshot(changes, end, 0)

    private fun delete(offset: Long) = EndpointChange(id, null, LogOffset(offset))

    @Nested
    inner class OddRecords {
        private val others = EndpointListing()
        private val confirming = EndpointListing.CONFIRMING_RECORDS

        private fun apply(vararg changes: EndpointChange) {
            for (change in changes) others.onChanges(listing.onChanges(listOf(change)))
        }

        private fun applyHeartbeats() {
            for (number in 1L..confirming) apply(change(9 + number, heartbeat = 9 + number))
        }

        private fun bothEntries() = listOf(listing, others).map { it.entries(0).single() }

        /** Guards against a record with a huge number that shuts out its endpoint for ever. */
        @Test
        fun `records in a row overrule one that is newer only by its sequence`() {
            apply(change(1, heartbeat = 5), change(2, heartbeat = 1_000_000_000, slots = 9))
            assertEquals(listOf(9, 9), bothEntries().map { it.slotCount })
            applyHeartbeats()

            assertEquals(listOf(4, 4), bothEntries().map { it.slotCount })
        }

        @Test
        fun `records in a row overrule one that is newer only by its start`() {
            apply(change(1, heartbeat = 5))
            apply(change(2, heartbeat = 1, startedAtMs = 4_000_000_000_000, slots = 9))
            applyHeartbeats()

            assertEquals(listOf(4, 4), bothEntries().map { it.slotCount })
        }

        @Test
        fun `draining after an overruled record is seen at once by all`() {
            apply(change(1, heartbeat = 5), change(2, heartbeat = 1_000_000_000, slots = 9))
            applyHeartbeats()
            apply(change(30, heartbeat = 30, isDraining = true))

            assertEquals(listOf(true, true), bothEntries().map { it.isDraining })
        }

        @Test
        fun `a draining and a deleted endpoint stay so`() {
            apply(change(1, heartbeat = 100, isDraining = true))
            applyHeartbeats()
            assertEquals(listOf(true, true), bothEntries().map { it.isDraining })

            apply(delete(40))
            for (number in 1L..confirming) apply(change(50 + number, heartbeat = 9 + number))
            assertTrue(listing.entries(10_000).isEmpty())
        }

        @Test
        fun `a repeated or a descending record confirms nothing`() {
            apply(change(1, heartbeat = 50, slots = 9))
            repeat(confirming * 2) { apply(change(2, heartbeat = 7)) }
            repeat(confirming * 2) { apply(change(3L + it, heartbeat = 49L - it)) }

            assertEquals(9, listing.entries(0).single().slotCount)
        }
    }

    @Nested
    inner class Order {
        @Test
        fun `an earlier record that arrives late does not end the draining of its endpoint`() {
            listing.onChanges(listOf(change(5, heartbeat = 9, isDraining = true)))
            listing.onChanges(listOf(change(6, heartbeat = 8)))

            assertTrue(listing.entries(0).single().isDraining)
        }

        @Test
        fun `a record of a restarted endpoint is newer whatever its number`() {
            listing.onChanges(listOf(change(5, heartbeat = 9, isDraining = true)))
            listing.onChanges(listOf(change(6, heartbeat = 1, startedAtMs = 2)))

            assertEquals(false, listing.entries(0).single().isDraining)
        }

        @Test
        fun `a stale snapshot does not list a deleted endpoint again`() {
            listing.onChanges(listOf(change(5, heartbeat = 2), delete(8)))
            listing.onSnapshot(listOf(change(5, heartbeat = 2)), LogOffset(6))

            assertTrue(listing.entries(10_000).isEmpty())
        }
    }

    @Nested
    inner class Removal {
        @Test
        fun `a deleted endpoint takes no work`() {
            listing.onChanges(listOf(change(5, heartbeat = 2), delete(6)))

            assertTrue(listing.entries(10_000).isEmpty())
        }

        @Test
        fun `an endpoint that is missing in a newer snapshot is removed`() {
            listing.onChanges(listOf(change(5, heartbeat = 2)))
            listing.onSnapshot(emptyList(), LogOffset(6))

            assertTrue(listing.entries(10_000).isEmpty())
        }

        @Test
        fun `an entry that expired in an outage stays for two seconds after its end`() {
            listing.onChanges(listOf(change(5, heartbeat = 2)))
            listing.onStoreLost()
            listing.onStoreAnswered(0, 20_000)
            listing.onChanges(listOf(delete(6)), 20_000)

            assertEquals(1, listing.entries(21_900).size)
            assertTrue(listing.entries(22_100).isEmpty())
        }

        @Test
        fun `an unreadable record names no endpoint`() {
            listing.onChanges(listOf(change(5, heartbeat = 2), delete(6), change(7, heartbeat = 3)))

            assertEquals(1, listing.entries(10_000).size)
        }
    }
}

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
        startedAtMs: Long = 1
    ) = EndpointChange(
        id,
        EndpointRecord(
            EndpointEntry(id, PoolId("p"), "127.0.0.1", 1, "a", 4, isDraining),
            startedAtMs,
            heartbeat
        ),
        LogOffset(offset)
    )

    private fun delete(offset: Long) = EndpointChange(id, null, LogOffset(offset))

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
            listing.onStoreAnswered(20_000)
            listing.onChanges(listOf(delete(6)))

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

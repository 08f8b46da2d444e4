package cowslipcart.core.store

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class EndpointFeedTest {
    private val reader = EndpointFeed()
    private val member = EndpointFeed()
    private val id = EndpointId("e1")

    private fun record(heartbeat: Long, isDraining: Boolean = false, of: EndpointId = id) =
        EndpointRecord(
            EndpointEntry(of, PoolId("p"), "127.0.0.1", 1, "a", 4, isDraining),
            startedAtMs = 1,
            sequence = heartbeat
        )

    private fun change(offset: Long, record: EndpointRecord?) =
        EndpointChange(record?.entry?.id ?: id, record, LogOffset(offset))

    private fun EndpointFeed.read(from: Long, changes: List<EndpointChange>, atMs: Long = 0) {
        val end = LogOffset(from + changes.size)
        onChanges(changes, LogOffset(from), end, atMs, atMs)
    }

    private fun start(vararg feeds: EndpointFeed) {
        for (feed in feeds) {
            feed.onSnapshot(listOf(change(0, record(1))), LogOffset(1), 0, 0)
        }
    }

    @Nested
    inner class Updates {
        @Test
        fun `heartbeats that change nothing are left out`() {
            start(reader)
            reader.read(1, listOf(change(1, record(2)), change(2, record(3))))

            val update = assertNotNull(reader.update(0))
            assertEquals(emptyList(), update.changes)
            assertEquals(LogOffset(3), update.next)
        }

        @Test
        fun `an update covers the reads of the last seconds`() {
            start(reader, member)
            reader.read(1, listOf(change(1, record(2, isDraining = true))), atMs = 1_000)
            reader.read(2, listOf(change(2, record(3, isDraining = true))), atMs = 2_000)

            assertTrue(member.onUpdate(assertNotNull(reader.update(2_000)), 2_000))
            assertTrue(member.entries(2_000).single().isDraining)
        }

        /** Guards against a host that missed a change and applies a later update as if complete. */
        @Test
        fun `an update that starts after the known offset is not applied`() {
            start(reader, member)
            reader.read(1, listOf(change(1, record(2, isDraining = true))), atMs = 1_000)
            reader.read(2, listOf(change(2, record(3, isDraining = true))), atMs = 9_000)

            assertFalse(member.onUpdate(assertNotNull(reader.update(9_000)), 9_000))
            assertEquals(LogOffset(1), member.next)
        }

        /**
         * Guards against a deleted endpoint that is listed again: its heartbeats were left out of
         * the update, and an earlier one arrives late in the log.
         */
        @Test
        fun `a late record from before a deletion does not list the endpoint again`() {
            start(reader, member)
            reader.read(1, listOf(change(1, record(50)), change(2, null)))
            assertTrue(member.onUpdate(assertNotNull(reader.update(0)), 0))

            member.read(3, listOf(change(3, record(30))))
            assertEquals(emptyList(), member.entries(10_000))
        }
    }

    /**
     * Guards against requests to endpoints that have left: their entries came back for two seconds
     * on all hosts whenever one of them had lost the store, or one call had failed.
     */
    @Nested
    inner class Outages {
        private val other = EndpointFeed()

        private fun deletion(offset: Long) = change(offset, null)

        @Test
        fun `one failed call delays no deletion`() {
            start(reader)
            reader.onFailed(retryAtMs = 700)
            reader.read(1, listOf(deletion(1)), atMs = 1_100)

            assertTrue(reader.entries(1_100).isEmpty())
        }

        @Test
        fun `an endpoint that was deleted before an outage does not come back`() {
            start(reader)
            reader.read(1, listOf(deletion(1)), atMs = 900)
            reader.onFailed(retryAtMs = 2_000)
            assertTrue(reader.entries(1_800).isEmpty())
            reader.read(2, emptyList(), atMs = 9_000)

            assertTrue(reader.entries(9_000).isEmpty())
        }

        @Test
        fun `the return of one host to the store brings back no endpoint`() {
            start(reader, member, other)
            reader.read(1, listOf(deletion(1)), atMs = 900)
            assertTrue(member.onUpdate(assertNotNull(reader.update(900)), 900))
            other.onFailed(retryAtMs = 1_000)
            for (atMs in 1_800L..8_100 step 900) {
                reader.read(2, emptyList(), atMs)
                assertTrue(member.onUpdate(assertNotNull(reader.update(atMs)), atMs))
            }
            other.read(1, listOf(deletion(1)), atMs = 8_500)
            assertTrue(member.onUpdate(assertNotNull(other.update(8_500)), 8_500))

            assertTrue(member.entries(8_500).isEmpty())
        }

        @Test
        fun `the return of one host to the store delays no deletion`() {
            start(reader, member, other)
            other.onFailed(retryAtMs = 1_000)
            for (atMs in 900L..8_100 step 900) {
                reader.read(1, emptyList(), atMs)
                assertTrue(member.onUpdate(assertNotNull(reader.update(atMs)), atMs))
            }
            other.read(1, emptyList(), atMs = 8_500)
            assertTrue(member.onUpdate(assertNotNull(other.update(8_500)), 8_500))
            reader.read(1, listOf(deletion(1)), atMs = 9_000)
            assertTrue(member.onUpdate(assertNotNull(reader.update(9_000)), 9_000))

            assertTrue(member.entries(9_000).isEmpty())
        }

        @Test
        fun `entries that expired in an outage stay for two seconds on all hosts`() {
            start(reader, member)
            reader.onFailed(retryAtMs = 1_000)
            reader.read(1, listOf(deletion(1)), atMs = 6_000)
            assertTrue(member.onUpdate(assertNotNull(reader.update(6_000)), 6_000))

            for (feed in listOf(reader, member)) {
                assertEquals(1, feed.entries(7_900).size)
                assertTrue(feed.entries(8_100).isEmpty())
            }
        }
    }

    @Nested
    inner class MaxAge {
        @Test
        fun `the maximum age grows with the rank of the host`() {
            start(reader, member)
            val firstMs = reader.untilReadMs(0, 0)
            assertTrue(firstMs < member.untilReadMs(1, 0))
            assertTrue(member.untilReadMs(1, 0) < member.untilReadMs(7, 0))
        }

        @Test
        fun `the age of the read counts, not the arrival of the update`() {
            start(reader, member)
            reader.read(1, listOf(change(1, record(2))), atMs = 500)
            val before = member.untilReadMs(7, 500)
            assertTrue(member.onUpdate(assertNotNull(reader.update(700)), 700))

            assertEquals(before + 500 - 200, member.untilReadMs(7, 700))
        }
    }

    @Nested
    inner class Histories {
        /** Random logs, read in parts by one host and published to another that misses updates. */
        @Test
        fun `a host that gets updates has the same endpoints as one that reads everything`() {
            for (seed in 1..500) compare(Random(seed))
        }

        private fun compare(random: Random) {
            val log = randomLog(random)
            val updated = EndpointFeed()
            val direct = EndpointFeed()
            for (feed in listOf(direct, updated)) feed.onSnapshot(emptyList(), LogOffset(0), 0, 0)
            var from = 0
            while (from < log.size) {
                val until = minOf(log.size, from + random.nextInt(1, 5))
                direct.read(from.toLong(), log.subList(from, until))
                val isLost = random.nextInt(4) == 0
                if (!isLost) assertTrue(updated.onUpdate(assertNotNull(direct.update(0)), 0))
                from = until
            }
            updated.onUpdate(assertNotNull(direct.update(0)), 0)
            val expected = direct.entries(10_000).toSet()
            assertEquals(expected, updated.entries(10_000).toSet())
        }

        private fun randomLog(random: Random): List<EndpointChange> {
            val heartbeats = mutableMapOf<EndpointId, Long>()
            return (0L until 40).map { offset ->
                val endpoint = EndpointId("e${random.nextInt(3)}")
                val heartbeat = heartbeats.getOrDefault(endpoint, 0) + 1
                when (random.nextInt(6)) {
                    0 -> EndpointChange(endpoint, null, LogOffset(offset))

                    1 -> change(offset, record(maxOf(1, heartbeat - 3), of = endpoint))

                    else -> {
                        heartbeats[endpoint] = heartbeat
                        change(offset, record(heartbeat, random.nextInt(5) == 0, endpoint))
                    }
                }
            }
        }
    }
}

package cowslipcart.core.store

import cowslipcart.core.model.LogOffset
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class ConfigurationFeedTest {
    private val reader = ConfigurationFeed(BOUND_MS)
    private val member = ConfigurationFeed(BOUND_MS)

    private fun record(offset: Long) = TableRecord("config", ByteArray(1), LogOffset(offset))

    private fun ConfigurationFeed.read(next: Long, newest: TableRecord?, atMs: Long) =
        onRead(LogOffset(next), newest, atMs, atMs)

    private fun start() {
        reader.read(1, record(0), 0)
        member.read(1, record(0), 0)
    }

    @Nested
    inner class Orders {
        /** Guards against an order that only the first host of a group has read when it dies. */
        @Test
        fun `no update lets a member skip an order beside a configuration`() {
            start()
            reader.read(2, record(1), 500)
            reader.onRead(LogOffset(3), null, 600, 600, hasOrders = true)
            reader.read(4, record(3), 700)
            val update = assertNotNull(reader.update(700))

            assertNull(member.missingIn(update))
            assertFalse(member.onUpdate(update, 703))
            assertEquals(LogOffset(1), member.next)
        }
    }

    @Nested
    inner class Members {
        /** Guards against a hundred hosts that all read each change from the store. */
        @Test
        fun `a member gets a new configuration from an update`() {
            start()
            reader.read(2, record(1), 500)
            val update = assertNotNull(reader.update(500))
            assertEquals(LogOffset(1), assertNotNull(member.missingIn(update)).offset)
            member.onApplied(update, 503)

            assertTrue(member.onUpdate(update, 503))
            assertEquals(LogOffset(2), member.next)
            assertNull(member.missingIn(update))
        }

        @Test
        fun `an update that comes again, or an older one, changes nothing`() {
            start()
            val older = assertNotNull(reader.update(100))
            reader.read(2, record(1), 500)
            val update = assertNotNull(reader.update(500))
            member.onApplied(update, 503)

            assertNull(member.missingIn(update))
            assertNull(member.missingIn(older))
            assertTrue(member.onUpdate(older, 600))
            assertEquals(LogOffset(2), member.next)
        }

        @Test
        fun `a member reads itself if the update has no record`() {
            start()
            reader.read(2, record(1), 500)
            val update = assertNotNull(reader.update(500)).copy(record = null)

            assertNull(member.missingIn(update))
            assertFalse(member.onUpdate(update, 503))
        }

        @Test
        fun `a host that has read nothing takes no configuration of another`() {
            reader.read(2, record(1), 500)
            assertNull(member.missingIn(assertNotNull(reader.update(500))))
        }

        @Test
        fun `the record is repeated for some time, since updates are lost`() {
            start()
            reader.read(2, record(1), 500)
            reader.read(2, null, 1_300)
            assertNotNull(assertNotNull(reader.update(2_100)).record)
            assertNull(assertNotNull(reader.update(9_000)).record)
        }
    }

    /** Guards against a change that is in force too late after the loss of the first host. */
    @Nested
    inner class Bounds {
        @Test
        fun `any host reads early enough for a timeout, a pause and another read`() {
            for (boundMs in listOf(2_000L, 3_000L, 4_000L)) {
                val feed = ConfigurationFeed(boundMs)
                feed.read(1, record(0), 0)
                val latestMs = feed.untilReadMs(groupRank = 7, nowMs = 0) + TIMEOUT_AND_PAUSE_MS
                assertTrue(latestMs < boundMs, "bound $boundMs: read at $latestMs")
                assertTrue(feed.waitMs < feed.untilReadMs(groupRank = 1, nowMs = 0))
            }
        }
    }

    private companion object {
        const val BOUND_MS = 2_000L
        const val TIMEOUT_AND_PAUSE_MS = 700L
    }
}

package cowslipcart.core.host

import cowslipcart.core.capacity.NumberedCacheEvent
import cowslipcart.core.capacity.endpoint
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PrefixBlock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Guards against reads that exceed the rate limit, stop after a failure or use an outdated page.
 */
class CacheEventPollerTest {
    private val outbox = Outbox(HostId("host-1")) { null }
    private val id = EndpointId("a")

    private fun pollerOf(limitBytesPerS: Long) =
        CacheEventPoller(limitBytesPerS, outbox).apply { watch(listOf(endpoint("a")), 0) }

    private fun reads() = outbox.takeEffects().filterIsInstance<HostEffect.ReadCacheEvents>()

    private fun page(
        from: Long,
        vararg indexes: Long,
        isTruncated: Boolean = false,
        size: Int = 0
    ) = HostInput.CacheRead(
        id,
        from,
        indexes.map { NumberedCacheEvent(it, PrefixBlock(it), isStored = true) },
        isTruncated,
        size
    )

    /** Times of the reads up to [endMs]; each is answered at once by [answer]. */
    private fun CacheEventPoller.readTimes(
        endMs: Long,
        answer: CacheEventPoller.(Long, Long) -> Unit
    ) = (0..endMs step 20).filter { nowMs ->
        tick(nowMs)
        reads().onEach { answer(it.fromIndex, nowMs) }.isNotEmpty()
    }

    @Nested
    inner class Rate {
        @Test
        fun `an endpoint is read each second`() {
            val times = pollerOf(100_000).readTimes(3_000) { from, nowMs ->
                onRead(page(from, from), nowMs)
            }
            assertEquals(listOf(0L, 1_000L, 2_000L, 3_000L), times)
        }

        @Test
        fun `a truncated page is followed by the next read at once`() {
            val times = pollerOf(1_000_000).readTimes(40) { from, nowMs ->
                onRead(page(from, from, from + 1, isTruncated = true), nowMs)
            }
            assertEquals(listOf(0L, 20L, 40L), times)
        }

        @Test
        fun `the average stays below the limit`() {
            var sizeBytes = 0
            pollerOf(2_000).readTimes(60_000) { from, nowMs ->
                sizeBytes += 16_384
                onRead(page(from, from, from + 1, isTruncated = true, size = 16_384), nowMs)
            }
            // The first 16 KiB may come at once, and the last read may overdraw the bucket.
            assertTrue(sizeBytes in 100_000..(60 * 2_000 + 2 * 16_384), "found $sizeBytes")
        }

        @Test
        fun `a limit of 0 turns reads off`() {
            assertEquals(emptyList(), pollerOf(0).readTimes(5_000) { _, _ -> })
        }
    }

    @Nested
    inner class Failure {
        @Test
        fun `a failed read is retried with growing delays`() {
            val times = pollerOf(100_000).readTimes(10_000) { _, nowMs -> onReadFailed(id, nowMs) }
            assertEquals(listOf(0L, 1_000L, 3_000L, 7_000L), times)
        }

        @Test
        fun `a page that answers a read from before an owner change is ignored`() {
            val poller = pollerOf(100_000)
            poller.tick(0)
            poller.watch(emptyList(), 10)
            poller.watch(listOf(endpoint("a")), 10)
            assertEquals(null, poller.onRead(page(0, 1), 10))
        }
    }
}

package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PrefixBlock
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against prefix index entries that stay wrong for ever or are removed too easily. */
class CacheGapTest {
    private val scheduler = schedulerOf(config(endpoint("a"), endpoint("b")))
    private val prefix = (1..40).toList()
    private val b = EndpointId("b")

    /** Reason of the grant of a request with the prefix, which only "b" reported as stored. */
    private fun reasonAt(nowMs: Long) =
        scheduler.submit(request("r", prefill = 2_560, prefix = prefix), nowMs)
            .grants.single().reason

    private fun storeAt(nowMs: Long) = scheduler.applyCacheEvents(
        prefix.map { CacheEvent(b, PrefixBlock(it.toLong()), isStored = true) },
        nowMs
    )

    private fun missAt(count: Long, nowMs: Long) =
        scheduler.applyCacheGap(b, CacheGap.Missing(count), nowMs)

    @Nested
    inner class Missing {
        @Test
        fun `few missing events leave the entries`() {
            storeAt(0)
            missAt(10, 60_000)
            assertEquals("prefix", reasonAt(60_000))
        }

        @Test
        fun `missing events add up until entries without recent evidence are removed`() {
            storeAt(0)
            missAt(5, 60_000)
            missAt(6, 60_000)
            assertEquals("least-wait", reasonAt(60_000))
        }

        @Test
        fun `entries with recent stored events are kept`() {
            storeAt(31_000)
            missAt(1_000, 60_000)
            assertEquals("prefix", reasonAt(60_000))
        }

        @Test
        fun `entries with recent grants are kept`() {
            storeAt(0)
            reasonAt(40_000)
            missAt(1_000, 60_000)
            val next = scheduler.submit(request("s", prefill = 2_560, prefix = prefix), 60_000)
            assertEquals("b", next.grantedEndpoint)
        }
    }

    @Nested
    inner class LateEviction {
        /**
         * Grants a request on "b", then reports evictions that may have happened before the grant.
         */
        private fun grantAndEvict() {
            storeAt(0)
            reasonAt(10_000)
            val events = prefix.map { CacheEvent(b, PrefixBlock(it.toLong()), isStored = false) }
            scheduler.applyCacheEvents(events, 10_500)
        }

        private fun secondReasonAt(nowMs: Long): String {
            scheduler.tick(nowMs)
            return scheduler.submit(request("s", prefill = 2_560, prefix = prefix), nowMs)
                .grants.single().reason
        }

        @Test
        fun `an eviction that may precede the last grant is not applied at once`() {
            grantAndEvict()
            assertEquals("prefix", secondReasonAt(11_000))
        }

        @Test
        fun `an eviction is applied when no event shows that the prompt was stored again`() {
            grantAndEvict()
            assertEquals("least-wait", secondReasonAt(16_000))
        }

        @Test
        fun `an eviction is ignored when the prompt was stored again`() {
            grantAndEvict()
            storeAt(12_000)
            assertEquals("prefix", secondReasonAt(16_000))
        }
    }

    @Nested
    inner class Restart {
        @Test
        fun `all entries are removed`() {
            storeAt(60_000)
            scheduler.applyCacheGap(b, CacheGap.Restarted, 60_000)
            assertEquals("least-wait", reasonAt(60_000))
        }
    }
}

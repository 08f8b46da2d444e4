package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.routing.QuotaSpec
import cowslipcart.core.routing.QuotaUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class SharedQuotaTest {
    private val quota = QuotaSpec(QuotaUnit.TOKENS, RATE, RATE, 1)
    private val together = HostCounts(known = 4, live = 4)
    private val alone = HostCounts(known = 4, live = 1)

    private fun bucket() = SharedQuota(quota, startShare = 1.0, nowMs = 0)

    /** Units that a host gets in [WINDOW_MS] if it constantly asks for more than the limit. */
    private fun takeAll(bucket: SharedQuota, hosts: HostCounts): Double {
        var taken = 0.0
        for (nowMs in 0L..WINDOW_MS step 10) {
            if (bucket.tryTake(COST, hosts, nowMs) == SharedQuota.Admission.Taken) taken += COST
        }
        return taken
    }

    @Nested
    inner class Together {
        @Test
        fun `one host gets the whole limit if no other uses it`() {
            val taken = takeAll(bucket(), together)
            assertTrue(taken >= RATE * WINDOW_MS / 1_000, "found $taken")
        }

        @Test
        fun `units used by other hosts count`() {
            val bucket = bucket()
            bucket.onPeerUse(HostId("b"), 0.0)
            bucket.onPeerUse(HostId("b"), RATE)

            assertIs<SharedQuota.Admission.Later>(bucket.tryTake(COST, together, 0))
        }

        @Test
        fun `units that another host returns are available again`() {
            val bucket = bucket()
            bucket.onPeerUse(HostId("b"), 0.0)
            bucket.onPeerUse(HostId("b"), RATE)
            bucket.onPeerUse(HostId("b"), 0.0)

            assertEquals(SharedQuota.Admission.Taken, bucket.tryTake(COST, together, 0))
        }
    }

    @Nested
    inner class Partitioned {
        @Test
        fun `hosts that are isolated from each other stay below the limit together`() {
            val taken = (1..4).sumOf { takeAll(bucket(), alone) }
            val allowed = (RATE * WINDOW_MS / 1_000 + RATE) * 1.1
            assertTrue(taken <= allowed, "expected at most $allowed, found $taken")
        }
    }

    @Nested
    inner class Scarce {
        /** Load pattern: requests of all ranks at several times the organisation's limit. */
        @Test
        fun `urgent requests are admitted while less urgent ones are refused`() {
            val bucket = bucket()
            var urgent = 0
            var other = 0
            for (nowMs in 0L..WINDOW_MS step 10) {
                val taken = SharedQuota.Admission.Taken
                if (bucket.tryTake(COST, together, nowMs, reservedShare = 0.4) == taken) other++
                if (nowMs % 20 == 0L && bucket.tryTake(COST, together, nowMs) == taken) urgent++
            }
            assertEquals(401, urgent)
            assertTrue(other > 0)
        }
    }

    @Nested
    inner class Changed {
        @Test
        fun `a lower limit applies at once`() {
            val bucket = bucket()
            bucket.setQuota(quota.copy(ratePerS = COST, burst = COST))
            bucket.tryTake(COST, together, 0)

            assertIs<SharedQuota.Admission.Later>(bucket.tryTake(COST, together, 0))
        }
    }

    private companion object {
        const val RATE = 10_000.0
        const val COST = 100.0
        const val WINDOW_MS = 8_000L
    }
}

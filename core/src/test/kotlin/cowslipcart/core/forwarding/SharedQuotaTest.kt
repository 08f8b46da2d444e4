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
            bucket.onPeerUse(HostId("b"), 0.0, together, 0)
            bucket.onPeerUse(HostId("b"), RATE, together, 0)

            assertIs<SharedQuota.Admission.Later>(bucket.tryTake(COST, together, 0))
        }

        @Test
        fun `units that another host returns are available again`() {
            val bucket = bucket()
            bucket.onPeerUse(HostId("b"), 0.0, together, 0)
            bucket.onPeerUse(HostId("b"), RATE, together, 0)
            bucket.onPeerUse(HostId("b"), 0.0, together, 0)

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

    /**
     * Load pattern: an organisation asks all hosts for ten times its limit while four of ten are
     * cut off from all others, and are noticed as silent after seconds.
     */
    @Nested
    inner class Cut {
        private inner class Group(count: Int, private val cutFromMs: Long = CUT_FROM_MS) {
            private val names = List(count) { HostId("host-$it") }
            private val buckets = names.associateWith { bucket() }
            private val used = mutableMapOf<HostId, Double>()
            private var isCut = false

            fun run(): List<Pair<Long, Double>> {
                val grants = mutableListOf<Pair<Long, Double>>()
                for (nowMs in 0L..END_MS step STEP_MS) {
                    isCut = nowMs in cutFromMs until cutFromMs + CUT_MS
                    if (nowMs % REPORT_MS == 0L) report(nowMs)
                    for ((name, bucket) in buckets) {
                        repeat(ASKED_PER_STEP) {
                            val taken = bucket.tryTake(COST, counts(name, nowMs), nowMs)
                            if (taken != SharedQuota.Admission.Taken) return@repeat
                            used.merge(name, COST, Double::plus)
                            grants += nowMs to COST
                        }
                    }
                }
                return grants
            }

            private fun canReach(from: HostId, to: HostId): Boolean =
                !isCut || (from !in cutOff && to !in cutOff)

            private fun counts(name: HostId, nowMs: Long): HostCounts {
                val isNoticed = isCut && nowMs >= cutFromMs + SILENT_MS
                val live = if (isNoticed) names.count { it == name || canReach(it, name) } else 10
                return HostCounts(names.size, live)
            }

            private val cutOff = names.take(4).toSet()

            private fun report(nowMs: Long) {
                for (to in names) {
                    val bucket = buckets.getValue(to)
                    for (from in names - to) {
                        val isHeard = canReach(from, to)
                        val counts = counts(to, nowMs)
                        if (isHeard) bucket.onPeerUse(from, used[from] ?: 0.0, counts, nowMs)
                        if (!isHeard && counts.live < 10) bucket.onPeerSilent(from)
                    }
                }
            }
        }

        @Test
        fun `no window exceeds the limit by more than a tenth and a second of the rate`() {
            checkWindows(Group(count = 10).run())
        }

        /**
         * Guards against a cut that begins while all hosts refuse: each host then took the other
         * hosts to use nothing, and the whole limit for itself.
         */
        @Test
        fun `that holds whenever the cut begins`() {
            for (cutFromMs in 5_000L..7_200L step 200) {
                checkWindows(Group(count = 10, cutFromMs).run())
            }
        }

        private fun checkWindows(grants: List<Pair<Long, Double>>) {
            val allowed = (RATE * WINDOW_MS / 1_000 + RATE) * 1.1 + RATE
            for (fromMs in 0L..END_MS - WINDOW_MS step 100) {
                val window = fromMs until fromMs + WINDOW_MS
                val granted = grants.filter { it.first in window }.sumOf { it.second }
                assertTrue(granted <= allowed, "from $fromMs: found $granted, allowed $allowed")
            }
        }

        @Test
        fun `the limit is used while no host is cut off`() {
            val grants = Group(count = 10).run()
            val granted = grants.filter { it.first in 1_000L until CUT_FROM_MS }.sumOf { it.second }
            val limit = RATE * (CUT_FROM_MS - 1_000) / 1_000
            assertTrue(granted >= limit * 0.9, "found $granted of $limit")
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
                if (bucket.tryTake(COST, together, nowMs, reserve = QuotaReserve.Kept(0.4)) ==
                    taken
                ) {
                    other++
                }
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
        const val STEP_MS = 10L

        /**
         * Requests of [COST] at each host in [STEP_MS], so that all ask for ten times the limit.
         */
        const val ASKED_PER_STEP = 1
        const val REPORT_MS = 200L
        const val SILENT_MS = 2_400L
        const val CUT_FROM_MS = 6_000L
        const val CUT_MS = 6_000L
        const val END_MS = 20_000L
    }
}

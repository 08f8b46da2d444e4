package cowslipcart.core.forwarding

import cowslipcart.core.model.PoolId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class QuotaDemandTest {
    private val demand = QuotaDemand()
    private val pool = PoolId("pool")

    @Nested
    inner class Ranks {
        /** Guards against units that are kept for urgent work which an organisation never sends. */
        @Test
        fun `an organisation without urgent work has no reserve for it`() {
            demand.onAsked(PoolId("other"), rank = 0, cost = 100.0, nowMs = 0)
            val urgency = demand.onAsked(pool, rank = 2, cost = 100.0, nowMs = 0)
            assertEquals(QuotaUrgency.Ranked(0), urgency)
        }

        @Test
        fun `more urgent ranks of the same pool count`() {
            for (rank in 0..1) demand.onAsked(pool, rank, cost = 100.0, nowMs = 0)
            assertEquals(QuotaUrgency.Ranked(2), demand.onAsked(pool, 2, cost = 100.0, nowMs = 10))
        }

        @Test
        fun `a rank that is no longer asked for is forgotten`() {
            demand.onAsked(pool, rank = 0, cost = 100.0, nowMs = 0)
            val urgency = demand.onAsked(pool, rank = 1, cost = 100.0, nowMs = 30_000)
            assertEquals(QuotaUrgency.Ranked(0), urgency)
        }
    }

    @Nested
    inner class Costs {
        @Test
        fun `a request is negligible beside much larger ones only`() {
            repeat(20) { demand.onAsked(pool, rank = 0, cost = 7_000.0, nowMs = 0) }
            assertEquals(QuotaUrgency.Negligible, demand.onAsked(pool, 2, cost = 100.0, nowMs = 0))
            assertEquals(QuotaUrgency.Ranked(1), demand.onAsked(pool, 2, cost = 700.0, nowMs = 0))
        }
    }

    @Nested
    inner class Reserve {
        private fun needed(urgency: QuotaUrgency, draw: Double, excess: Double = EXCESS): Double =
            AdmissionRule.quotaReserve(urgency, BURST, excess, draw)
                .neededUnits(cost = 100.0, burst = BURST, liveShare = 1.0)

        @Test
        fun `a less urgent request needs a higher level`() {
            for (draw in listOf(0.0, 0.5, 1.0)) {
                val levels = (0..2).map { needed(QuotaUrgency.Ranked(it), draw) }
                assertTrue(levels[0] < levels[1] && levels[1] < levels[2], "found $levels")
            }
        }

        /** Guards against a limit that is overdrawn by all that may go beyond it. */
        @Test
        fun `the overdraft leaves most of the tolerated excess`() {
            val lowest = needed(QuotaUrgency.Ranked(0), draw = 0.0)
            assertTrue(lowest < 0 && lowest > -EXCESS / 2, "found $lowest")
        }

        @Test
        fun `the overdraft is less than the burst however much is tolerated`() {
            assertTrue(needed(QuotaUrgency.Negligible, draw = 1.0, excess = 100 * BURST) > -BURST)
        }

        /** A part of the hosts has the same part of the overdraft. */
        @Test
        fun `hosts that are cut off share the demanded level`() {
            val reserve = AdmissionRule.quotaReserve(QuotaUrgency.Ranked(0), BURST, EXCESS, 0.0)
            val whole = reserve.neededUnits(100.0, BURST, liveShare = 1.0)
            assertEquals(whole / 4, reserve.neededUnits(100.0, BURST, liveShare = 0.25))
        }
    }

    private companion object {
        const val BURST = 10_000.0
        const val EXCESS = 9_000.0
    }
}

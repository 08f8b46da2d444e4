package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.HostId
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Limits of organisations under the worst load patterns of the deployments. */
class LimitLoadTest {
    private val urgent = AskedKind(rank = 0, meanUnits = 7_000.0, share = 0.54)
    private val lessUrgent = AskedKind(rank = 1, meanUnits = 1_000.0, share = 0.1)
    private val leastUrgent = AskedKind(rank = 2, meanUnits = 1_900.0, share = 0.34)
    private val negligible = AskedKind(rank = 0, meanUnits = 100.0, share = 0.02)
    private val kinds = listOf(urgent, lessUrgent, leastUrgent, negligible)
    private val tolerance = QuotaTolerance(WINDOW_MS / 1_000.0, 0.1, 140_000.0)
    private val allowedUnits =
        RATE * (WINDOW_MS / 1_000 + 1) + tolerance.excessUnits(RATE, burst = RATE)
    private val cutHosts = (0 until 7).map { HostId("host-$it") }.toSet()
    private val cut = LinkCut(cutHosts, CUT_FROM_MS until CUT_UNTIL_MS)

    /** Load pattern: a third of the hosts is cut off from all others for 12 s. */
    @Nested
    inner class Cut {
        /** Guards against units that are deducted again, though they were set aside before. */
        @Test
        fun `an organisation within its limit is served again when the cut is over`() {
            val cluster = LimitCluster(HOSTS, RATE, kinds, cut).run(END_MS) { 0.8 }
            val admitted = cluster.admittedShare(CUT_UNTIL_MS, END_MS)
            assertTrue(admitted > 0.93, "found $admitted")
        }

        /** Guards against the same while the organisation asks for three times its limit. */
        @Test
        fun `the limit is used again when the cut is over`() {
            val cluster = LimitCluster(HOSTS, RATE, kinds, cut).run(END_MS) { 3.0 }
            val used = cluster.usedShare(CUT_UNTIL_MS, END_MS)
            assertTrue(used > 0.9, "found $used")
        }

        /**
         * Guards against a host that is cut off and both sets a share aside for the others and
         * deducts what they are assumed to use.
         */
        @Test
        fun `a host that is cut off uses its share of the limit`() {
            val cluster = LimitCluster(HOSTS, RATE, kinds, cut).run(CUT_UNTIL_MS) { 3.0 }
            val admitted = cluster.asked.filter {
                it.host < cutHosts.size && it.isAdmitted && it.atMs >= SILENT_FROM_MS
            }
            val share = RATE * cutHosts.size / HOSTS * (CUT_UNTIL_MS - SILENT_FROM_MS) / 1_000
            val used = admitted.sumOf { it.units } / share
            assertTrue(used > 0.8, "found $used")
        }
    }

    /** Load pattern: a configuration limits an organisation while it sends its usual load. */
    @Nested
    inner class Named {
        /** Guards against a restarted host that takes a new limit for one that others have used. */
        @Test
        fun `an organisation that a later configuration limits starts with its burst`() {
            val fixture = ForwardingFixture(isFirstStart = false)
            fixture.listEndpoints(entry("e1", slots = 100))
            fixture.setLimit(ratePerS = null)
            fixture.setLimit(ratePerS = RATE, revision = 2)
            val commands = fixture.arrive(fixture.call(tokens = (RATE * 0.9).toInt()))
            assertIs<CallCommand.Dispatch>(commands.single())
        }
    }

    /** Load pattern: an organisation asks all hosts for several times its limit for seconds. */
    @Nested
    inner class OverLimit {
        private val cluster = LimitCluster(HOSTS, RATE, kinds, tolerance = tolerance)
            .run(END_MS) { if (it < HOT_FROM_MS) 0.5 else 4.0 }

        private fun admitted(kind: AskedKind) =
            cluster.admittedShare(HOT_FROM_MS, END_MS) { it.kind === kind }

        /** Guards against requests of all ranks that are refused alike, whoever comes first. */
        @Test
        fun `urgent requests are admitted rather than others`() {
            val found = listOf(urgent, lessUrgent, leastUrgent).map { admitted(it) }
            assertTrue(found[0] > 0.35, "found $found")
            assertTrue(found[0] > found[1] && found[1] > found[2] + 0.1, "found $found")
        }

        /** Guards against bookings that are refused as often as the prompts beyond the limit. */
        @Test
        fun `requests that cost almost nothing are admitted rather than others`() {
            assertTrue(admitted(negligible) > 0.5, "found ${admitted(negligible)}")
        }

        @Test
        fun `the limit is used and not exceeded by more than is tolerated`() {
            val used = cluster.usedShare(HOT_FROM_MS, END_MS)
            assertTrue(used > 0.95, "found $used")
            val busiest = cluster.busiestWindow(WINDOW_MS)
            assertTrue(busiest < allowedUnits, "found $busiest, allowed $allowedUnits")
        }
    }

    /** Load pattern: the same while hosts are cut off, beginning at any moment of the overload. */
    @Nested
    inner class OverLimitInCut {
        /** Guards against an overdraft of each host that is cut off, beside that of the others. */
        @Test
        fun `no window exceeds the limit by more than is tolerated`() {
            for (fromMs in 6_000L..8_000L step 250) {
                val cut = LinkCut(cutHosts, fromMs until END_MS)
                val cluster = LimitCluster(HOSTS, RATE, kinds, cut, tolerance)
                    .run(fromMs + WINDOW_MS) { if (it < HOT_FROM_MS) 0.5 else 4.0 }
                val found = cluster.busiestWindow(WINDOW_MS)
                assertTrue(found < allowedUnits, "from $fromMs: found $found of $allowedUnits")
            }
        }
    }

    private companion object {
        const val HOSTS = 20
        const val WINDOW_MS = 8_000L
        const val HOT_FROM_MS = 3_000L
        const val RATE = 400_000.0
        const val CUT_FROM_MS = 5_000L
        const val CUT_UNTIL_MS = 17_000L
        const val END_MS = 22_000L

        /** From then on the hosts on both sides count the others as silent. */
        const val SILENT_FROM_MS = 9_000L
    }
}

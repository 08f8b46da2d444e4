package cowslipcart.core.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against a request that crashes endpoints and reaches them again and again. */
class QuarantineFleetTest {
    /** The hosts that saw the crashes are stopped and started in turn; review/9. */
    @Nested
    inner class Restarts {
        private fun crashAndRestartAll(fleet: QuarantineFleet, hostCount: Int) {
            fleet.pass(2_000, everyMs = 200)
            fleet.pass(1_000, everyMs = null)
            for (index in 0 until hostCount) {
                fleet.restart(index)
                fleet.pass(2_000, everyMs = null)
            }
        }

        @Test
        fun `a host that starts refuses what the others have quarantined`() {
            val fleet = QuarantineFleet(hostCount = 4)
            crashAndRestartAll(fleet, 4)
            val before = fleet.ranAtMs.size
            assertTrue(before >= 3, "ran at ${fleet.ranAtMs}")
            fleet.pass(4_000, everyMs = 200)

            assertTrue(fleet.ranAtMs.size - before <= 1, "ran at ${fleet.ranAtMs}")
        }

        @Test
        fun `a host that starts learns of a quarantine although reports are late`() {
            val fleet = QuarantineFleet(hostCount = 4, deliveryMs = 1_000)
            fleet.pass(1_000, everyMs = 200)
            fleet.pass(2_000, everyMs = null)
            val before = fleet.ranAtMs.size
            repeat(4) {
                fleet.restart(it)
                fleet.pass(3_000, everyMs = null)
            }
            fleet.pass(4_000, everyMs = 200)

            assertTrue(fleet.ranAtMs.size - before <= 1, "ran at ${fleet.ranAtMs}")
        }
    }

    /** All hosts stop at once, as in a loss of power, so that no host can tell another. */
    @Nested
    inner class TotalLoss {
        private fun loseAll(fleet: QuarantineFleet, hostCount: Int) {
            repeat(hostCount) { fleet.restart(it) }
            fleet.pass(QuarantineFleet.CONTACT_MS, everyMs = null)
        }

        @Test
        fun `a quarantine outlasts the loss of all hosts`() {
            val fleet = QuarantineFleet(hostCount = 4)
            fleet.pass(4_000, everyMs = 200)
            repeat(3) {
                loseAll(fleet, 4)
                fleet.pass(60_000, everyMs = 200)
            }
            assertTrue(
                fleet.lateRuns() <= QuarantineFleet.MAX_LATE_RUNS,
                "${fleet.lateRuns()} late runs, ran at ${fleet.ranAtMs}"
            )
        }

        @Test
        fun `a quarantine outlasts a store that comes back without it`() {
            val fleet = QuarantineFleet(hostCount = 4)
            fleet.pass(4_000, everyMs = 200)
            fleet.revertStore()
            loseAll(fleet, 4)
            fleet.pass(60_000, everyMs = 200)
            assertTrue(
                fleet.lateRuns() <= QuarantineFleet.MAX_LATE_RUNS,
                "${fleet.lateRuns()} late runs, ran at ${fleet.ranAtMs}"
            )
        }

        @Test
        fun `a released request stays released`() {
            val fleet = QuarantineFleet(hostCount = 2)
            fleet.pass(2_000, everyMs = 100)
            fleet.isDeadly = false
            fleet.pass(20_000, everyMs = 100)
            loseAll(fleet, 2)
            val before = fleet.answeredAtMs.size
            fleet.pass(2_000, everyMs = 100)

            assertEquals(20, fleet.answeredAtMs.size - before)
        }
    }

    /** The request comes again without end while nothing else happens; review/10. */
    @Nested
    inner class Probes {
        private fun assertFewLateRuns(fleet: QuarantineFleet, durationMs: Long, everyMs: Long) {
            fleet.pass(durationMs, everyMs)

            assertTrue(fleet.ranAtMs.size >= 3, "ran at ${fleet.ranAtMs}")
            assertTrue(
                fleet.lateRuns() <= QuarantineFleet.MAX_LATE_RUNS,
                "${fleet.lateRuns()} late runs, ran at ${fleet.ranAtMs}"
            )
        }

        @Test
        fun `a request that always crashes is tried three times more at most`() {
            for (hostCount in listOf(1, 2, 8, 20)) {
                assertFewLateRuns(QuarantineFleet(hostCount), 600_000, everyMs = 250)
            }
        }

        @Test
        fun `the same with many hosts that hear of each other late`() {
            assertFewLateRuns(QuarantineFleet(40, deliveryMs = 1_000), 120_000, everyMs = 100)
        }

        @Test
        fun `the same beside hosts that start again all the while`() {
            val fleet = QuarantineFleet(hostCount = 4)
            fleet.pass(4_000, everyMs = 250)
            repeat(100) {
                fleet.restart(it % 4)
                // A host is judged only once it has been in touch for a while.
                fleet.pass(QuarantineFleet.CONTACT_MS, everyMs = null)
                fleet.pass(2_000, everyMs = 250)
            }
            assertTrue(
                fleet.lateRuns() <= QuarantineFleet.MAX_LATE_RUNS,
                "${fleet.lateRuns()} late runs, ran at ${fleet.ranAtMs}"
            )
        }

        /** Guards against a harmless request that is refused for good after three resets. */
        @Test
        fun `a request that crashes nothing any more is served again`() {
            for (hostCount in listOf(1, 2, 4)) {
                val fleet = QuarantineFleet(hostCount)
                fleet.pass(2_000, everyMs = 100)
                fleet.isDeadly = false
                fleet.pass(20_000, everyMs = 100)

                val recentCount = fleet.answeredAtMs.count { it > 21_000 }
                assertEquals(10, recentCount, "$hostCount hosts, ran at ${fleet.ranAtMs}")
            }
        }
    }
}

package cowslipcart.core.forwarding

import kotlin.test.Test
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
}

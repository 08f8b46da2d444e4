package cowslipcart.core.claims

import kotlin.test.Test
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against two dispatches of a key, a dispatch after "not run" and wrong verdicts. */
class ClaimHistoriesTest {
    @Nested
    inner class LogBatcher {
        @Test
        fun `keeps every guarantee in every generated history`() {
            val counts = ArrayList<Map<String, Int>>()
            var dispatches = 0
            var faults = 0
            historySeeds(HISTORY_COUNT).forEach { seed ->
                val history = ClaimHistory(seed) { createClaimBatcher(partition = 0) }
                history.run()
                assertNoViolation(history.simulation, history.checker)
                counts += history.checker.verdictCounts
                dispatches += history.checker.dispatchCount
                faults += history.log.lostAnswers + history.log.lateWrites
            }

            println(
                "claim histories: ${counts.size}, dispatches: $dispatches, lost answers and " +
                    "late writes: $faults, verdicts: ${assertAllVerdictsOccur(counts)}"
            )
        }
    }

    @Nested
    inner class Baselines {
        @Test
        fun `claims in the memory of one host fail the same histories`() {
            assertFails("memory of one host") { ::MemoryBatcher }
        }

        @Test
        fun `leases fail the same histories`() {
            assertFails("lease") { LeaseTable()::Batcher }
        }

        private fun assertFails(name: String, batcherFactory: () -> () -> ClaimBatcher) {
            val failed = (1L..HISTORY_COUNT).filter { seed ->
                val history = ClaimHistory(seed, batcherFactory()).also { it.run() }
                history.checker.violations.any { "one dispatch" in it }
            }
            println("$name: two dispatches of a key in ${failed.size} of $HISTORY_COUNT histories")
            assertTrue(failed.isNotEmpty(), "expected two dispatches of a key, found none")
        }
    }

    private companion object {
        const val HISTORY_COUNT = 1_000
    }
}

package cowslipcart.core.claims

import kotlin.test.Test
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against two key owners that each let an attempt of the same key run. */
class EpochHistoriesTest {
    @Nested
    inner class Epochs {
        @Test
        fun `keep every guarantee in every generated history`() {
            val counts = ArrayList<Map<String, Int>>()
            var dispatches = 0
            historySeeds(HISTORY_COUNT).forEach { seed ->
                val history = EpochHistory(seed)
                history.run()
                assertNoViolation(history.simulation, history.checker)
                counts += history.checker.verdictCounts
                dispatches += history.checker.dispatchCount
            }

            println(
                "epoch histories: ${counts.size}, dispatches: $dispatches, " +
                    "verdicts: ${assertAllVerdictsOccur(counts)}"
            )
        }
    }

    @Nested
    inner class Baselines {
        @Test
        fun `owners chosen from live views fail the same histories`() {
            val failed = (1L..HISTORY_COUNT).count { seed ->
                val history = EpochHistory(seed, usesLiveViews = true).also { it.run() }
                history.checker.violations.any { "one dispatch" in it }
            }
            println("live views: two dispatches of a key in $failed of $HISTORY_COUNT histories")
            assertTrue(failed > 0, "expected two dispatches of a key, found none")
        }
    }

    private companion object {
        const val HISTORY_COUNT = 1_000
    }
}

package cowslipcart.core.claims

import kotlin.test.Test
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against two key owners that both let an attempt of one key run. */
class EpochHistoriesTest {
    @Nested
    inner class Epochs {
        @Test
        fun `keep every guarantee in every generated history`() {
            val histories = historySeeds(HISTORY_COUNT).map { seed ->
                EpochHistory(seed).also {
                    it.run()
                }.also { assertNoViolation(it.world, it.checker) }
                    .let { it.checker.dispatchCount to it.log.appendCount }
            }.toList()

            val dispatches = histories.sumOf { it.first }
            println(
                "epoch histories: ${histories.size}, dispatches: $dispatches, " +
                    "epoch records: ${histories.sumOf { it.second }}"
            )
            assertTrue(dispatches > 0, "expected dispatches, found none")
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

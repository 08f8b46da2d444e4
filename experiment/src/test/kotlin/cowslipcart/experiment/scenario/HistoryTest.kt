package cowslipcart.experiment.scenario

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail
import org.junit.jupiter.api.Nested

/** Guards against untested interleavings of faults; `bin/history` runs more seeds. */
class HistoryTest {
    @Nested
    inner class FixedSeeds {
        @Test
        fun `no history violates a guarantee`() {
            val report = runHistories(1L..FIXED_SEEDS)
            println(report.summary)
            if (report.failures.isNotEmpty()) fail(report.failures.take(3).joinToString("\n\n"))
            val kinds = listOf(ReplyKind.ANSWERED, ReplyKind.NOT_RUN, ReplyKind.OUTCOME_UNKNOWN)
            assertTrue(
                kinds.all { (report.replies[it] ?: 0) > 100 },
                "expected more than 100 of each of $kinds, found ${report.replies}"
            )
        }
    }

    @Nested
    inner class Regressions {
        /** Guards against a host that restarts in a log outage with an older preset than it had. */
        @Test
        fun `seeds 1552 and 2905 do not go back to an older revision`() {
            for (seed in listOf(1_552L, 2_905L)) {
                assertEquals(emptyList(), History(seed).run(), "seed $seed")
                val violations = History(seed, faulty(::TrustsOldLogReads)).run()
                assertTrue(violations.any(), "expected seed $seed to show the fault, found none")
            }
        }
    }

    private companion object {
        const val FIXED_SEEDS = 1_000L
    }
}

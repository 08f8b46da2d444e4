package cowslipcart.experiment.scenario

import java.security.SecureRandom
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail
import org.junit.jupiter.api.Test

/**
 * Guards against interleavings of faults that nobody thought of. Fixed seeds; with
 * `-Dcowslipcart.seeds=N` that many fresh ones,
 * from `-Dcowslipcart.firstSeed=S` on if given.
 */
class HistoryTest {
    @Test
    fun `no history violates a guarantee`() {
        val replies = HashMap<ReplyKind, Int>()
        var runCount = 0
        val failures = seeds().mapNotNull { seed ->
            val history = History(seed)
            val violations = history.run()
            history.world.callers.mapNotNull { it.reply }
                .forEach { replies.merge(it.kind, 1, Int::plus) }
            runCount += history.world.journal.runs.size
            if (violations.isEmpty()) null else report(seed, history, violations)
        }
        println("runs: $runCount, replies: $replies, failing seeds: ${failures.size}")
        if (failures.isNotEmpty()) fail(failures.take(MAX_REPORTS).joinToString("\n\n"))
        val kinds = listOf(ReplyKind.ANSWERED, ReplyKind.NOT_RUN, ReplyKind.OUTCOME_UNKNOWN)
        assertTrue(
            kinds.all { (replies[it] ?: 0) > 100 },
            "expected more than 100 of each of $kinds, found $replies"
        )
    }

    /** Guards against a host that restarts in a log outage with an older preset than it served. */
    @Test
    fun `seeds 1552 and 2905 do not go back to an older revision`() {
        for (seed in listOf(1_552L, 2_905L)) {
            assertEquals(emptyList(), History(seed).run(), "seed $seed")
            val violations = History(seed, faulty(::TrustsOldLogReads)).run()
            assertTrue(violations.any(), "expected that seed $seed tells the fault, found it green")
        }
    }

    private fun seeds(): List<Long> {
        val count = System.getProperty("cowslipcart.seeds")?.toInt()
            ?: return (1L..FIXED_SEEDS).toList()
        val first = System.getProperty("cowslipcart.firstSeed")?.toLong()
            ?: SecureRandom().nextInt(Int.MAX_VALUE / 2).toLong()
        println("seeds from $first")
        return (first until first + count).toList()
    }

    private fun report(seed: Long, history: History, violations: List<String>): String =
        history.world.time.trace.joinToString("\n") + "\nseed $seed: " + violations.joinToString()

    private companion object {
        const val FIXED_SEEDS = 1_000L
        const val MAX_REPORTS = 3
    }
}

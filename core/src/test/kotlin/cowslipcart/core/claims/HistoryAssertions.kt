package cowslipcart.core.claims

import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.fail

/**
 * Seeds of a test run: `-Dcowslipcart.seed=S` gives one, `-Dcowslipcart.seeds=N` gives N random
 * ones, and by default the seeds are 1 to [count].
 */
internal fun historySeeds(count: Int): Sequence<Long> {
    val single = System.getProperty("cowslipcart.seed")?.toLong()
    val freshCount = System.getProperty("cowslipcart.seeds")?.toInt()
    return when {
        single != null -> sequenceOf(single)
        freshCount != null -> generateSequence { Random.nextLong() }.take(freshCount)
        else -> (1L..count).asSequence()
    }
}

/**
 * Sums [counts] and fails unless each kind of verdict occurred. Fewer than 100 histories need not
 * have all of them.
 */
internal fun assertAllVerdictsOccur(counts: List<Map<String, Int>>): Map<String, Int> {
    val sums = counts.flatMap { it.entries }.groupBy({ it.key }, { it.value })
        .mapValues { it.value.sum() }.toSortedMap()
    val expected =
        setOf("ContentMismatch", "Expired", "FromFuture", "Held", "Undecided", "Won")
    if (counts.size >= 100) assertEquals(expected, sums.keys)
    return sums
}

/** Fails with the seed and the trace of the history if [checker] saw a violation. */
internal fun assertNoViolation(simulation: Simulation, checker: DispatchChecker) {
    if (checker.violations.isEmpty()) return
    fail(
        "seed ${simulation.seed}: expected no violation, found ${checker.violations}; " +
            "repeat with -Dcowslipcart.seed=${simulation.seed}\n" +
            simulation.trace.joinToString("\n")
    )
}

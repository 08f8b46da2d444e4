package cowslipcart.core.claims

import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.fail

/**
 * Seeds of a run: `-Dcowslipcart.seed=S` for one, `-Dcowslipcart.seeds=N` for N fresh ones, else
 * the same [count] in each run.
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

/** Sums [counts] and fails unless each kind of verdict occurred; few histories need not have all. */
internal fun assertAllVerdictsOccur(counts: List<Map<String, Int>>): Map<String, Int> {
    val sums = counts.flatMap { it.entries }.groupBy({ it.key }, { it.value })
        .mapValues { it.value.sum() }.toSortedMap()
    val expected =
        setOf("ContentMismatch", "Expired", "FromFuture", "Held", "Undecided", "Won")
    if (counts.size >= 100) assertEquals(expected, sums.keys)
    return sums
}

/** Fails with the seed and the trace of the history if [checker] saw a violation. */
internal fun assertNoViolation(world: World, checker: DispatchChecker) {
    if (checker.violations.isEmpty()) return
    fail(
        "seed ${world.seed}: expected no violation, found ${checker.violations}; " +
            "repeat with -Dcowslipcart.seed=${world.seed}\n" + world.trace.joinToString("\n")
    )
}

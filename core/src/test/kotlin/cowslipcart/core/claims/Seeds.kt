package cowslipcart.core.claims

import kotlin.random.Random
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

/** Fails with the seed and the trace of the history if [checker] saw a violation. */
internal fun assertNoViolation(world: World, checker: DispatchChecker) {
    if (checker.violations.isEmpty()) return
    fail(
        "seed ${world.seed}: expected no violation, found ${checker.violations}; " +
            "repeat with -Dcowslipcart.seed=${world.seed}\n" + world.trace.joinToString("\n")
    )
}

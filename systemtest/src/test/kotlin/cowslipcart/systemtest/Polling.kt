package cowslipcart.systemtest

import kotlin.test.fail
import kotlinx.coroutines.delay

/** Bound for anything that a busy host may delay, such as the start of a process. */
internal const val LONG_BOUND_MS = 60_000L

/** Bound for results that the system itself reaches within seconds. */
internal const val SHORT_BOUND_MS = 20_000L

private const val POLL_INTERVAL_MS = 25L

/** Monotonic time in milliseconds. */
internal fun nowMs(): Long = System.nanoTime() / 1_000_000

/** Repeats [probe] until it returns a value; fails with [expected] after [boundMs]. */
internal suspend fun <T : Any> awaitValue(
    expected: () -> String,
    boundMs: Long = SHORT_BOUND_MS,
    probe: suspend () -> T?
): T {
    val endMs = nowMs() + boundMs
    while (nowMs() < endMs) {
        probe()?.let { return it }
        delay(POLL_INTERVAL_MS)
    }
    return probe() ?: fail("expected ${expected()} within $boundMs ms")
}

/** Repeats [probe] until it returns a value; fails with [expected] after [boundMs]. */
internal suspend fun <T : Any> awaitValue(
    expected: String,
    boundMs: Long = SHORT_BOUND_MS,
    probe: suspend () -> T?
): T = awaitValue({ expected }, boundMs, probe)

/** Repeats [probe] until it returns true; fails with [expected] after [boundMs]. */
internal suspend fun awaitTrue(
    expected: () -> String,
    boundMs: Long = SHORT_BOUND_MS,
    probe: suspend () -> Boolean
) {
    awaitValue(expected, boundMs) { if (probe()) Unit else null }
}

/** Repeats [probe] until it returns true; fails with [expected] after [boundMs]. */
internal suspend fun awaitTrue(
    expected: String,
    boundMs: Long = SHORT_BOUND_MS,
    probe: suspend () -> Boolean
) = awaitTrue({ expected }, boundMs, probe)

package cowslipcart.daemon.control

import kotlin.time.Clock
import kotlin.time.ExperimentalTime
import kotlin.time.TimeSource

/** Monotonic and wall clock of the process; tests pass their own [TimeSource] and [Clock]. */
@OptIn(ExperimentalTime::class)
internal class RuntimeClock(
    timeSource: TimeSource = TimeSource.Monotonic,
    private val wallClock: Clock = Clock.System
) {
    private val start = timeSource.markNow()

    /** Monotonic time since this clock was created, in milliseconds. */
    fun nowMs(): Long = start.elapsedNow().inWholeMilliseconds

    /** As [nowMs], in nanoseconds. */
    fun nowNs(): Long = start.elapsedNow().inWholeNanoseconds

    /** Wall clock, milliseconds since 1970. */
    fun wallNowMs(): Long = wallClock.now().toEpochMilliseconds()
}

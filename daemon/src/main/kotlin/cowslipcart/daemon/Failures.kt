package cowslipcart.daemon

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.slf4j.Logger

/**
 * Runs [step] and returns what it threw, or null. Input of others can make a step throw anything,
 * also an error such as [StackOverflowError], and a loop that serves others has to go on all the
 * same. Throws an error after which no program can go on, such as [OutOfMemoryError].
 */
@Suppress("TooGenericExceptionCaught")
public inline fun catchFailure(step: () -> Unit): Throwable? = try {
    step()
    null
} catch (e: StackOverflowError) {
    e
} catch (e: VirtualMachineError) {
    throw e
} catch (e: Throwable) {
    e
}

/**
 * Like [catchFailure], for a step that suspends. Throws a CancellationException if the coroutine of
 * the caller is cancelled; a closed channel can throw one although nothing is cancelled.
 */
public suspend inline fun catchStepFailure(step: suspend () -> Unit): Throwable? {
    val failure = catchFailure { step() }
    if (failure != null) currentCoroutineContext().ensureActive()
    return failure
}

/** Runs [step] until the coroutine is cancelled; logs its failures to [log] as those of [name]. */
internal suspend fun repeatGuarded(log: Logger, name: String, step: suspend () -> Unit) {
    while (true) {
        currentCoroutineContext().ensureActive()
        val failure = catchStepFailure(step) ?: continue
        log.error("{} failed and goes on", name, failure)
        delay(FAILURE_PAUSE_MS)
    }
}

/** A step that fails at each run may not keep a thread busy, in ms. */
private const val FAILURE_PAUSE_MS = 500L

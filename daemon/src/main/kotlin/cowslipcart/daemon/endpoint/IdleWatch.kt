package cowslipcart.daemon.endpoint

import cowslipcart.daemon.control.RuntimeClock
import kotlinx.coroutines.delay

/**
 * Detects that an endpoint has been silent for [timeoutMs]. Only the time inside [await] counts,
 * not the time in which the caller reads the answer. One timer serves a whole stream: a timer for
 * each event would take a lock that all streams of the process share.
 */
internal class IdleWatch(private val clock: RuntimeClock, private val timeoutMs: Long) {
    @Volatile
    private var waitingSinceMs = NOT_WAITING

    /** Whether the timeout has passed. */
    @Volatile
    var isSilent = false
        private set

    /** Runs [read], which waits for data of the endpoint, under the timeout. */
    suspend fun <T> await(read: suspend () -> T): T {
        waitingSinceMs = clock.nowMs()
        return read().also { waitingSinceMs = NOT_WAITING }
    }

    /** Suspends until a single [await] has lasted for the timeout. */
    suspend fun awaitSilence() {
        while (true) {
            val sinceMs = waitingSinceMs
            val leftMs =
                if (sinceMs == NOT_WAITING) timeoutMs else sinceMs + timeoutMs - clock.nowMs()
            if (leftMs <= 0) break
            delay(leftMs)
        }
        isSilent = true
    }

    private companion object {
        const val NOT_WAITING = -1L
    }
}

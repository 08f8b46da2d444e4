package cowslipcart.daemon.endpoint

import cowslipcart.daemon.control.RuntimeClock
import kotlinx.coroutines.delay

/**
 * Notices that an endpoint is silent. The time that the caller takes to read the answer does not
 * count. One timer serves a whole stream: a timer for each event would take a lock that all streams
 * of the process share.
 */
internal class IdleWatch(private val clock: RuntimeClock, private val timeoutMs: Long) {
    @Volatile
    private var waitingSinceMs = NOT_WAITING

    /** Whether [awaitSilence] has returned. */
    @Volatile
    var isSilent = false
        private set

    /** Runs [read], which awaits the endpoint. */
    suspend fun <T> await(read: suspend () -> T): T {
        waitingSinceMs = clock.nowMs()
        return read().also { waitingSinceMs = NOT_WAITING }
    }

    /** Suspends until one [await] has lasted for the timeout. */
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

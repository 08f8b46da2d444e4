package cowslipcart.daemon.gateway

import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import kotlin.random.Random

/**
 * Counts failed calls to a table of the store, and logs when it becomes (un)available. Timeouts and
 * pauses between calls grow with the failures.
 */
internal class StoreHealth(
    private val table: StoreTable,
    private val eventLog: GatewayEventLog,
    private val random: Random
) {
    /** Consecutive failed calls. */
    var failures = 0
        private set

    /** Doubles after each failure, so that a slow store does not time out for ever. */
    val responseTimeoutMs: Long
        get() = RESPONSE_TIMEOUT_MS shl minOf(failures, MAX_DOUBLINGS)

    /** Pause before a failed call is repeated, in ms. */
    fun retryDelayMs(): Long {
        val delayMs = FIRST_RETRY_DELAY_MS shl (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        return delayMs / 2 + random.nextLong(delayMs / 2)
    }

    /** Records the result of a call; [error] is null for a success. */
    fun onCall(error: StoreError?) {
        when (error) {
            is StoreError.Unavailable -> {
                if (failures == 0) {
                    eventLog.event("store-lost", "table" to table.name, "reason" to error.reason)
                }
                failures++
            }

            StoreError.Trimmed -> eventLog.event("store-trimmed", "table" to table.name)

            // The store has answered; the caller logs what it wanted to write.
            StoreError.Conflict -> failures = 0

            null -> {
                if (failures > 0) {
                    eventLog.event("store-regained", "table" to table.name, "failures" to failures)
                }
                failures = 0
            }
        }
    }

    companion object {
        /** Delay after the first failed call, in ms; doubles up to 800 ms. */
        const val FIRST_RETRY_DELAY_MS = 200L
        private const val MAX_DOUBLINGS = 2

        /** A response takes 4 ms, and close to 400 ms when the store is slow. */
        private const val RESPONSE_TIMEOUT_MS = 500L
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable

/** Counts failed calls to a table of the store, and logs when it becomes (un)available. */
internal class StoreHealth(private val table: StoreTable, private val eventLog: GatewayEventLog) {
    /** Consecutive failed calls. */
    var failures = 0
        private set

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

            null -> {
                if (failures > 0) {
                    eventLog.event("store-regained", "table" to table.name, "failures" to failures)
                }
                failures = 0
            }
        }
    }
}

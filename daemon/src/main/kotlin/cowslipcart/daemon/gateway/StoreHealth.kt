package cowslipcart.daemon.gateway

import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable

/** Notes when a table of the store can no longer be read, and when it can again. */
internal class StoreHealth(private val table: StoreTable, private val journal: DecisionJournal) {
    /** Failed calls since the last one that was answered. */
    var failures = 0
        private set

    fun onCall(error: StoreError?) {
        when (error) {
            is StoreError.Unavailable -> {
                if (failures == 0) {
                    journal.event("store-lost", "table" to table.name, "reason" to error.reason)
                }
                failures++
            }

            StoreError.Trimmed -> journal.event("store-trimmed", "table" to table.name)

            null -> {
                if (failures > 0) {
                    journal.event("store-regained", "table" to table.name, "failures" to failures)
                }
                failures = 0
            }
        }
    }
}

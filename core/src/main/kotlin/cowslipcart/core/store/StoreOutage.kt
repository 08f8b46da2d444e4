package cowslipcart.core.store

/**
 * Recognises the end of an outage of the store, in which entries of live endpoints may have
 * expired. A call that failed alone is no outage, and neither is a loss of the store by one host:
 * the table was known as of a moment ago then, by the next read or by the updates of other hosts.
 */
internal class StoreOutage {
    private var hasFailed = false
    private var recoveredAtMs = NEVER_MS

    /** A call to the store failed. */
    fun onFailed() {
        hasFailed = true
    }

    /** A call succeeded at [nowMs]; before, the table was known as of [knownAsOfMs]. */
    fun onAnswered(knownAsOfMs: Long, nowMs: Long) {
        if (hasFailed && nowMs - knownAsOfMs >= MIN_OUTAGE_MS) recoveredAtMs = nowMs
        hasFailed = false
    }

    /** The store came back at [nowMs] from a copy that may lack entries of live endpoints. */
    fun onReplaced(nowMs: Long) {
        recoveredAtMs = nowMs
    }

    /** For another host an outage ended at [atMs]; this one knew the table as of [knownAsOfMs]. */
    fun onRecoveredElsewhere(atMs: Long, knownAsOfMs: Long) {
        if (atMs - knownAsOfMs >= MIN_OUTAGE_MS) recoveredAtMs = maxOf(recoveredAtMs, atMs)
    }

    /** Whether an entry whose deletion became known at [knownAtMs] may only have expired. */
    fun mayHaveExpired(knownAtMs: Long, nowMs: Long): Boolean =
        knownAtMs >= recoveredAtMs && graceRemainingMs(nowMs) > 0

    /** When the last outage ended; null if its grace period is over. */
    fun recoveredAtMs(nowMs: Long): Long? = recoveredAtMs.takeIf { graceRemainingMs(nowMs) > 0 }

    /** Time until entries that are still missing are gone, in ms; 0 without a grace period. */
    fun graceRemainingMs(nowMs: Long): Long =
        maxOf(0, recoveredAtMs + EndpointListing.EXPIRY_GRACE_MS - nowMs)

    private companion object {
        /** Longer than a host goes without news of the store if one call of it fails, in ms. */
        const val MIN_OUTAGE_MS = 1_800L
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}

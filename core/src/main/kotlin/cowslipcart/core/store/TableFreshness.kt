package cowslipcart.core.store

import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StoreEra

/**
 * Age of this host's replica of one table, which decides when it reads the store itself. The limit
 * on the age depends on the host's rank in its group: the first host reads, the second one only if
 * the updates of the first are missing, and all others before a change has to be in force.
 *
 * Load pattern: many hosts follow tables that change several times a second, while few of the
 * changes matter.
 *
 * @property firstMaxAgeMs age at which the host of rank 0 reads again
 * @property longestMaxAgeMs age at which any host reads; the host of rank 1 does so a little sooner
 */
public class TableFreshness(
    private val firstMaxAgeMs: Long,
    private val longestMaxAgeMs: Long = LONGEST_MAX_AGE_MS
) {
    /** Time as of which the replica is complete, on the monotonic clock. */
    public var asOfMs: Long = NEVER_MS
        private set
    private var retryAtMs = NEVER_MS

    /** Offset of the next change to read; null if a snapshot has to be read. */
    public var next: LogOffset? = null
        private set

    private var answeredEra: StoreEra? = null

    /** Era of [next]. */
    public val era: StoreEra get() = answeredEra ?: StoreEra.UNSTATED

    /**
     * The store answered in [answered]. Returns whether this is another era than before; a snapshot
     * has to be read then.
     */
    public fun onEra(answered: StoreEra): Boolean {
        val isReplaced = answeredEra != null && answeredEra != answered
        answeredEra = answered
        if (isReplaced) next = null
        return isReplaced
    }

    /**
     * Returns whether the offsets of [update] are those of this replica. After one of a later era a
     * snapshot has to be read.
     */
    public fun isSameEra(update: StoreUpdate): Boolean {
        if (update.era > era) next = null
        return update.era == era
    }

    /** The replica is complete up to [next] as of [asOfMs]. */
    public fun onRead(next: LogOffset, asOfMs: Long) {
        this.next = next
        this.asOfMs = maxOf(this.asOfMs, asOfMs)
        retryAtMs = NEVER_MS
    }

    /** Changes that were not read yet have been trimmed; a snapshot has to be read. */
    public fun onTrimmed() {
        next = null
    }

    /** The host was suspended for an unknown time, so the replica may be old. */
    public fun onSuspended() {
        asOfMs = NEVER_MS
        retryAtMs = NEVER_MS
    }

    /** A read failed and may be repeated at [atMs]. */
    public fun onFailed(atMs: Long) {
        retryAtMs = atMs
    }

    /**
     * Takes an update that was received at [nowMs] and whose changes were applied. Returns whether
     * the replica is as current as the update; otherwise there are changes to read.
     */
    public fun onUpdate(update: StoreUpdate, nowMs: Long): Boolean {
        val known = next ?: return false
        if (update.next > known) return false
        if (update.next == known) asOfMs = maxOf(asOfMs, nowMs - update.ageMs)
        return true
    }

    /** Age of the replica, in ms. */
    public fun ageMs(nowMs: Long): Long = nowMs - asOfMs

    /** Time until this host, at [groupRank] in its group, reads the store, in ms; 0 for now. */
    public fun untilReadMs(groupRank: Int, nowMs: Long): Long {
        val dueMs = if (next == null) nowMs else asOfMs + maxAgeMs(groupRank)
        return maxOf(0, maxOf(dueMs, retryAtMs) - nowMs)
    }

    private fun maxAgeMs(groupRank: Int): Long = when (groupRank) {
        0 -> firstMaxAgeMs
        1 -> longestMaxAgeMs - SECOND_LEAD_MS
        else -> longestMaxAgeMs
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 2

        /** By how much the second host reads before all others, which its update then reaches. */
        const val SECOND_LEAD_MS = 100L

        /**
         * A change has to be in force after 2 s. A read at this age that times out after 0.5 s and
         * is retried after 0.2 s ends before that.
         */
        const val LONGEST_MAX_AGE_MS = 1_100L
    }
}

package cowslipcart.core.store

import cowslipcart.core.model.LogOffset

/**
 * How current this host's copy of one table is, and when it has to read the store itself. Hosts
 * wait unlike times for news of each other: the first one in the order of duties reads, the next
 * ones only if its news stays out, and all of them before a change has to be in force.
 *
 * Load pattern: many hosts follow tables that change several times a second, of which few changes
 * matter.
 *
 * @property firstPatienceMs age at which the first host in the order of duties reads again
 */
public class TableFreshness(private val firstPatienceMs: Long) {
    private var asOfMs = NEVER_MS
    private var retryAtMs = NEVER_MS

    /** Offset up to which the table is known; null if it has to be read in full. */
    public var next: LogOffset? = null
        private set

    /** The table was read up to [next], as of [asOfMs]. */
    public fun onRead(next: LogOffset, asOfMs: Long) {
        this.next = next
        this.asOfMs = maxOf(this.asOfMs, asOfMs)
        retryAtMs = NEVER_MS
    }

    /** Changes that were not read yet are gone; the whole table has to be read. */
    public fun onTrimmed() {
        next = null
    }

    /** A read failed and may be repeated at [atMs]. */
    public fun onFailed(atMs: Long) {
        retryAtMs = atMs
    }

    /**
     * Takes news that was received at [nowMs] and whose changes were applied. Returns whether the
     * copy is as current as the news; otherwise there are changes to read.
     */
    public fun onNews(news: StoreNews, nowMs: Long): Boolean {
        val known = next ?: return false
        if (news.next > known) return false
        if (news.next == known) asOfMs = maxOf(asOfMs, nowMs - news.ageMs)
        return true
    }

    /** Age of what is known, in ms. */
    public fun ageMs(nowMs: Long): Long = nowMs - asOfMs

    /** Time until this host, at [dutyRank] in its group, reads the store itself; 0 for now. */
    public fun untilReadMs(dutyRank: Int, nowMs: Long): Long {
        val dueMs = if (next == null) nowMs else asOfMs + patienceMs(dutyRank)
        return maxOf(0, maxOf(dueMs, retryAtMs) - nowMs)
    }

    private fun patienceMs(dutyRank: Int): Long = when (dutyRank) {
        0 -> firstPatienceMs
        1 -> SECOND_PATIENCE_MS
        else -> LONGEST_PATIENCE_MS
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 2

        /** The first host reads every 900 ms at most; its news takes some ms. */
        const val SECOND_PATIENCE_MS = 1_000L

        /**
         * A change has to be in force after 2 s. A read that begins now, gets no answer within
         * 0.5 s and is repeated after 0.2 s ends before that.
         */
        const val LONGEST_PATIENCE_MS = 1_100L
    }
}

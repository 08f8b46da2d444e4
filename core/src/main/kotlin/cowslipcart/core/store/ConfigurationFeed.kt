package cowslipcart.core.store

import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StoreEra

/**
 * This host's knowledge of the table of configurations, maintained from its own reads of the store
 * and from the updates of other hosts. The first host of a group waits at the store for changes and
 * sends each new configuration to the others, so that they need not all read it.
 *
 * Load pattern: configurations and keys change several times a second, before many hosts.
 *
 * @param boundMs time within which a change has to be in force on all hosts
 */
public class ConfigurationFeed(boundMs: Long) {
    /** How long the first host waits at the store for a change, in ms. */
    public val waitMs: Long = (boundMs - READ_RESERVE_MS).coerceIn(
        SHORTEST_WAIT_MS,
        LONGEST_WAIT_MS
    )
    private val freshness = TableFreshness(FIRST_MAX_AGE_MS, waitMs + UPDATE_MARGIN_MS)
    private var latest: TableRecord? = null
    private var latestAtMs = NEVER_MS
    private var orderAtMs = NEVER_MS

    /** Up to where this host has the newest configuration from another host that holds it. */
    private var given: StoreUpdate.Configuration? = null

    /** Offset of the next change to read; null if a snapshot has to be read. */
    public val next: LogOffset? get() = freshness.next

    /**
     * A read that was current at [asOfMs] ended at [next] and was received at [nowMs]. [newest] is
     * the last valid configuration in it, null for none; [hasOrders] if it had other records that
     * each host needs.
     */
    public fun onRead(
        next: LogOffset,
        newest: TableRecord?,
        asOfMs: Long,
        nowMs: Long,
        hasOrders: Boolean = false
    ) {
        freshness.onRead(next, asOfMs)
        if (hasOrders) orderAtMs = nowMs
        if (newest != null) {
            latest = newest
            latestAtMs = nowMs
        }
    }

    /**
     * The store answered in [era]; to be called before its answer is applied. Returns whether it
     * came back from an older copy: changes are not to be applied then, a snapshot is read next.
     */
    public fun onEra(era: StoreEra): Boolean = freshness.onEra(era)

    /** A read failed; the next one may start at [retryAtMs]. */
    public fun onFailed(retryAtMs: Long): Unit = freshness.onFailed(retryAtMs)

    /** Changes that were not read yet have been trimmed from the log. */
    public fun onTrimmed(): Unit = freshness.onTrimmed()

    /** Returns the configuration of [update] that this host lacks; null if there is none. */
    public fun missingIn(update: StoreUpdate.Configuration): TableRecord? {
        if (!freshness.isSameEra(update)) return null
        val known = next ?: return null
        return update.record?.takeIf { update.next > known }
    }

    /** The record that [missingIn] returned for [update] was valid and is in force. */
    public fun onApplied(update: StoreUpdate.Configuration, nowMs: Long) {
        freshness.onRead(update.next, nowMs - update.ageMs)
        latest = update.record
        latestAtMs = nowMs
    }

    /** Returns the newest configuration for a host that asks; null before the first one. */
    public fun held(nowMs: Long): StoreUpdate.Configuration? {
        val end = next ?: return null
        val record = latest ?: return null
        return StoreUpdate.Configuration(end, freshness.ageMs(nowMs), record, freshness.era)
    }

    /**
     * The configuration that another host holds is in force. What lies before it in the table may
     * have to be read all the same, so the replica counts as old as before.
     */
    public fun onGiven(held: StoreUpdate.Configuration) {
        given = held.copy(record = null)
    }

    /** Returns whether [update] is of a later state than another host has given. */
    public fun isBeyondGiven(update: StoreUpdate.Configuration): Boolean {
        val known = given ?: return true
        return update.era != known.era || update.next > known.next
    }

    /**
     * Returns whether this host is as current as [update]; otherwise there is something to read.
     */
    public fun onUpdate(update: StoreUpdate.Configuration, nowMs: Long): Boolean =
        freshness.isSameEra(update) && freshness.onUpdate(update, nowMs)

    /** Returns the update to publish to other hosts at [nowMs]; null before the first read. */
    public fun update(nowMs: Long): StoreUpdate.Configuration? {
        val end = next ?: return null
        // With the record others would skip what lies before it, so they read the store themselves.
        val hasOrder = nowMs - orderAtMs < RECORD_WINDOW_MS
        val record = latest?.takeIf { nowMs - latestAtMs < RECORD_WINDOW_MS && !hasOrder }
        return StoreUpdate.Configuration(end, freshness.ageMs(nowMs), record, freshness.era)
    }

    /** Time until this host, at [groupRank] in its group, has to read the store itself, in ms. */
    public fun untilReadMs(groupRank: Int, nowMs: Long): Long =
        freshness.untilReadMs(groupRank, nowMs)

    private companion object {
        /**
         * The first host waits anew after this time at the earliest, in ms. It limits the calls a
         * second if the store ignores the wait.
         */
        const val FIRST_MAX_AGE_MS = 50L

        /** Other hosts read themselves if no update comes for this long after the wait, in ms. */
        const val UPDATE_MARGIN_MS = 300L

        /** That margin, a read that times out, its repetition and a slow answer, in ms. */
        const val READ_RESERVE_MS = 1_200L
        const val SHORTEST_WAIT_MS = 400L

        /** Bounds how late the loss of the first host is noticed, in ms. */
        const val LONGEST_WAIT_MS = 2_000L

        /** Several updates, since some are lost, in ms. */
        const val RECORD_WINDOW_MS = 2_500L
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}

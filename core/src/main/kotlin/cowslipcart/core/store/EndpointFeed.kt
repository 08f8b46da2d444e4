package cowslipcart.core.store

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StoreEra

/**
 * This host's replica of the endpoint table, maintained from its own reads of the store and from
 * the updates of other hosts. It keeps the changes of the last seconds for its own updates.
 */
public class EndpointFeed {
    /** The changes of one read or update; complete from [from] to the start of the next batch. */
    private class Batch(val knownAtMs: Long, val from: LogOffset, val changes: List<EndpointChange>)

    private val listing = EndpointListing()
    private val batches = ArrayDeque<Batch>()
    private val freshness = TableFreshness(FIRST_MAX_AGE_MS)

    /** Whether the offsets of [listing] are those of an earlier era. */
    private var isReplaced = false

    /** Offset of the next change to read; null if a snapshot has to be read. */
    public val next: LogOffset? get() = freshness.next

    /** Applies a snapshot that was current at [asOfMs] and received at [nowMs]. */
    public fun onSnapshot(
        changes: List<EndpointChange>,
        end: LogOffset,
        asOfMs: Long,
        nowMs: Long
    ) {
        if (isReplaced) listing.onStoreReplaced(nowMs)
        isReplaced = false
        listing.onStoreAnswered(freshness.asOfMs, nowMs)
        listing.onSnapshot(changes, end, nowMs)
        batches.clear()
        onRead(end, asOfMs, nowMs)
    }

    /** Applies the changes from [from] to [next], current at [asOfMs] and received at [nowMs]. */
    public fun onChanges(
        changes: List<EndpointChange>,
        from: LogOffset,
        next: LogOffset,
        asOfMs: Long,
        nowMs: Long
    ) {
        listing.onStoreAnswered(freshness.asOfMs, nowMs)
        addBatch(from, listing.onChanges(changes, nowMs), nowMs)
        onRead(next, asOfMs, nowMs)
    }

    /**
     * The store answered in [era]; to be called before its answer is applied. Returns whether it
     * came back from an older copy: changes are not to be applied then, a snapshot is read next.
     */
    public fun onEra(era: StoreEra): Boolean {
        if (!freshness.onEra(era)) return false
        isReplaced = true
        return true
    }

    /** A read failed; the next one may start at [retryAtMs]. */
    public fun onFailed(retryAtMs: Long) {
        listing.onStoreLost()
        freshness.onFailed(retryAtMs)
    }

    /** Time as of which the replica is complete, on the monotonic clock. */
    public val asOfMs: Long get() = freshness.asOfMs

    /** The host was suspended for an unknown time, so the replica may be old. */
    public fun onSuspended(): Unit = freshness.onSuspended()

    /** Changes that were not read yet have been trimmed from the log. */
    public fun onTrimmed(): Unit = freshness.onTrimmed()

    /**
     * Applies the update of another host at [nowMs]. Returns false if changes before it are missing
     * here, so that it cannot be applied.
     */
    public fun onUpdate(update: StoreUpdate.Endpoints, nowMs: Long): Boolean {
        if (!freshness.isSameEra(update)) return false
        val known = next ?: return false
        if (known < update.from) return false
        val knownAsOfMs = freshness.asOfMs
        update.recoveredForMs?.let { listing.onRecoveredElsewhere(nowMs - it, knownAsOfMs) }
        if (update.next > known) {
            val unknown = update.changes.filter {
                it.offset >= known || it.precedesDeletion(update)
            }
            addBatch(known, listing.onChanges(unknown, nowMs), nowMs)
            freshness.onRead(update.next, nowMs - update.ageMs)
        } else {
            freshness.onUpdate(update, nowMs)
        }
        return true
    }

    /** Returns the update to publish to other hosts at [nowMs]; null before the first read. */
    public fun update(nowMs: Long): StoreUpdate.Endpoints? {
        val end = next ?: return null
        while (batches.isNotEmpty() && nowMs - batches.first().knownAtMs > UPDATE_WINDOW_MS) {
            batches.removeFirst()
        }
        return StoreUpdate.Endpoints(
            from = batches.firstOrNull()?.from ?: end,
            next = end,
            changes = batches.flatMap { it.changes },
            ageMs = freshness.ageMs(nowMs),
            recoveredForMs = listing.recoveredAtMs(nowMs)?.let { nowMs - it },
            era = freshness.era
        )
    }

    /** Endpoints that may take work, or are draining, at [nowMs]. */
    public fun entries(nowMs: Long): List<EndpointEntry> = listing.entries(nowMs)

    /**
     * Time until this host, at [groupRank] in its group, has to read the store itself, in ms; 0 for
     * now. Entries that expired in an outage are checked again at the end of the grace period.
     */
    public fun untilReadMs(groupRank: Int, nowMs: Long): Long {
        val untilReadMs = freshness.untilReadMs(groupRank, nowMs)
        val graceRemainingMs = listing.graceRemainingMs(nowMs)
        return if (graceRemainingMs > 0) minOf(untilReadMs, graceRemainingMs) else untilReadMs
    }

    /** Whether this is the last record before a new deletion in [update], to be applied with it. */
    private fun EndpointChange.precedesDeletion(update: StoreUpdate.Endpoints): Boolean {
        val known = next ?: return false
        return update.changes.any { it.id == id && it.record == null && it.offset >= known }
    }

    private fun addBatch(from: LogOffset, changes: List<EndpointChange>, nowMs: Long) {
        batches += Batch(nowMs, from, changes)
    }

    private fun onRead(end: LogOffset, asOfMs: Long, nowMs: Long) {
        listing.compact(nowMs)
        freshness.onRead(end, asOfMs)
    }

    public companion object {
        /**
         * Age at which the first host of a group reads again, in ms. A draining endpoint may get
         * work for at most 2 s, which has to cover a failed read, the retry delay and the retry.
         */
        public const val FIRST_MAX_AGE_MS: Long = 900

        /** Several times the longest wait for an update, in ms. */
        private const val UPDATE_WINDOW_MS = 5_000L
    }
}

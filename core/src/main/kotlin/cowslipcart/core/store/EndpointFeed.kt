package cowslipcart.core.store

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.LogOffset

/**
 * This host's copy of the table of endpoints, kept by its own reads and by the news of other hosts.
 * It remembers the changes of the last seconds, so that it can tell them to others in turn.
 */
public class EndpointFeed {
    /** Changes that matter, complete from [from] to the next span. */
    private class Span(val knownAtMs: Long, val from: LogOffset, val changes: List<EndpointChange>)

    private val listing = EndpointListing()
    private val spans = ArrayDeque<Span>()
    private val freshness = TableFreshness(FIRST_PATIENCE_MS)

    /** Offset to read on from; null if the whole table has to be read. */
    public val next: LogOffset? get() = freshness.next

    /** Takes the newest records of all endpoints, read at [asOfMs] and known at [nowMs]. */
    public fun onSnapshot(
        changes: List<EndpointChange>,
        end: LogOffset,
        asOfMs: Long,
        nowMs: Long
    ) {
        listing.onSnapshot(changes, end)
        spans.clear()
        onAnswered(end, asOfMs, nowMs)
    }

    /** Takes the changes from [from] to [next], read at [asOfMs] and known at [nowMs]. */
    public fun onChanges(
        changes: List<EndpointChange>,
        from: LogOffset,
        next: LogOffset,
        asOfMs: Long,
        nowMs: Long
    ) {
        remember(from, listing.onChanges(changes), nowMs)
        onAnswered(next, asOfMs, nowMs)
    }

    /** A read failed; the next one may start at [retryAtMs]. */
    public fun onFailed(retryAtMs: Long) {
        listing.onStoreLost()
        freshness.onFailed(retryAtMs)
    }

    /** Changes that were not read yet have been dropped from the log. */
    public fun onTrimmed(): Unit = freshness.onTrimmed()

    /**
     * Takes the news of another host at [nowMs]. Returns false if changes before it are missing
     * here, so that it cannot be used.
     */
    public fun onNews(news: StoreNews.Endpoints, nowMs: Long): Boolean {
        val known = next ?: return false
        if (known < news.from) return false
        if (news.next > known) {
            val unknown = news.changes.filter { it.offset >= known || it.isBeforeDrop(news) }
            remember(known, listing.onChanges(unknown), nowMs)
            freshness.onRead(news.next, nowMs - news.ageMs)
        } else {
            freshness.onNews(news, nowMs)
        }
        listing.onStoreAnswered(nowMs)
        news.regainedForMs?.let { listing.onRegainedElsewhere(nowMs - it) }
        return true
    }

    /** What this host can tell the others at [nowMs]; null before the first read. */
    public fun news(nowMs: Long): StoreNews.Endpoints? {
        val end = next ?: return null
        while (spans.isNotEmpty() && nowMs - spans.first().knownAtMs > NEWS_WINDOW_MS) {
            spans.removeFirst()
        }
        return StoreNews.Endpoints(
            from = spans.firstOrNull()?.from ?: end,
            next = end,
            changes = spans.flatMap { it.changes },
            ageMs = freshness.ageMs(nowMs),
            regainedForMs = listing.regainedAtMs(nowMs)?.let { nowMs - it }
        )
    }

    /** Endpoints that may take work, or are draining, at [nowMs]. */
    public fun entries(nowMs: Long): List<EndpointEntry> = listing.entries(nowMs)

    /**
     * Time until this host has to read the store itself, at [dutyRank] in its group. Entries that
     * lapsed in an outage are looked at again when their grace ends.
     */
    public fun untilReadMs(dutyRank: Int, nowMs: Long): Long {
        val untilReadMs = freshness.untilReadMs(dutyRank, nowMs)
        val graceLeftMs = listing.graceLeftMs(nowMs)
        return if (graceLeftMs > 0) minOf(untilReadMs, graceLeftMs) else untilReadMs
    }

    /** The last record before a drop is older than what is known, and needed with it. */
    private fun EndpointChange.isBeforeDrop(news: StoreNews.Endpoints): Boolean {
        val known = next ?: return false
        return news.changes.any { it.id == id && it.record == null && it.offset >= known }
    }

    private fun remember(from: LogOffset, changes: List<EndpointChange>, nowMs: Long) {
        spans += Span(nowMs, from, changes)
    }

    private fun onAnswered(end: LogOffset, asOfMs: Long, nowMs: Long) {
        listing.onStoreAnswered(nowMs)
        listing.compact(nowMs)
        freshness.onRead(end, asOfMs)
    }

    public companion object {
        /**
         * An endpoint that drains may get work for 2 s. One read that fails, its pause and the
         * next one have to fit into that time, in ms.
         */
        public const val FIRST_PATIENCE_MS: Long = 900

        /** Several times the longest wait for news, in ms. */
        private const val NEWS_WINDOW_MS = 5_000L
    }
}

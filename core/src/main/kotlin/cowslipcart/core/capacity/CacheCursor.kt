package cowslipcart.core.capacity

import cowslipcart.core.model.PrefixBlock

/** A cache event with its place in the endpoint's sequence; the numbers count all changes. */
public data class NumberedCacheEvent(
    public val index: Long,
    public val block: PrefixBlock,
    public val isStored: Boolean
)

/** What the owner cannot know about a prefix cache from its events. */
public sealed interface CacheGap {
    /** [count] changes were not reported, or were dropped before they were read. */
    public data class Missing(public val count: Long) : CacheGap

    /** The sequence started anew, as after a restart: the cache was emptied. */
    public data object Restarted : CacheGap
}

/**
 * What one page of events says.
 *
 * @property events events that were not read before, in order
 * @property gap null if none is missing before or between [events]
 */
public data class CacheReading(
    public val events: List<NumberedCacheEvent>,
    public val gap: CacheGap?
)

/**
 * Place of the owner in the cache events of one endpoint. Each read asks again for the last known
 * event: an engine that restarted has another event there or none, while its numbers alone would
 * look like a cache without changes until they have caught up.
 */
internal class CacheCursor {
    private var last: NumberedCacheEvent? = null

    /** Number of the first event to ask for. */
    val fromIndex: Long get() = last?.index ?: 0

    /** Takes the events from [fromIndex] on and moves behind them. */
    fun take(page: List<NumberedCacheEvent>): CacheReading {
        val known = last
        // What was missed before the first page ever read is not claimed by anybody.
        var previousIndex = known?.index ?: page.firstOrNull()?.let { it.index - 1 } ?: -1
        if (known != null && hasRestarted(known, page.firstOrNull())) {
            last = null
            return CacheReading(emptyList(), CacheGap.Restarted)
        }
        val events = ArrayList<NumberedCacheEvent>(page.size)
        var missingCount = 0L
        for (event in page) {
            if (event.index <= previousIndex) continue
            missingCount += event.index - previousIndex - 1
            previousIndex = event.index
            events += event
        }
        events.lastOrNull()?.let { last = it }
        return CacheReading(events, if (missingCount > 0) CacheGap.Missing(missingCount) else null)
    }

    private fun hasRestarted(known: NumberedCacheEvent, first: NumberedCacheEvent?): Boolean =
        first == null || (first.index <= known.index && first != known)
}

package cowslipcart.core.capacity

import cowslipcart.core.model.PrefixBlock

/**
 * Event of the cache change feed of one endpoint.
 *
 * @property index position in the feed; without gaps if no event is missing
 * @property isStored whether the block was stored; false if it was evicted
 */
public data class NumberedCacheEvent(
    public val index: Long,
    public val block: PrefixBlock,
    public val isStored: Boolean
)

/** Gap in the cache change feed of an endpoint. */
public sealed interface CacheGap {
    /** [count] events were not reported, or were dropped before they were read. */
    public data class Missing(public val count: Long) : CacheGap

    /** The feed started anew, as after a restart of the engine: the cache is empty. */
    public data object Restarted : CacheGap
}

/**
 * New events of one page of the cache change feed.
 *
 * @property events events that were not read before, in order
 * @property gap null if no event is missing before or between [events]
 */
public data class CacheUpdate(
    public val events: List<NumberedCacheEvent>,
    public val gap: CacheGap?
)

/**
 * Read position in the cache change feed of one endpoint. Each read includes the last known event
 * again, to detect a restart: a restarted engine has another event at that index or none. By the
 * indices alone it would look like an idle cache until it has caught up with them.
 */
internal class CacheCursor {
    private var last: NumberedCacheEvent? = null

    /** Index of the first event to read. */
    val fromIndex: Long get() = last?.index ?: 0

    /**
     * Processes a page of events read from [fromIndex] on and moves the position to its last event.
     */
    fun advance(page: List<NumberedCacheEvent>): CacheUpdate {
        val known = last
        // Nothing was recorded before the first page ever read, so no earlier event counts as
        // missing.
        var previousIndex = known?.index ?: page.firstOrNull()?.let { it.index - 1 } ?: -1
        if (known != null && hasRestarted(known, page.firstOrNull())) {
            last = null
            return CacheUpdate(emptyList(), CacheGap.Restarted)
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
        return CacheUpdate(events, if (missingCount > 0) CacheGap.Missing(missingCount) else null)
    }

    private fun hasRestarted(known: NumberedCacheEvent, first: NumberedCacheEvent?): Boolean =
        first == null || (first.index <= known.index && first != known)
}

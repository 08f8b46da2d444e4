package cowslipcart.standins.engine

import cowslipcart.core.model.PrefixBlock
import kotlin.random.Random

/** Bounded log of cache changes that readers see after [lagMs]; a share of [lossRate] is lost. */
internal class CacheEventLog(
    private val lagMs: Long,
    private val lossRate: Double,
    private val random: Random
) {
    private class Entry(val dueMs: Long, val event: EngineCacheEvent)

    private val entries = ArrayDeque<Entry>()
    private var nextIndex = 0L

    /** Gives each change an index, also a lost one, so that readers see the gap. */
    fun record(block: PrefixBlock, isStored: Boolean, nowMs: Long) {
        val index = nextIndex++
        if (random.nextDouble() < lossRate) return
        entries.addLast(Entry(nowMs + lagMs, EngineCacheEvent(index, block, isStored)))
        if (entries.size > MAX_ENTRIES) entries.removeFirst()
    }

    /** Returns the events from [fromIndex] on that are at least [lagMs] old. */
    fun read(fromIndex: Long, nowMs: Long): CacheEventPage {
        val due = entries.asSequence()
            .takeWhile { it.dueMs <= nowMs }
            .map { it.event }
            .filter { it.index >= fromIndex }
            .toList()
        return CacheEventPage(due, due.lastOrNull()?.let { it.index + 1 } ?: fromIndex)
    }

    fun clear() = entries.clear()

    private companion object {
        /** Older events are dropped; a reader that polls each second misses none at usual load. */
        const val MAX_ENTRIES = 8_192
    }
}

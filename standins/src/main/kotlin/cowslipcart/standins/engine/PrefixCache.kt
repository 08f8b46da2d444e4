package cowslipcart.standins.engine

import cowslipcart.core.model.PrefixBlock

/**
 * Prefix cache with least-recently-used eviction. Running requests do not pin their blocks: only
 * the reuse by later requests is modelled, not the memory of the running batch.
 *
 * @param onChange called with each stored (`true`) and evicted (`false`) block
 */
internal class PrefixCache(
    private val capacityBlocks: Int,
    private val onChange: (block: PrefixBlock, isStored: Boolean) -> Unit
) {
    /** Cached blocks, the least recently used first; `get` marks a block as used. */
    private val blocks = LinkedHashMap<PrefixBlock, Unit>(16, 0.75f, true)

    /** Returns how many leading blocks of a context are cached, and marks them as used. */
    fun match(blockCount: Int, blockAt: (Int) -> PrefixBlock): Int {
        var matched = 0
        while (matched < blockCount && blocks.containsKey(blockAt(matched))) matched++
        touch(matched, blockAt)
        return matched
    }

    /** Stores [block] as the most recently used one. */
    fun store(block: PrefixBlock) {
        if (capacityBlocks <= 0) return
        if (blocks.put(block, Unit) != null) return
        onChange(block, true)
        if (blocks.size > capacityBlocks) {
            val oldest = blocks.entries.iterator()
            val evicted = oldest.next().key
            oldest.remove()
            onChange(evicted, false)
        }
    }

    /**
     * Marks the first [count] blocks as used, the last one first. The end of a prefix is useless
     * without its start, so the end has to be evicted earlier.
     */
    fun touch(count: Int, blockAt: (Int) -> PrefixBlock) {
        for (index in count - 1 downTo 0) blocks[blockAt(index)]
    }

    fun clear() = blocks.clear()
}

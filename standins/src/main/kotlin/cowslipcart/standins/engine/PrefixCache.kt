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
    private val blocks = LinkedHashMap<PrefixBlock, Unit>(16, 0.75f, true)

    /** Returns how many leading blocks of the chain are cached, and marks them as used. */
    fun match(count: Int, chain: (Int) -> PrefixBlock): Int {
        var matched = 0
        while (matched < count && blocks.containsKey(chain(matched))) matched++
        touch(matched, chain)
        return matched
    }

    /** Stores [block] as the most recently used one. */
    fun store(block: PrefixBlock) {
        if (capacityBlocks <= 0) return
        if (blocks.put(block, Unit) != null) return
        onChange(block, true)
        if (blocks.size > capacityBlocks) {
            val eldest = blocks.entries.iterator()
            val evicted = eldest.next().key
            eldest.remove()
            onChange(evicted, false)
        }
    }

    /**
     * Marks the first [count] blocks as used, the last one first. The end of a chain is useless
     * without its start, so the end has to be evicted earlier.
     */
    fun touch(count: Int, chain: (Int) -> PrefixBlock) {
        for (index in count - 1 downTo 0) blocks[chain(index)]
    }

    fun clear() = blocks.clear()
}

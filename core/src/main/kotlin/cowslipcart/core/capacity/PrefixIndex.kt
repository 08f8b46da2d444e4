package cowslipcart.core.capacity

import cowslipcart.core.model.PrefixBlock
import kotlin.math.max

/**
 * Estimate of which endpoint caches which prefix blocks. Each endpoint keeps its most recently used
 * blocks up to a limit. Each block has a bit set of the endpoints that hold it, so that one pass
 * over the blocks of a request finds the cached depth on all endpoints.
 */
internal class PrefixIndex {
    private val holders = HashMap<PrefixBlock, LongArray>()
    private val freeSets = ArrayDeque<LongArray>()
    private val caches = ArrayList<Cache?>()
    private var wordCount = 1
    private var matching = LongArray(1)
    private var emptyBits = LongArray(1)

    /** Number of cached leading blocks by endpoint index, set by [findDepths]. */
    var depths: IntArray = IntArray(0)
        private set

    /** Adds an endpoint without known blocks, or changes its limit. */
    fun resize(index: Int, blockLimit: Int) {
        while (caches.size <= index) caches += null
        if (depths.size < caches.size) depths = IntArray(caches.size)
        val words = (caches.size + Long.SIZE_BITS - 1) / Long.SIZE_BITS
        if (words > wordCount) widen(words)
        val cache = caches[index] ?: Cache(index).also { caches[index] = it }
        cache.blockLimit = max(1, blockLimit)
        cache.evictSurplus()
    }

    /** Forgets all blocks of an endpoint. */
    fun clear(index: Int) {
        val cache = caches[index] ?: return
        cache.blocks.keys.forEach { clearBit(it, index) }
        cache.blocks.clear()
    }

    /** Fills [depths] with the number of leading [blocks] that each endpoint holds. */
    fun findDepths(blocks: List<PrefixBlock>) {
        depths.fill(0)
        if (blocks.isEmpty()) return
        val first = holders[blocks[0]] ?: return
        first.copyInto(matching)
        for (position in 1 until blocks.size) {
            val set = holders[blocks[position]] ?: emptyBits
            var isAnyMatching = false
            for (word in 0 until wordCount) {
                val before = matching[word]
                val remaining = before and set[word]
                if (remaining != before) {
                    setDepths(word, before and remaining.inv(), position)
                    matching[word] = remaining
                }
                if (remaining != 0L) isAnyMatching = true
            }
            if (!isAnyMatching) return
        }
        for (word in 0 until wordCount) setDepths(word, matching[word], blocks.size)
    }

    /** Number of blocks that the endpoint is assumed to hold. */
    fun count(index: Int): Int = caches[index]?.blocks?.size ?: 0

    /** Forgets the blocks of an endpoint without a grant or stored event at or after [sinceMs]. */
    fun forgetBefore(index: Int, sinceMs: Long) {
        val cache = caches[index] ?: return
        val iterator = cache.blocks.iterator()
        while (iterator.hasNext()) {
            val (block, evidence) = iterator.next()
            if (max(evidence.grantedAtMs, evidence.storedAtMs) >= sinceMs) continue
            iterator.remove()
            clearBit(block, index)
        }
    }

    /** Records a grant on the endpoint, which will hold the [blocks] of its prompt. */
    fun touch(index: Int, blocks: List<PrefixBlock>, nowMs: Long) {
        val cache = caches[index] ?: return
        val evidence = Evidence(grantedAtMs = nowMs, storedAtMs = nowMs)
        // In reverse order, so that the start of a prefix is evicted last, as in the engines.
        for (position in minOf(blocks.size, cache.blockLimit) - 1 downTo 0) {
            add(cache, blocks[position], evidence)
        }
    }

    /** Records that the endpoint reported a block as stored. */
    fun store(index: Int, block: PrefixBlock, nowMs: Long) {
        val cache = caches[index] ?: return
        val grantedAtMs = evidence(index, block)?.grantedAtMs ?: NEVER
        add(cache, block, Evidence(grantedAtMs, storedAtMs = nowMs))
    }

    /** Why the endpoint is assumed to hold the block; null if it is not. */
    fun evidence(index: Int, block: PrefixBlock): Evidence? = caches[index]?.blocks?.get(block)

    /** Forgets one block of an endpoint. */
    fun evict(index: Int, block: PrefixBlock) {
        if (caches[index]?.blocks?.remove(block) != null) clearBit(block, index)
    }

    private fun setDepths(word: Int, bits: Long, depth: Int) {
        var rest = bits
        while (rest != 0L) {
            val index = word * Long.SIZE_BITS + rest.countTrailingZeroBits()
            depths[index] = depth
            rest = rest and (rest - 1)
        }
    }

    private fun add(cache: Cache, block: PrefixBlock, evidence: Evidence) {
        if (cache.blocks.put(block, evidence) == null) {
            val set = holders.getOrPut(block) {
                freeSets.removeLastOrNull() ?: LongArray(wordCount)
            }
            val word = cache.index / Long.SIZE_BITS
            set[word] = set[word] or (1L shl cache.index)
        }
        cache.evictSurplus()
    }

    private fun clearBit(block: PrefixBlock, index: Int) {
        val set = holders[block] ?: return
        val word = index / Long.SIZE_BITS
        set[word] = set[word] and (1L shl index).inv()
        if (set.all { it == 0L }) {
            holders.remove(block)
            freeSets.addLast(set)
        }
    }

    private fun widen(words: Int) {
        wordCount = words
        matching = LongArray(words)
        emptyBits = LongArray(words)
        freeSets.clear()
        holders.entries.forEach { it.setValue(it.value.copyOf(words)) }
    }

    /** Times of the last grant and of the last stored event for a block on an endpoint. */
    class Evidence(val grantedAtMs: Long, val storedAtMs: Long)

    /** Blocks of one endpoint, least recently used first. */
    private inner class Cache(val index: Int) {
        val blocks = LinkedHashMap<PrefixBlock, Evidence>(16, 0.75f, true)
        var blockLimit = 1

        fun evictSurplus() {
            while (blocks.size > blockLimit) {
                val eldest = blocks.keys.first()
                blocks.remove(eldest)
                clearBit(eldest, index)
            }
        }
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2
    }
}

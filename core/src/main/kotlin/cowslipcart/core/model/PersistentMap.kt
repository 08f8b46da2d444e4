package cowslipcart.core.model

/**
 * Immutable hash map. A changed copy shares all buckets without a changed key, so a change of one
 * among many thousand entries copies only a few entries and the table of buckets.
 */
internal class PersistentMap<K : Any, V : Any> private constructor(
    private val buckets: Array<Bucket<K, V>?>,
    override val size: Int
) : AbstractMap<K, V>() {
    /** The entries of one bucket, in the order of their insertion. */
    private class Bucket<K : Any, V : Any>(val entries: Array<Entry<K, V>>) {
        fun find(key: K): Entry<K, V>? = entries.firstOrNull { it.key == key }
    }

    private class Entry<K : Any, V : Any>(override val key: K, override val value: V) :
        Map.Entry<K, V> {
        override fun equals(other: Any?): Boolean =
            other is Map.Entry<*, *> && other.key == key && other.value == value

        override fun hashCode(): Int = key.hashCode() xor value.hashCode()
    }

    override fun get(key: K): V? = buckets[bucketOf(key)]?.find(key)?.value

    override fun containsKey(key: K): Boolean = buckets[bucketOf(key)]?.find(key) != null

    override val entries: Set<Map.Entry<K, V>> = object : AbstractSet<Map.Entry<K, V>>() {
        override val size: Int get() = this@PersistentMap.size

        override fun iterator(): Iterator<Map.Entry<K, V>> =
            buckets.asSequence().filterNotNull().flatMap { it.entries.asSequence() }.iterator()
    }

    /** Returns a copy that first removes the keys [removed] and then adds or replaces [added]. */
    fun withChanges(removed: Collection<K>, added: Map<K, V>): PersistentMap<K, V> {
        if (removed.isEmpty() && added.isEmpty()) return this
        if (size + added.size >
            buckets.size * MAX_MEAN_BUCKET_SIZE
        ) {
            return of(this - removed.toSet() + added)
        }
        val copy = buckets.copyOf()
        var newSize = size
        for (key in removed) {
            val index = bucketOf(key)
            val old = copy[index]?.entries ?: continue
            val kept = old.filter { it.key != key }
            newSize -= old.size - kept.size
            copy[index] = if (kept.isEmpty()) null else Bucket(kept.toTypedArray())
        }
        for ((key, value) in added) {
            val index = bucketOf(key)
            val old = copy[index]?.entries ?: emptyArray()
            val kept = old.filter { it.key != key }
            newSize += 1 + kept.size - old.size
            copy[index] = Bucket((kept + Entry(key, value)).toTypedArray())
        }
        return PersistentMap(copy, newSize)
    }

    private fun bucketOf(key: K): Int = bucketOf(key, buckets.size)

    companion object {
        /** Mean number of entries in a bucket above which the table grows. */
        private const val MAX_MEAN_BUCKET_SIZE = 8
        private const val INITIAL_MEAN_BUCKET_SIZE = 4
        private const val MIN_BUCKETS = 16

        /** Returns a map with the entries of [source]. */
        fun <K : Any, V : Any> of(source: Map<K, V>): PersistentMap<K, V> {
            var count = MIN_BUCKETS
            while (count * INITIAL_MEAN_BUCKET_SIZE < source.size) count *= 2
            val grouped = arrayOfNulls<MutableList<Entry<K, V>>>(count)
            for ((key, value) in source) {
                val index = bucketOf(key, count)
                val bucket =
                    grouped[index] ?: mutableListOf<Entry<K, V>>().also { grouped[index] = it }
                bucket += Entry(key, value)
            }
            val buckets = Array(count) { index ->
                grouped[index]?.let { Bucket(it.toTypedArray()) }
            }
            return PersistentMap(buckets, source.size)
        }

        /**
         * Returns the index of the bucket of [key] among [count] buckets, a power of two. The hash
         * code is multiplied, as the low bits of many hash codes are equal.
         */
        private fun bucketOf(key: Any, count: Int): Int {
            val mixed = key.hashCode() * HASH_FACTOR
            return (mixed xor (mixed ushr HASH_SHIFT)) and (count - 1)
        }

        private const val HASH_FACTOR = -0x61c88647
        private const val HASH_SHIFT = 15
    }
}

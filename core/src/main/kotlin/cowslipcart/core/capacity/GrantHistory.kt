package cowslipcart.core.capacity

/**
 * The last grants and ends of one endpoint, to correct a lagging load report. Both are kept in
 * rings of fixed size; an older event lies before any report of normal age.
 */
internal class GrantHistory {
    private val grantTimesMs = LongArray(SIZE) { Long.MIN_VALUE }
    private val grantTokens = IntArray(SIZE)
    private val endTimesMs = LongArray(SIZE) { Long.MIN_VALUE }
    private var grantCount = 0
    private var endCount = 0

    fun recordGrant(nowMs: Long, uncachedTokens: Int) {
        val slot = grantCount++ and (SIZE - 1)
        grantTimesMs[slot] = nowMs
        grantTokens[slot] = uncachedTokens
    }

    fun recordEnd(nowMs: Long) {
        endTimesMs[endCount++ and (SIZE - 1)] = nowMs
    }

    /** Prompt tokens granted at or after [sinceMs]. */
    fun tokensGrantedSince(sinceMs: Long): Long {
        var sum = 0L
        for (slot in 0 until SIZE) if (grantTimesMs[slot] >= sinceMs) sum += grantTokens[slot]
        return sum
    }

    /** Number of grants at or after [sinceMs]. */
    fun grantsSince(sinceMs: Long): Int = grantTimesMs.count { it >= sinceMs }

    /** Number of grants that ended at or after [sinceMs]. */
    fun endsSince(sinceMs: Long): Int = endTimesMs.count { it >= sinceMs }

    private companion object {
        // Power of two; at 60 grants a second an endpoint's ring covers the last second.
        const val SIZE = 64
    }
}

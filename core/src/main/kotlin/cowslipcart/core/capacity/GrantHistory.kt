package cowslipcart.core.capacity

import kotlin.math.max

/**
 * Times of the last grants and ends on one endpoint, to correct load reports for their age. Both
 * are kept in ring buffers; what was overwritten is older than any report of normal age.
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

    /** Whether all grants at or after [sinceMs] are still known. */
    fun covers(sinceMs: Long): Boolean =
        grantCount < SIZE || grantTimesMs[grantCount and (SIZE - 1)] < sinceMs

    /**
     * Estimates the prompt tokens that wait for prefill at [nowMs], from [waitingTokens] at
     * [fromMs], the grants since [grantedSinceMs] and a prefill speed of [tokensPerMs].
     */
    fun waitingTokensAt(
        nowMs: Long,
        fromMs: Long,
        grantedSinceMs: Long,
        waitingTokens: Double,
        tokensPerMs: Double
    ): Double {
        var waiting = waitingTokens
        var atMs = fromMs
        for (number in max(0, grantCount - SIZE) until grantCount) {
            val slot = number and (SIZE - 1)
            if (grantTimesMs[slot] < grantedSinceMs) continue
            val grantMs = max(atMs, grantTimesMs[slot])
            waiting = max(0.0, waiting - (grantMs - atMs) * tokensPerMs) + grantTokens[slot]
            atMs = grantMs
        }
        return max(0.0, waiting - (nowMs - atMs) * tokensPerMs)
    }

    /** Number of grants at or after [sinceMs]. */
    fun grantsSince(sinceMs: Long): Int = grantTimesMs.count { it >= sinceMs }

    /** Number of grants that ended at or after [sinceMs]. */
    fun endsSince(sinceMs: Long): Int = endTimesMs.count { it >= sinceMs }

    private companion object {
        // Power of two. At 10 grants a second on an endpoint it covers reports up to 12 s old.
        const val SIZE = 128
    }
}

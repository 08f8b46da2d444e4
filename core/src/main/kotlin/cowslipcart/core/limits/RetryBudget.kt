package cowslipcart.core.limits

/**
 * Limits retries to [maxShare] of the requests of the last [WINDOW_MS], or to [minRetries] if that
 * is more. Without a limit, a fault that causes every request to be retried doubles the load at the
 * moment when capacity is lowest.
 */
internal class RetryBudget(
    private val maxShare: Double = MAX_SHARE,
    private val minRetries: () -> Int = { MIN_RETRIES }
) {
    private val requests = WindowCount()
    private val retries = WindowCount()

    /** Counts a request that a caller sent. */
    fun recordRequest(nowMs: Long) = requests.add(nowMs)

    /** Counts a retry and returns true, or returns false if the budget is used up. */
    fun trySpend(nowMs: Long): Boolean {
        val allowed = maxOf(minRetries(), (requests.total(nowMs) * maxShare).toInt())
        if (retries.total(nowMs) >= allowed) return false
        retries.add(nowMs)
        return true
    }

    /** Counts events in buckets of [BUCKET_MS], so that memory does not grow with the rate. */
    private class WindowCount {
        private val counts = IntArray(BUCKET_COUNT)
        private var lastBucket = Long.MIN_VALUE

        fun add(nowMs: Long) {
            advance(nowMs)
            counts[indexOf(lastBucket)]++
        }

        fun total(nowMs: Long): Int {
            advance(nowMs)
            return counts.sum()
        }

        /** Moves the window to [nowMs] and clears the buckets that are reused. */
        private fun advance(nowMs: Long) {
            val bucket = Math.floorDiv(nowMs, BUCKET_MS)
            if (lastBucket == Long.MIN_VALUE) lastBucket = bucket
            val first = maxOf(lastBucket + 1, bucket - BUCKET_COUNT + 1)
            for (entered in first..bucket) counts[indexOf(entered)] = 0
            lastBucket = maxOf(lastBucket, bucket)
        }

        private fun indexOf(bucket: Long) = Math.floorMod(bucket, BUCKET_COUNT)
    }

    companion object {
        const val WINDOW_MS = 10_000L
        const val MAX_SHARE = 0.1

        /** Lets a host with few requests retry after the refusals of one endpoint. */
        const val MIN_RETRIES = 10

        private const val BUCKET_MS = 1_000L
        private const val BUCKET_COUNT = (WINDOW_MS / BUCKET_MS).toInt()
    }
}

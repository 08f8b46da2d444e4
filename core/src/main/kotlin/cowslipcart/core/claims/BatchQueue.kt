package cowslipcart.core.claims

/** Items that wait for an append, oldest first, and those of the append in flight. */
internal class BatchQueue(private val settings: BatcherSettings) {
    private val waiting = LinkedHashSet<ClaimItem>()
    private var waitingClaimCount = 0
    private var waitingSinceMs = 0L
    private var sent: SentBatch? = null
    private var lastBatch = 0L
    private var notBeforeMs = Long.MIN_VALUE
    private var failureCount = 0

    /** Adds [item]. A release or outcome beyond the limit of the settings is dropped. */
    fun add(item: ClaimItem, nowMs: Long) {
        val isClaim = item is ClaimItem.Claim
        val recordCount = waiting.size - waitingClaimCount
        if (!isClaim && recordCount >= settings.maxQueuedRecords) return
        if (waiting.isEmpty()) waitingSinceMs = nowMs
        if (waiting.add(item) && isClaim) waitingClaimCount++
    }

    /** Drops [item], which is in the log or no longer wanted, so that it is not appended again. */
    fun remove(item: ClaimItem) {
        if (waiting.remove(item) && item is ClaimItem.Claim) waitingClaimCount--
        sent?.items?.remove(item)
    }

    /** Starts the next append if one is due and none is in flight. */
    fun startBatch(nowMs: Long): SentBatch? {
        if (!isDue(nowMs)) return null
        val claims = waiting.filterIsInstance<ClaimItem.Claim>().take(settings.maxBatchClaims)
        val others = waiting.filter { it !is ClaimItem.Claim }.take(settings.maxBatchClaims)
        val items = LinkedHashSet<ClaimItem>(claims + others)
        waiting.removeAll(items)
        waitingClaimCount -= claims.size
        notBeforeMs = nowMs + settings.batchIntervalMs
        lastBatch++
        return SentBatch(lastBatch, items).also { sent = it }
    }

    /** Ends the append of [batch]; its items are in the log. */
    fun onAppended(batch: Long) {
        if (sent?.batch != batch) return
        sent = null
        failureCount = 0
    }

    /** Queues the items of [batch] again, before the others, for a later append. */
    fun onFailed(batch: Long, nowMs: Long) {
        val failed = sent?.takeIf { it.batch == batch } ?: return
        sent = null
        failureCount++
        notBeforeMs = nowMs + retryDelayMs(failureCount, settings)
        val later = waiting.toList()
        waiting.clear()
        waiting.addAll(failed.items)
        waiting.addAll(later)
        waitingClaimCount = waiting.count { it is ClaimItem.Claim }
    }

    private fun isDue(nowMs: Long): Boolean = when {
        sent != null || waiting.isEmpty() || nowMs < notBeforeMs -> false
        waitingClaimCount >= settings.maxBatchClaims -> true
        else -> nowMs >= waitingSinceMs + settings.batchIntervalMs
    }
}

/** An append in flight; [items] shrinks when an item turns up in the log or is given up. */
internal class SentBatch(val batch: Long, val items: MutableSet<ClaimItem>)

/** Returns the wait after [failureCount] failures in a row. */
internal fun retryDelayMs(failureCount: Int, settings: BatcherSettings): Long {
    val doublings = (failureCount - 1).coerceIn(0, MAX_DOUBLINGS)
    return (settings.firstRetryMs shl doublings).coerceAtMost(settings.maxRetryMs)
}

private const val MAX_DOUBLINGS = 16

package cowslipcart.core.claims

/**
 * Items that wait for an append, oldest first, and the items of the append in flight. [add] limits
 * the releases and outcomes; the batcher limits the claims.
 */
internal class BatchQueue(private val settings: BatcherSettings) {
    private val waiting = LinkedHashSet<ClaimItem>()
    private var waitingClaimCount = 0
    private var waitingSinceMs = 0L
    private var inFlight: InFlightBatch? = null
    private var lastBatchId = 0L
    private var earliestBatchMs = Long.MIN_VALUE
    private var failureCount = 0

    /** Adds [item]. Drops a release or outcome beyond [BatcherSettings.maxQueuedUpdates]. */
    fun add(item: ClaimItem, nowMs: Long) {
        val isClaim = item is ClaimItem.Claim
        val updateCount = waiting.size - waitingClaimCount
        if (!isClaim && updateCount >= settings.maxQueuedUpdates) return
        if (waiting.isEmpty()) waitingSinceMs = nowMs
        if (waiting.add(item) && isClaim) waitingClaimCount++
    }

    /** Removes [item], which is in the log or abandoned, so that it is not appended again. */
    fun remove(item: ClaimItem) {
        if (waiting.remove(item) && item is ClaimItem.Claim) waitingClaimCount--
        inFlight?.items?.remove(item)
    }

    /** Starts the next append if one is due and none is in flight. */
    fun startBatch(nowMs: Long): InFlightBatch? {
        if (!isDue(nowMs)) return null
        val claims = waiting.filterIsInstance<ClaimItem.Claim>().take(settings.maxBatchClaims)
        val others = waiting.filter { it !is ClaimItem.Claim }.take(settings.maxBatchClaims)
        val items = LinkedHashSet<ClaimItem>(claims + others)
        waiting.removeAll(items)
        waitingClaimCount -= claims.size
        earliestBatchMs = nowMs + settings.batchIntervalMs
        lastBatchId++
        return InFlightBatch(lastBatchId, items).also { inFlight = it }
    }

    /** Ends the append [batchId]; its items are in the log. */
    fun onAppended(batchId: Long) {
        if (inFlight?.batchId != batchId) return
        inFlight = null
        failureCount = 0
    }

    /** Queues the items of [batchId] again, before the others, for a later append. */
    fun onFailed(batchId: Long, nowMs: Long) {
        val failed = inFlight?.takeIf { it.batchId == batchId } ?: return
        inFlight = null
        failureCount++
        earliestBatchMs = nowMs + retryDelayMs(failureCount, settings)
        val later = waiting.toList()
        waiting.clear()
        waiting.addAll(failed.items)
        waiting.addAll(later)
        waitingClaimCount = waiting.count { it is ClaimItem.Claim }
    }

    private fun isDue(nowMs: Long): Boolean = when {
        inFlight != null || waiting.isEmpty() || nowMs < earliestBatchMs -> false
        waitingClaimCount >= settings.maxBatchClaims -> true
        else -> nowMs >= waitingSinceMs + settings.batchIntervalMs
    }
}

/** An append in flight; an item leaves [items] when it is read in the log or abandoned. */
internal class InFlightBatch(val batchId: Long, val items: MutableSet<ClaimItem>)

/** Returns the exponential backoff in ms after [failureCount] consecutive failures. */
internal fun retryDelayMs(failureCount: Int, settings: BatcherSettings): Long {
    val doublings = (failureCount - 1).coerceIn(0, MAX_BACKOFF_DOUBLINGS)
    return (settings.initialRetryDelayMs shl doublings).coerceAtMost(settings.maxRetryDelayMs)
}

private const val MAX_BACKOFF_DOUBLINGS = 16

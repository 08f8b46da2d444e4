package cowslipcart.core.claims

import cowslipcart.core.model.LogOffset

/** Decides when a batcher reads its stream; at most one read is in flight. */
internal class ReadScheduler(private val settings: BatcherSettings) {
    private var targetOffset = LogOffset(0)
    private var mustCatchUp = false
    private var isReading = false
    private var earliestReadMs = Long.MIN_VALUE
    private var failureCount = 0

    /** Whether a read has reached the end of the stream at least once. */
    var hasCaughtUp: Boolean = false
        private set

    /** Requests reads until the record at [offset] is applied. */
    fun requestThrough(offset: LogOffset) {
        targetOffset = maxOf(targetOffset, offset.next())
    }

    /** Requests reads until the end of the stream is reached. */
    fun requestCatchUp() {
        mustCatchUp = true
    }

    /** Marks a read at [nextOffset] as started and returns true if one is requested and due. */
    fun startRead(nextOffset: LogOffset, nowMs: Long): Boolean {
        val isRequested = mustCatchUp || nextOffset < targetOffset
        if (!isRequested || isReading || nowMs < earliestReadMs) return false
        isReading = true
        return true
    }

    /** Handles a successful read that moved the next offset from [before] to [after]. */
    fun onRead(before: LogOffset, after: LogOffset, endOffset: LogOffset, nowMs: Long) {
        isReading = false
        failureCount = 0
        if (after >= endOffset) {
            mustCatchUp = false
            hasCaughtUp = true
        }
        // Delays the next read if this one found nothing new, to avoid a busy loop.
        if (after == before) earliestReadMs = nowMs + settings.batchIntervalMs
    }

    /** Handles a failed read. */
    fun onFailed(nowMs: Long) {
        isReading = false
        failureCount++
        earliestReadMs = nowMs + retryDelayMs(failureCount, settings)
    }
}

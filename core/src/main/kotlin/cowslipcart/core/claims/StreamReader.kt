package cowslipcart.core.claims

import cowslipcart.core.model.LogOffset

/** Decides when a batcher reads its stream; at most one read is in flight. */
internal class StreamReader(private val settings: BatcherSettings) {
    private var targetOffset = LogOffset(0)
    private var mustCatchUp = false
    private var isReading = false
    private var notBeforeMs = Long.MIN_VALUE
    private var failureCount = 0

    /** Whether the end of the stream was reached once. */
    var hasCaughtUp: Boolean = false
        private set

    /** Wants the record at [offset] and all before it. */
    fun requestThrough(offset: LogOffset) {
        targetOffset = maxOf(targetOffset, offset.next())
    }

    /** Wants all records up to the end of the stream. */
    fun requestCatchUp() {
        mustCatchUp = true
    }

    /** Starts a read at [nextOffset] if one is wanted and due. */
    fun startRead(nextOffset: LogOffset, nowMs: Long): Boolean {
        val isWanted = mustCatchUp || nextOffset < targetOffset
        if (!isWanted || isReading || nowMs < notBeforeMs) return false
        isReading = true
        return true
    }

    /** Takes the result of a read that moved the replay from [before] to [after]. */
    fun onRead(before: LogOffset, after: LogOffset, endOffset: LogOffset, nowMs: Long) {
        isReading = false
        failureCount = 0
        if (after >= endOffset) {
            mustCatchUp = false
            hasCaughtUp = true
        }
        // A read that finds nothing new is not repeated at once, or it would run in a tight loop.
        if (after == before) notBeforeMs = nowMs + settings.batchIntervalMs
    }

    /** Takes the failure of a read. */
    fun onFailed(nowMs: Long) {
        isReading = false
        failureCount++
        notBeforeMs = nowMs + retryDelayMs(failureCount, settings)
    }
}

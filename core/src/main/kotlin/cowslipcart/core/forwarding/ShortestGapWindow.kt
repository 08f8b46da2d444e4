package cowslipcart.core.forwarding

/**
 * Finds the [WINDOW_GAPS] consecutive gaps between the events of a stream that took the least
 * time. An engine that prefills a prompt pauses all its streams, so that the average gap reflects
 * its load rather than its decode speed.
 */
public class ShortestGapWindow {
    private val recentAtMs = ArrayDeque<Long>()

    /** Gaps in the fastest window; a short stream has fewer than a whole window. */
    public var gapCount: Int = 0
        private set

    /** Duration of the fastest window, in ms. */
    public var durationMs: Long = 0
        private set

    /** Records an event that arrived at [atMs] of the monotonic clock. */
    public fun onEvent(atMs: Long) {
        recentAtMs += atMs
        if (recentAtMs.size > WINDOW_GAPS + 1) recentAtMs.removeFirst()
        val tookMs = atMs - recentAtMs.first()
        val count = recentAtMs.size - 1
        if (count > gapCount || tookMs < durationMs) {
            gapCount = count
            durationMs = tookMs
        }
    }

    private companion object {
        /** More than one gap, since events may be buffered and delivered together. */
        const val WINDOW_GAPS = 5
    }
}

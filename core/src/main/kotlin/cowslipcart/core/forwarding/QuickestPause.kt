package cowslipcart.core.forwarding

/**
 * Finds the quickest [WINDOW_PAUSES] pauses in a row between the events of a stream. While an engine
 * reads a prompt all its streams pause, so that the average pause says more of its load than of its
 * speed.
 */
public class QuickestPause {
    private val recentAtMs = ArrayDeque<Long>()

    /** Pauses in the quickest part; fewer than a whole window in a short stream. */
    public var pauses: Int = 0
        private set

    /** Time that they took, in ms. */
    public var durationMs: Long = 0
        private set

    /** An event arrived at [atMs] of the monotonic clock. */
    public fun onEvent(atMs: Long) {
        recentAtMs += atMs
        if (recentAtMs.size > WINDOW_PAUSES + 1) recentAtMs.removeFirst()
        val tookMs = atMs - recentAtMs.first()
        val count = recentAtMs.size - 1
        if (count > pauses || tookMs < durationMs) {
            pauses = count
            durationMs = tookMs
        }
    }

    private companion object {
        /** Events may wait for each other on the way, so several are taken together. */
        const val WINDOW_PAUSES = 5
    }
}

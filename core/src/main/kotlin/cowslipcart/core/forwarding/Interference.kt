package cowslipcart.core.forwarding

/**
 * Slowdown of one endpoint by other work on its machine, as the endpoint states it. It changes
 * within a second, so a statement fades.
 *
 * Load pattern: some of the endpoints are several times slower for part of a second.
 */
internal class Interference {
    private var statedSlowness = 1.0
    private var statedAtMs = Long.MIN_VALUE / 2

    /** The endpoint states that work takes [slowness] times as long as usual. */
    fun onStated(slowness: Double, nowMs: Long) {
        statedSlowness = slowness.coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
        statedAtMs = nowMs
    }

    /** Factor by which work is expected to take longer at [nowMs]; 1.0 if nothing is known. */
    fun factor(nowMs: Long): Double {
        val freshness = 1 - (nowMs - statedAtMs).toDouble() / LIFETIME_MS
        return if (freshness <= 0) 1.0 else 1 + (statedSlowness - 1) * freshness
    }

    private companion object {
        /** Within this time the load of a shared machine changes, in ms. */
        const val LIFETIME_MS = 600L

        /** Bounds on what a statement can do, whatever it says. */
        const val MIN_SLOWNESS = 0.5
        const val MAX_SLOWNESS = 8.0
    }
}

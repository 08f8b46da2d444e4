package cowslipcart.core.orders

/**
 * Token bucket that holds one token. It starts empty, so that changes of the owner do not add to
 * the rate.
 */
internal class OrderBucket(startedAtMs: Long) {
    private var emptiedAtMs = startedAtMs

    /** Takes the token; returns whether there was one. */
    fun take(perMinute: Double, nowMs: Long): Boolean {
        if ((nowMs - emptiedAtMs) * perMinute < MS_PER_MINUTE) return false
        emptiedAtMs = nowMs
        return true
    }

    private companion object {
        const val MS_PER_MINUTE = 60_000.0
    }
}

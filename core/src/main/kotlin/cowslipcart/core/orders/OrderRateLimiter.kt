package cowslipcart.core.orders

/**
 * Token bucket that holds at most one token. It starts empty, so that frequent changes of the
 * owner do not exceed the rate.
 */
internal class OrderRateLimiter(startedAtMs: Long) {
    private var emptiedAtMs = startedAtMs

    /** Takes the token if it has been refilled, at [perMinute]; returns whether it was taken. */
    fun tryAcquire(perMinute: Double, nowMs: Long): Boolean {
        if ((nowMs - emptiedAtMs) * perMinute < MS_PER_MINUTE) return false
        emptiedAtMs = nowMs
        return true
    }

    private companion object {
        const val MS_PER_MINUTE = 60_000.0
    }
}

package cowslipcart.core.forwarding

/**
 * Outlier detection for one endpoint, by the outcomes of this host's requests. Health checks are no
 * substitute: an endpoint can pass them while its requests fail, or fail for some callers only.
 *
 * Load pattern: some endpoints fail a large share of their requests, or are gone.
 */
internal class EndpointHealth {
    private var failureRate = 0.0
    private var sampleWeight = 0.0
    private var unreachableCount = 0
    private var ejectedUntilMs = Long.MIN_VALUE

    /** Share of recent requests that failed; few samples are weighted towards 0. */
    val expectedFailureRate: Double
        get() = failureRate * sampleWeight / (sampleWeight + PRIOR_SAMPLES)

    /** Whether requests should use another endpoint at [nowMs], if there is one. */
    fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs

    fun onSuccess() {
        unreachableCount = 0
        ejectedUntilMs = Long.MIN_VALUE
        record(0.0)
    }

    /** The endpoint answered with an error, or the connection broke. */
    fun onFailure(nowMs: Long) {
        record(1.0)
        if (expectedFailureRate >= EJECTION_FAILURE_RATE) ejectedUntilMs = nowMs + EJECTION_MS
    }

    /** No connection could be made; the backoff doubles with each consecutive failure. */
    fun onUnreachable(nowMs: Long) {
        val backoffMs = FIRST_BACKOFF_MS shl minOf(unreachableCount, MAX_DOUBLINGS)
        unreachableCount++
        ejectedUntilMs = maxOf(ejectedUntilMs, nowMs + backoffMs)
    }

    /** The failed connections were no fault of the endpoint. */
    fun onReachable() {
        unreachableCount = 0
        ejectedUntilMs = Long.MIN_VALUE
    }

    private fun record(failure: Double) {
        sampleWeight = minOf(sampleWeight + 1, MAX_SAMPLES)
        failureRate += (failure - failureRate) / sampleWeight
    }

    private companion object {
        /** Successful samples that are assumed at the start. */
        const val PRIOR_SAMPLES = 3.0

        /** Length of the moving average, in requests. */
        const val MAX_SAMPLES = 12.0

        /** Well above the failure rate of a healthy service, which reaches 0.14 on some days. */
        const val EJECTION_FAILURE_RATE = 0.35

        /** Time for which a failing endpoint is ejected before it is tried again, in ms. */
        const val EJECTION_MS = 1_500L

        /** Backoff after the first failed connection, in ms; restarts take about a second. */
        const val FIRST_BACKOFF_MS = 250L

        /** Limits the backoff to 2 s, since crashed endpoints are back after some seconds. */
        const val MAX_DOUBLINGS = 3
    }
}

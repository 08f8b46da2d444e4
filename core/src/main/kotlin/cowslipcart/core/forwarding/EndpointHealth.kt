package cowslipcart.core.forwarding

/**
 * Judges an endpoint by how its requests end. Health checks of an endpoint can be good while its
 * requests fail, for some callers only, so each host judges by its own outcomes.
 *
 * Load pattern: part of the endpoints fail a large share of their requests, or are gone.
 */
internal class EndpointHealth {
    private var failureRate = 0.0
    private var sampleWeight = 0.0
    private var unreachableCount = 0
    private var avoidedUntilMs = Long.MIN_VALUE

    /** Share of recent requests that failed, pulled towards 0 while there are few samples. */
    val expectedFailureRate: Double
        get() = failureRate * sampleWeight / (sampleWeight + PRIOR_SAMPLES)

    /** Whether requests should go elsewhere at [nowMs] if there is another endpoint. */
    fun isAvoided(nowMs: Long): Boolean = nowMs < avoidedUntilMs

    fun onSuccess() {
        unreachableCount = 0
        avoidedUntilMs = Long.MIN_VALUE
        record(0.0)
    }

    /** The endpoint answered with a failure of its own, or broke off. */
    fun onFailure(nowMs: Long) {
        record(1.0)
        if (expectedFailureRate >= AVOIDED_FAILURE_RATE) avoidedUntilMs = nowMs + RETEST_MS
    }

    /** No connection could be made; the pause doubles with each failure in a row. */
    fun onUnreachable(nowMs: Long) {
        val pauseMs = FIRST_PAUSE_MS shl minOf(unreachableCount, MAX_DOUBLINGS)
        unreachableCount++
        avoidedUntilMs = maxOf(avoidedUntilMs, nowMs + pauseMs)
    }

    private fun record(failure: Double) {
        sampleWeight = minOf(sampleWeight + 1, MAX_SAMPLES)
        failureRate += (failure - failureRate) / sampleWeight
    }

    private companion object {
        /** Samples without failure that are assumed at the start. */
        const val PRIOR_SAMPLES = 3.0

        /** Length of the moving average, in requests. */
        const val MAX_SAMPLES = 12.0

        /** Above the share of failures of a healthy service, which reaches 0.14 on some days. */
        const val AVOIDED_FAILURE_RATE = 0.35

        /** Time after which one request tries a failing endpoint again, in ms. */
        const val RETEST_MS = 1_500L

        /** Pause after the first failed connection, in ms; restarts take about a second. */
        const val FIRST_PAUSE_MS = 250L

        /** Limits the pause to 2 s, since crashed endpoints are back after some seconds. */
        const val MAX_DOUBLINGS = 3
    }
}

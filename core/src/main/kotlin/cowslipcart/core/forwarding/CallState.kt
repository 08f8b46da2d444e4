package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId

/** Mutable state of one request on the host that received it. */
internal class CallState(val call: ForwardedCall) {
    val tried = mutableSetOf<EndpointId>()

    /** Attempts that reached an endpoint, without failed connections. */
    var sentCount = 0

    /** Failed connections, which do not count as attempts. */
    var connectFailures = 0

    /** Whether an endpoint may have started to run the request. */
    var mayHaveRun = false

    /** The attempt in flight; null while the request waits in the queue. */
    var current: CurrentAttempt? = null

    /** Time on the monotonic clock at which the request is refused if no slot is free. */
    var waitUntilMs = call.arrivedAtMs + AdmissionRule.maxWaitMs(call)

    /** Time until the caller gives up, in ms. */
    fun remainingMs(nowMs: Long): Long = call.deadlineAtMs - nowMs
}

/**
 * An attempt in flight.
 *
 * @property prefillTokens its share of [HostLoad.pendingPrefillTokens]; 0 once the first token
 * arrived
 */
internal class CurrentAttempt(
    val endpoint: TrackedEndpoint,
    var prefillTokens: Int,
    val expectedFirstTokenMs: Double,
    val sentAtMs: Long
) {
    /** Whether the endpoint has sent the first event of its answer, or the whole answer. */
    var hasStarted = false
}

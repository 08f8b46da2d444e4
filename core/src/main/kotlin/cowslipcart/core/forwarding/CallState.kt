package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId

/** Progress of one request on the host that received it. */
internal class CallState(val call: ForwardedCall) {
    val tried = mutableSetOf<EndpointId>()

    /** Endpoints that the request was sent to. */
    var sentCount = 0

    /** Failed connections, which do not count as attempts. */
    var connectFailures = 0

    /** An endpoint may have begun to run the request. */
    var mayHaveRun = false

    /** The endpoint that has the request now, and the prompt tokens that it has to read. */
    var current: CurrentAttempt? = null

    /** Ends the wait for a place, by the monotonic clock. */
    var waitUntilMs = call.arrivedAtMs + AdmissionRule.maxWaitMs(call)

    fun leftMs(nowMs: Long): Long = call.givenUpAtMs - nowMs
}

/** An attempt under way. */
internal class CurrentAttempt(
    val endpoint: EndpointLoad,
    var unreadTokens: Int,
    val expectedFirstTokenMs: Double,
    val sentAtMs: Long
)

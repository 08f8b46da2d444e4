package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.VersionId

/** Mutable state of one request on the host that received it. */
internal class CallState(val call: ForwardedCall) {
    val tried = mutableSetOf<EndpointId>()

    /** Those of [tried] that this host could not connect to; another host may. */
    val unreached = mutableSetOf<EndpointId>()

    /** Version of the endpoint that sent the first event of the answer; null before that. */
    var startedVersion: VersionId? = null

    /** Whether the log tells where the request goes on with its stream. */
    var isResumptionLogged = false

    /** Attempts that reached an endpoint, without failed connections. */
    var sentCount = 0

    /** Failed connections, which do not count as attempts. */
    var connectFailures = 0

    /** Whether an endpoint may have started to run the request. */
    var mayHaveRun = false

    /**
     * The attempts in flight; none while the request waits in the queue, two if it is hedged or
     * another endpoint is asked to take over.
     */
    val inFlight = mutableListOf<CurrentAttempt>()

    /** Time on the monotonic clock at which the request is refused if no slot is free. */
    var waitUntilMs = call.arrivedAtMs + AdmissionRule.maxWaitMs(call)

    /** Time on the monotonic clock at which a second copy may be due; [Long.MAX_VALUE] if none. */
    var copyDueAtMs = Long.MAX_VALUE

    /** Whether a second copy was sent because the request was slow. */
    var isCopied = false

    /** Time until the caller gives up, in ms. */
    fun remainingMs(nowMs: Long): Long = call.deadlineAtMs - nowMs

    fun hasTimeForAttempt(nowMs: Long): Boolean = remainingMs(nowMs) >= MIN_ATTEMPT_MS

    /**
     * [attempt] reached no endpoint that it was meant for, so it does not count. With a later
     * attempt in flight its number stays taken, or the next one would have the number of that one.
     */
    fun onNothingSent(attempt: CurrentAttempt) {
        if (attempt.number == sentCount) sentCount--
    }

    private companion object {
        /** An attempt is not worthwhile with less time left, in ms. */
        const val MIN_ATTEMPT_MS = 15L
    }
}

/**
 * An attempt in flight.
 *
 * @property number number of the attempt, as in [CallCommand.Send]
 * @property relay host that relays the connection; null if there is none
 * @property prefillTokens its share of [HostLoad.pendingPrefillTokens]; 0 once the first token
 * arrived
 */
internal class CurrentAttempt(
    val number: Int,
    val endpoint: TrackedEndpoint,
    var prefillTokens: Int,
    val expectedFirstTokenMs: Double,
    val sentAtMs: Long,
    val relay: HostId? = null
) {
    /** Whether the endpoint has sent the first event of its answer, or the whole answer. */
    var hasStarted = false
}

package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId

/** Decides which requests are refused because they, or parts of their prompts, crash endpoints. */
internal class CrashQuarantine(self: HostId) {
    private val requests = QuarantineTracker()
    private val parts = PartCrashHistory(self)

    /** The latest crash notices of this host; each report repeats them. */
    val recentNotices: List<CrashNotice> get() = requests.recentNotices

    fun isQuarantined(call: ForwardedCall, nowMs: Long): Boolean =
        requests.isQuarantined(call.fingerprint) || parts.isQuarantined(call.prompt, nowMs)

    fun onDispatched(call: ForwardedCall, nowMs: Long) = parts.onDispatched(call.prompt, nowMs)

    /** An endpoint sent the first event of its answer. */
    fun onResponseStarted(call: ForwardedCall, nowMs: Long) = parts.onAnswer(call.prompt, nowMs)

    /** An endpoint ran the request to its end. */
    fun onAnswered(call: ForwardedCall) = requests.onAnswered(call.fingerprint)

    /**
     * The answer to [attempt] broke. Only a lost connection before the first event counts against
     * the parts of the prompt: an endpoint that has sent an event did not crash as it began.
     */
    fun onBroken(
        call: ForwardedCall,
        attempt: CurrentAttempt,
        outcome: AttemptOutcome.Broken,
        nowMs: Long
    ) {
        val endpoint: EndpointId = attempt.endpoint.entry.id
        requests.onOwnCrash(call.fingerprint, endpoint)
        if (outcome.isConnectionLost && !attempt.hasStarted) {
            parts.onCrash(call.prompt, endpoint, outcome.isAnswerBegun, nowMs)
        }
    }

    fun onPeerReport(report: HostLoadReport, isRestarted: Boolean, nowMs: Long) {
        if (isRestarted) requests.onPeerRestarted(report.host)
        requests.onPeerNotices(report.host, report.crashes)
        parts.onPeerReport(report.suspectedParts, nowMs)
    }

    /** Returns what the next report tells about suspected parts. */
    fun takeSuspectedParts(nowMs: Long): List<SuspectedPart> = parts.takeReport(nowMs)

    /** Returns the parts that were quarantined or released since the last call, for the log. */
    fun takeChanges(): List<ForwardingEffect.LogStateChange> = parts.takeChanges()
}

package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId

/**
 * Decides which requests are refused because they, or parts of their prompts, crash endpoints. A
 * connection that an endpoint lost while it ran on is no crash.
 */
internal class CrashQuarantine(self: HostId, otherHosts: () -> Set<HostId>) {
    private val runs = EndpointRuns()
    private val requests = QuarantineTracker(self, otherHosts, runs::isRefuted)
    private val parts = PartCrashHistory(self, runs::isRefuted)

    /** The latest crash notices of this host; each report repeats them. */
    val crashNotices: List<CrashNotice> get() = requests.crashNotices

    /** Returns the notices of answers for a report at [nowMs]. */
    fun answerNotices(nowMs: Long): List<AnswerNotice> = requests.answerNotices(nowMs)

    fun isQuarantined(call: ForwardedCall, nowMs: Long): Boolean =
        requests.isQuarantined(call.fingerprint, nowMs) || parts.isQuarantined(call.prompt, nowMs)

    fun onDispatched(call: ForwardedCall, nowMs: Long) {
        requests.onDispatched(call.fingerprint, nowMs)
        parts.onDispatched(call.prompt, nowMs)
    }

    /** An endpoint sent the first event of its answer. */
    fun onResponseStarted(call: ForwardedCall, nowMs: Long) = parts.onAnswer(call.prompt, nowMs)

    /** An endpoint ran the request to its end. */
    fun onAnswered(call: ForwardedCall, nowMs: Long) = requests.onOwnAnswer(call.fingerprint, nowMs)

    /**
     * The answer to [attempt] broke. Only a lost connection can be a crash; before the first event
     * it counts against the parts of the prompt as well: an endpoint that has sent an event did not
     * crash as it began.
     */
    fun onBroken(
        call: ForwardedCall,
        attempt: CurrentAttempt,
        outcome: AttemptOutcome.Broken,
        nowMs: Long
    ) {
        if (!outcome.isConnectionLost) return
        val endpoint: EndpointId = attempt.endpoint.entry.id
        runs.onSuspected(endpoint, nowMs, nowMs)
        requests.onOwnCrash(call.fingerprint, endpoint, nowMs)
        if (!attempt.hasStarted) {
            parts.onCrash(call.prompt, endpoint, outcome.isAnswerBegun, nowMs)
        }
    }

    fun onPeerReport(report: HostLoadReport, isRestarted: Boolean, nowMs: Long) {
        if (isRestarted) requests.onPeerRestarted(report.host)
        onToldCrashes(report, nowMs)
        if (report.endpointRuns.isNotEmpty()) {
            runs.onTold(report.endpointRuns, nowMs)
            forgetRefuted(nowMs)
        }
        requests.onPeerNotices(report.host, report.crashes, report.answers, nowMs)
        requests.onTold(report.host.value, report.quarantines, nowMs)
        parts.onPeerReport(report.suspectedParts, nowMs)
    }

    /** Has the runs of the endpoints that [report] suspects told, if they refute that. */
    private fun onToldCrashes(report: HostLoadReport, nowMs: Long) {
        for (notice in report.crashes) {
            if (requests.isNew(report.host, notice)) {
                runs.onSuspected(notice.endpoint, nowMs, nowMs)
            }
        }
        for (crash in report.suspectedParts.flatMap { it.crashes }) {
            runs.onSuspected(crash.endpoint, nowMs - crash.agoMs, nowMs)
        }
        for (crash in report.quarantines.flatMap { it.crashes }) {
            runs.onSuspected(crash.endpoint, nowMs - crash.agoMs, nowMs)
        }
    }

    /** Only the [listed] endpoints are known further. */
    fun onEndpoints(listed: Set<EndpointId>) = runs.retain(listed)

    /** Endpoints wrote [heartbeats] about themselves after [writtenAfterMs]. */
    fun onHeartbeats(heartbeats: List<EndpointHeartbeat>, writtenAfterMs: Long, nowMs: Long) {
        runs.onHeartbeats(heartbeats, writtenAfterMs, nowMs)
        if (runs.hasSuspects) forgetRefuted(nowMs)
    }

    private fun forgetRefuted(nowMs: Long) {
        requests.forgetRefuted(nowMs)
        parts.forgetRefuted(nowMs)
    }

    /** Returns what the next report tells about endpoints that lost connections and ran on. */
    fun takeEndpointRuns(nowMs: Long): List<EndpointRun> = runs.takeReport(nowMs)

    /** Adds the quarantines that the platform's store holds. */
    fun onStored(quarantines: List<QuarantinedRequest>, nowMs: Long) =
        requests.onTold("the store", quarantines, nowMs)

    /** The platform's store came back from an older copy, which may lack quarantines. */
    fun onStoreReplaced(nowMs: Long) = requests.onStoreReplaced(nowMs)

    /** Returns the changes of the stored quarantines since the last call. */
    fun takeStoreEffects(): List<QuarantineEffect> = requests.takeStoreEffects()

    /** Returns the quarantined requests that the next report tells. */
    fun takeQuarantines(nowMs: Long): List<QuarantinedRequest> = requests.takeQuarantines(nowMs)

    /** Returns what the next report tells about suspected parts. */
    fun takeSuspectedParts(nowMs: Long): List<SuspectedPart> = parts.takeReport(nowMs)

    /** Returns what was quarantined, probed or released since the last call, for the log. */
    fun takeChanges(): List<ForwardingEffect.LogStateChange> =
        requests.takeChanges() + parts.takeChanges()
}

/** Values of [ForwardingEffect.LogStateChange.change] that concern quarantines. */
public val QUARANTINE_CHANGES: Set<String> = setOf(
    "request-quarantined",
    "request-probed",
    "request-released",
    "part-quarantined",
    "part-released"
)

package cowslipcart.core.origin

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.limits.RetryBudget
import cowslipcart.core.model.GrantId

/** Handles requests that were dispatched to an endpoint. */
internal class StreamPhase(
    private val self: ProcessId,
    private val table: RequestTable,
    private val budget: RetryBudget,
    private val capacity: CapacityPhase
) {
    private var crashCount = 0L

    /** Interrupts the stream of [grantId] to preempt it, once and only if it is interruptible. */
    fun onPreempt(tracked: TrackedRequest, grantId: GrantId): List<OriginEffect> {
        val state = tracked.state
        if (state !is RequestState.Dispatched || state.grantId != grantId) return emptyList()
        if (state.isInterrupting || !tracked.request.isInterruptible) return emptyList()
        tracked.state = state.copy(isInterrupting = true)
        return listOf(OriginEffect.InterruptStream(tracked.request.requestId))
    }

    /** Releases the grant and ends the request, retries it or queues it for resumption. */
    fun onEnd(
        tracked: TrackedRequest,
        state: RequestState.Dispatched,
        end: StreamEnd,
        nowMs: Long
    ): List<OriginEffect> = when (end) {
        is StreamEnd.Completed ->
            table.endDone(tracked, end.answer, nowMs) + released(state, end)

        is StreamEnd.ProvenNotRun ->
            listOf(released(state, end)) + onProvenNotRun(tracked, state, end, nowMs)

        is StreamEnd.Broken -> listOf(released(state, end)) + onBroken(tracked, state, end, nowMs)

        is StreamEnd.CallerDisconnected ->
            table.endUnknown(tracked, Rejection.OutcomeUnknown("the caller left"), nowMs) +
                released(state, end)

        is StreamEnd.Interrupted -> onInterrupted(tracked, state, end, nowMs)
    }

    fun onCrashAcknowledged(
        tracked: TrackedRequest,
        detail: String,
        nowMs: Long
    ): List<OriginEffect> = table.endUnknown(tracked, Rejection.OutcomeUnknown(detail), nowMs)

    private fun released(state: RequestState.Dispatched, end: StreamEnd) =
        OriginEffect.SendReleased(state.shard, end.report)

    /**
     * Asks for capacity again within the retry budget, which is safe as nothing ran. A resumed
     * stream has run before, so it ends with an unknown outcome.
     */
    private fun onProvenNotRun(
        tracked: TrackedRequest,
        state: RequestState.Dispatched,
        end: StreamEnd.ProvenNotRun,
        nowMs: Long
    ): List<OriginEffect> {
        if (state.resume != null) {
            return table.endUnknown(tracked, Rejection.OutcomeUnknown(end.detail), nowMs)
        }
        tracked.provenNotRunCount++
        if (tracked.provenNotRunCount >= OriginController.MAX_PROVEN_NOT_RUN) {
            return table.endNotRun(tracked, Rejection.NotRun(end.detail, RETRY_AFTER_MS), nowMs)
        }
        if (budget.trySpend(nowMs)) return capacity.begin(tracked, nowMs)
        val detail = "${end.detail}, and the retry budget of this host is used up"
        return table.endNotRun(tracked, Rejection.NotRun(detail, RETRY_AFTER_MS), nowMs)
    }

    /**
     * Ends the request with an unknown outcome. After a crash the caller is answered only when the
     * hosts know about it, so that a request that crashes endpoints is recognised when it is sent
     * again.
     */
    private fun onBroken(
        tracked: TrackedRequest,
        state: RequestState.Dispatched,
        end: StreamEnd.Broken,
        nowMs: Long
    ): List<OriginEffect> {
        if (!end.hasEndpointCrashed) {
            return table.endUnknown(tracked, Rejection.OutcomeUnknown(end.detail), nowMs)
        }
        val crashId = "${self.host}-${self.incarnation}-${++crashCount}"
        tracked.state = RequestState.ReportingCrash(crashId, end.detail)
        val fingerprint = tracked.request.fingerprint
        return listOf(
            OriginEffect.ReportCrash(crashId, state.endpoint, fingerprint, tracked.isSuspect)
        )
    }

    private fun onInterrupted(
        tracked: TrackedRequest,
        state: RequestState.Dispatched,
        end: StreamEnd.Interrupted,
        nowMs: Long
    ): List<OriginEffect> {
        if (!end.canResume) {
            val rejection = Rejection.OutcomeUnknown(
                "the request was stopped for more urgent work and the endpoint cannot resume it"
            )
            return table.endUnknown(tracked, rejection, nowMs) +
                OriginEffect.SendPreempted(state.shard, end.report, null)
        }
        val resume = Resume(state.endpoint, end.sentTokens)
        val resumeRequest = capacity.beginResume(tracked, state.shard, resume, nowMs)
        return listOf(OriginEffect.SendPreempted(state.shard, end.report, resumeRequest))
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}

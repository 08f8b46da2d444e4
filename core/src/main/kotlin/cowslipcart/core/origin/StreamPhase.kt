package cowslipcart.core.origin

import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.limits.RetryBudget
import cowslipcart.core.model.GrantId

/** The part of a request's life after its dispatch. */
internal class StreamPhase(
    private val self: AttemptOrigin,
    private val table: RequestTable,
    private val budget: RetryBudget,
    private val capacity: CapacityPhase
) {
    private var crashCount = 0L

    fun onGiveWay(tracked: TrackedRequest, grantId: GrantId): List<OriginEffect> {
        val state = tracked.state
        if (state !is RequestState.Dispatched || state.grantId != grantId) return emptyList()
        if (state.isInterrupting || !tracked.request.isInterruptible) return emptyList()
        tracked.state = state.copy(isInterrupting = true)
        return listOf(OriginEffect.InterruptStream(tracked.request.requestId))
    }

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

        is StreamEnd.CallerGone ->
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

    /** Nothing ran, so another dispatch is safe; a resumed stream has run before, though. */
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
     * The caller is answered only when the hosts know about the crash, so that a request which
     * crashes endpoints is recognised when it is sent again.
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
        tracked.state = RequestState.Settling(crashId, end.detail)
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
                OriginEffect.SendGaveWay(state.shard, end.report, null)
        }
        val resume = Resume(state.endpoint, end.sentTokens)
        val again = capacity.beginResume(tracked, state.shard, resume, nowMs)
        return listOf(OriginEffect.SendGaveWay(state.shard, end.report, again))
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}

package cowslipcart.core.origin

import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RecordedAnswer
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.RequestId

/** Handles requests whose idempotency key has to be claimed before they may ask for capacity. */
internal class ClaimPhase(
    private val self: ProcessId,
    private val table: RequestTable,
    private val capacity: CapacityPhase
) {
    /** Sends the claim of [key]. */
    fun begin(tracked: TrackedRequest, key: RequestKey, nowMs: Long): List<OriginEffect> {
        val request = tracked.request
        val attempt = AttemptId(request.requestId.value)
        val claim = ClaimItem.Claim(key, attempt, request.fingerprint, self)
        tracked.hasClaimed = true
        tracked.state = RequestState.Claiming(claim, nowMs, nowMs)
        return listOf(OriginEffect.SendClaim(claim, isDurable = !request.isIdempotent))
    }

    /** Asks for capacity if the claim was won, else finds out what to answer. */
    fun onVerdict(tracked: TrackedRequest, verdict: ClaimVerdict, nowMs: Long): List<OriginEffect> {
        if (tracked.state !is RequestState.Claiming) return onLateVerdict(tracked, verdict)
        val id = tracked.request.requestId
        return when (verdict) {
            ClaimVerdict.Won -> capacity.begin(tracked, nowMs)

            is ClaimVerdict.Held -> queryOutcome(tracked, verdict, nowMs)

            ClaimVerdict.ContentMismatch -> endUnclaimed(
                tracked,
                Rejection.BadRequest("this Idempotency-Key was used with other content"),
                nowMs
            )

            ClaimVerdict.Expired -> table.endWithoutRelease(
                tracked,
                OriginEffect.Reject(
                    id,
                    Rejection.OutcomeUnknown(
                        "it cannot be told whether this Idempotency-Key was used before; " +
                            "this request was not sent"
                    )
                ),
                nowMs
            )

            ClaimVerdict.FromFuture -> endUnclaimed(
                tracked,
                Rejection.BadRequest("the time of this Idempotency-Key lies in the future"),
                nowMs
            )

            is ClaimVerdict.Undecided -> queryKey(tracked, verdict.detail, nowMs)
        }
    }

    /**
     * Asks all hosts about the key, because the claim could not be decided. An earlier copy of the
     * request may have run on another host, so the answer is "not run" only if no host knows the
     * key.
     */
    fun queryKey(tracked: TrackedRequest, detail: String, nowMs: Long): List<OriginEffect> {
        val key = checkNotNull(tracked.request.key) { "expected a key, found none" }
        tracked.state = RequestState.QueryingKey(detail, nowMs)
        return listOf(OriginEffect.SendKeyQuery(tracked.request.requestId, key))
    }

    /** Ends the request by what all hosts know about its key. */
    fun onKeyStatus(
        tracked: TrackedRequest,
        state: RequestState.QueryingKey,
        status: KeyStatus,
        nowMs: Long
    ): List<OriginEffect> = when (status) {
        KeyStatus.UNSEEN -> table.endNotRun(
            tracked,
            Rejection.NotRun("the request could not be claimed: ${state.detail}", RETRY_AFTER_MS),
            nowMs
        )

        KeyStatus.RUNNING -> endUnclaimed(
            tracked,
            Rejection.StillRunning("an earlier attempt is still running", RETRY_AFTER_MS),
            nowMs
        ) + table.releaseClaim(tracked)

        KeyStatus.UNKNOWN -> endUnclaimed(
            tracked,
            Rejection.OutcomeUnknown(
                "this request was not sent (${state.detail}), but an earlier one with the same " +
                    "key may have run"
            ),
            nowMs
        ) + table.releaseClaim(tracked)
    }

    /**
     * Takes the outcome of the attempt that holds the key. If that attempt was not run, another
     * copy of the request may have won the key since, so all hosts are asked before the answer is
     * "not run".
     */
    fun onOutcome(
        tracked: TrackedRequest,
        state: RequestState.QueryingOutcome,
        outcome: RequestOutcome,
        nowMs: Long
    ): List<OriginEffect> {
        val id = tracked.request.requestId
        val effect = when (outcome) {
            is RequestOutcome.Answered -> OriginEffect.Replay(id, outcome.answer)

            RequestOutcome.Running -> OriginEffect.Reject(
                id,
                Rejection.StillRunning("an earlier attempt is still running", RETRY_AFTER_MS)
            )

            RequestOutcome.NotRun ->
                return queryKey(tracked, "the earlier attempt was not run", nowMs)

            RequestOutcome.Unknown -> replayOrReject(id, state.held.answer)
        }
        return table.endWithoutRelease(tracked, effect, nowMs)
    }

    /** Repeats a claim that is due, and ends waits that timed out. */
    fun tick(tracked: TrackedRequest, nowMs: Long): List<OriginEffect> =
        when (val state = tracked.state) {
            is RequestState.Claiming -> tickClaiming(tracked, state, nowMs)

            is RequestState.QueryingOutcome ->
                if (nowMs - state.sinceMs < OriginController.OUTCOME_TIMEOUT_MS) {
                    emptyList()
                } else {
                    onOutcome(tracked, state, RequestOutcome.Unknown, nowMs)
                }

            is RequestState.QueryingKey ->
                if (nowMs - state.sinceMs < OriginController.OUTCOME_TIMEOUT_MS) {
                    emptyList()
                } else {
                    onKeyStatus(tracked, state, KeyStatus.UNKNOWN, nowMs)
                }

            is RequestState.Waiting,
            is RequestState.Dispatched,
            is RequestState.ReportingCrash,
            RequestState.Done,
            RequestState.NotRun,
            RequestState.Unknown
            -> emptyList()
        }

    private fun tickClaiming(
        tracked: TrackedRequest,
        state: RequestState.Claiming,
        nowMs: Long
    ): List<OriginEffect> = when {
        nowMs - state.sinceMs >= OriginController.CLAIM_TIMEOUT_MS ->
            queryKey(tracked, "no decision within ${OriginController.CLAIM_TIMEOUT_MS} ms", nowMs)

        nowMs - state.sentAtMs >= OriginController.REPEAT_INTERVAL_MS -> {
            tracked.state = state.copy(sentAtMs = nowMs)
            listOf(OriginEffect.SendClaim(state.claim, !tracked.request.isIdempotent))
        }

        else -> emptyList()
    }

    /** Replays the recorded answer, or asks the origin of the attempt that holds the key. */
    private fun queryOutcome(
        tracked: TrackedRequest,
        held: ClaimVerdict.Held,
        nowMs: Long
    ): List<OriginEffect> {
        val recorded = held.answer
        val id = tracked.request.requestId
        if (recorded?.body != null) {
            return table.endWithoutRelease(tracked, replayOrReject(id, recorded), nowMs)
        }
        val queried = RequestId(held.holder.value)
        tracked.state = RequestState.QueryingOutcome(held, queried, nowMs)
        return listOf(
            OriginEffect.SendOutcomeQuery(tracked.request.organisation, queried, held.origin)
        )
    }

    /** Replays the recorded answer; if its body was not recorded, the outcome is unknown. */
    private fun replayOrReject(id: RequestId, recorded: RecordedAnswer?): OriginEffect {
        val body = recorded?.body
        if (body != null) {
            return OriginEffect.Replay(
                id,
                StoredAnswer(recorded.status, recorded.contentType, body)
            )
        }
        return OriginEffect.Reject(
            id,
            Rejection.OutcomeUnknown("an earlier attempt was started and its outcome is not known")
        )
    }

    /** Ends a request that did not win its claim. */
    private fun endUnclaimed(
        tracked: TrackedRequest,
        rejection: Rejection,
        nowMs: Long
    ): List<OriginEffect> = table.endWithoutRelease(
        tracked,
        OriginEffect.Reject(tracked.request.requestId, rejection),
        nowMs
    )

    /** Releases a claim that was won after the request had ended, since the request never runs. */
    private fun onLateVerdict(tracked: TrackedRequest, verdict: ClaimVerdict): List<OriginEffect> =
        if (verdict == ClaimVerdict.Won && tracked.state == RequestState.NotRun) {
            table.releaseClaim(tracked)
        } else {
            emptyList()
        }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}

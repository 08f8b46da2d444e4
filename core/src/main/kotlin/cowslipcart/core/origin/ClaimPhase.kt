package cowslipcart.core.origin

import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.claims.RecordedAnswer
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.RequestId

/** The part of a request's life before it may ask for capacity. */
internal class ClaimPhase(
    private val self: AttemptOrigin,
    private val table: RequestTable,
    private val capacity: CapacityPhase
) {
    fun begin(tracked: TrackedRequest, key: RequestKey, nowMs: Long): List<OriginEffect> {
        val request = tracked.request
        val attempt = AttemptId(request.requestId.value)
        val claim = ClaimItem.Claim(key, attempt, request.fingerprint, self)
        tracked.hasClaimed = true
        tracked.state = RequestState.Claiming(claim, nowMs, nowMs)
        return listOf(OriginEffect.SendClaim(claim, isDurable = !request.isRepeatable))
    }

    fun onVerdict(tracked: TrackedRequest, verdict: ClaimVerdict, nowMs: Long): List<OriginEffect> {
        if (tracked.state !is RequestState.Claiming) return onLateVerdict(tracked, verdict)
        val id = tracked.request.requestId
        return when (verdict) {
            ClaimVerdict.Won -> capacity.begin(tracked, nowMs)

            is ClaimVerdict.Held -> query(tracked, verdict, nowMs)

            ClaimVerdict.ContentMismatch -> endUnclaimed(
                tracked,
                Rejection.BadRequest("this Idempotency-Key was used with other content"),
                nowMs
            )

            ClaimVerdict.Expired -> table.endWithOther(
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

            is ClaimVerdict.Undecided -> giveUp(tracked, verdict.detail, nowMs)
        }
    }

    /**
     * Ends an undecided claim. An earlier copy of the request may have run on another host, so
     * "not run" is only answered if no host knows the key.
     */
    fun giveUp(tracked: TrackedRequest, detail: String, nowMs: Long): List<OriginEffect> {
        val key = checkNotNull(tracked.request.key) { "expected a key, found none" }
        tracked.state = RequestState.Inquiring(detail, nowMs)
        return listOf(OriginEffect.SendKeyQuery(tracked.request.requestId, key))
    }

    fun onKeyStanding(
        tracked: TrackedRequest,
        state: RequestState.Inquiring,
        standing: KeyStanding,
        nowMs: Long
    ): List<OriginEffect> = when (standing) {
        KeyStanding.UNSEEN -> table.endNotRun(
            tracked,
            Rejection.NotRun("the request could not be claimed: ${state.detail}", RETRY_AFTER_MS),
            nowMs
        )

        KeyStanding.RUNNING -> endUnclaimed(
            tracked,
            Rejection.StillRunning("an earlier attempt is still running", RETRY_AFTER_MS),
            nowMs
        ) + table.releaseClaim(tracked)

        KeyStanding.UNKNOWN -> endUnclaimed(
            tracked,
            Rejection.OutcomeUnknown(
                "this request was not sent (${state.detail}), but an earlier one with the same " +
                    "key may have run"
            ),
            nowMs
        ) + table.releaseClaim(tracked)
    }

    /**
     * Takes what became of the attempt that holds the key. If that attempt was not run, another copy
     * of the request may have won the key since, so all hosts are asked before "not run" is said.
     */
    fun onOutcome(
        tracked: TrackedRequest,
        state: RequestState.Querying,
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
                return giveUp(tracked, "the earlier attempt was not run", nowMs)

            RequestOutcome.Unknown -> recordedOrUnknown(id, state.held.answer)
        }
        return table.endWithOther(tracked, effect, nowMs)
    }

    fun tick(tracked: TrackedRequest, nowMs: Long): List<OriginEffect> =
        when (val state = tracked.state) {
            is RequestState.Claiming -> tickClaiming(tracked, state, nowMs)

            is RequestState.Querying ->
                if (nowMs - state.sinceMs < OriginController.OUTCOME_TIMEOUT_MS) {
                    emptyList()
                } else {
                    onOutcome(tracked, state, RequestOutcome.Unknown, nowMs)
                }

            is RequestState.Inquiring ->
                if (nowMs - state.sinceMs < OriginController.OUTCOME_TIMEOUT_MS) {
                    emptyList()
                } else {
                    onKeyStanding(tracked, state, KeyStanding.UNKNOWN, nowMs)
                }

            is RequestState.Waiting,
            is RequestState.Dispatched,
            is RequestState.Settling,
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
            giveUp(tracked, "no decision within ${OriginController.CLAIM_TIMEOUT_MS} ms", nowMs)

        nowMs - state.sentAtMs >= OriginController.REPEAT_INTERVAL_MS -> {
            tracked.state = state.copy(sentAtMs = nowMs)
            listOf(OriginEffect.SendClaim(state.claim, !tracked.request.isRepeatable))
        }

        else -> emptyList()
    }

    private fun query(
        tracked: TrackedRequest,
        held: ClaimVerdict.Held,
        nowMs: Long
    ): List<OriginEffect> {
        val recorded = held.answer
        val id = tracked.request.requestId
        if (recorded?.body != null) {
            return table.endWithOther(tracked, recordedOrUnknown(id, recorded), nowMs)
        }
        val queried = RequestId(held.holder.value)
        tracked.state = RequestState.Querying(held, queried, nowMs)
        return listOf(
            OriginEffect.SendOutcomeQuery(tracked.request.organisation, queried, held.origin)
        )
    }

    private fun recordedOrUnknown(id: RequestId, recorded: RecordedAnswer?): OriginEffect {
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

    private fun endUnclaimed(
        tracked: TrackedRequest,
        rejection: Rejection,
        nowMs: Long
    ): List<OriginEffect> = table.endWithOther(
        tracked,
        OriginEffect.Reject(tracked.request.requestId, rejection),
        nowMs
    )

    /** A win that comes after the request gave up is released again, since it never runs. */
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

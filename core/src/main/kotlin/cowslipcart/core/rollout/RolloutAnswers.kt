package cowslipcart.core.rollout

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingInput

/** Follows the attempts of this host in pools with an unfinished roll-out, and judges answers. */
internal class RolloutAnswers(private val gate: RolloutGate) {
    private class Attempt(
        val rollout: PoolRollout,
        val call: ForwardedCall,
        val key: EvidenceKey,
        val isCold: Boolean,
        val sentAtMs: Long
    ) {
        val isNew: Boolean get() = key.cohort != CohortId.EARLIER
        val work = WorkClass.of(call.route.id, call.inputTokens)
        var firstPartMs: Long? = null
    }

    private val attempts = mutableMapOf<CallId, MutableMap<Int, Attempt>>()

    /** The attempt [number] of [call] was sent to [entry]. */
    fun onSent(call: ForwardedCall, number: Int, entry: EndpointEntry, nowMs: Long) {
        val rollout = gate[call.pool]?.takeIf { !it.isFinal } ?: return
        if (rollout.isAlreadyServing) return
        val isNew = entry.version == rollout.order.to
        val route = call.route.id
        if (number == 1) rollout.exposure.onSeen(route, nowMs)
        if (isNew) rollout.exposure.onExposed(route)
        val step = rollout.step
        if (step is RolloutStep.Shifting && number == 1) rollout.onShared(isNew, step.percent)
        val cohort = if (isNew) CohortId.of(entry.id) else CohortId.EARLIER
        attempts.getOrPut(call.id) { mutableMapOf() }[number] =
            Attempt(rollout, call, EvidenceKey(route, cohort), entry.isCold, nowMs)
    }

    /** The first part of an answer arrived. */
    fun onResponseStarted(input: ForwardingInput.ResponseStarted, nowMs: Long) {
        val attempt = attempts[input.call]?.get(input.attempt) ?: return
        if (attempt.firstPartMs != null) return
        attempt.firstPartMs = nowMs - attempt.sentAtMs
        if (input.attempt == 1) attempt.rollout.exposure.onReached()
    }

    /** An attempt ended. */
    fun onEnded(input: ForwardingInput.AttemptEnded, nowMs: Long) {
        val attempt = attempts[input.call]?.remove(input.attempt) ?: return
        if (attempts[input.call]?.isEmpty() == true) attempts -= input.call
        when (val outcome = input.outcome) {
            is AttemptOutcome.Answered -> {
                if (attempt.firstPartMs == null && input.attempt == 1) {
                    attempt.rollout.exposure.onReached()
                }
                val tookMs = attempt.firstPartMs ?: (nowMs - attempt.sentAtMs)
                record(attempt, !outcome.isSuccess, tookMs, input, nowMs)
            }

            is AttemptOutcome.Broken, is AttemptOutcome.Replaced ->
                record(attempt, isFailure = true, attempt.firstPartMs, input, nowMs)

            is AttemptOutcome.NotSent, AttemptOutcome.Withheld ->
                if (attempt.isNew) attempt.rollout.exposure.onWithheld(attempt.key.route)

            is AttemptOutcome.Declined -> Unit
        }
    }

    /** The caller has left; what it has waited tells something if it is long. */
    fun onClosed(call: CallId, nowMs: Long) {
        for (attempt in attempts.remove(call)?.values.orEmpty()) {
            if (attempt.firstPartMs != null) continue
            val isLate = attempt.rollout.judge.isLate(attempt.work, nowMs - attempt.sentAtMs)
            if (isLate == true && !attempt.isCold) {
                add(attempt, JudgedAnswer(isFailure = false, isLate = true), nowMs)
            }
        }
    }

    private fun record(
        attempt: Attempt,
        isFailure: Boolean,
        firstPartMs: Long?,
        input: ForwardingInput.AttemptEnded,
        nowMs: Long
    ) {
        val judge = attempt.rollout.judge
        val route = attempt.key.route
        val gapMs = input.gapDurationMs.toDouble() / input.gapCount.coerceAtLeast(1)
        val isTimed = !isFailure && !attempt.isCold
        val answer = JudgedAnswer(
            isFailure,
            firstPartMs?.takeIf { isTimed }?.let { judge.isLate(attempt.work, it) },
            gapMs.takeIf { isTimed && input.gapCount > 0 }?.let { judge.isLongGap(route, it) }
        )
        if (!attempt.isNew && isTimed) {
            firstPartMs?.let { judge.onEarlierFirstPart(attempt.work, it) }
            if (input.gapCount > 0) judge.onEarlierGap(route, gapMs)
        }
        add(attempt, answer, nowMs)
    }

    private fun add(attempt: Attempt, answer: JudgedAnswer, nowMs: Long) {
        val added = attempt.rollout.evidence.addOwn(attempt.key, answer)
        attempt.rollout.verdict.onAnswers(attempt.key, added, nowMs)
    }
}

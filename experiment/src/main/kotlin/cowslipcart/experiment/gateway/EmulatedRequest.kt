package cowslipcart.experiment.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.DeclineReason
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.QuickestPause
import cowslipcart.core.forwarding.WorkSize
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.RequestId
import kotlin.math.exp
import kotlin.random.Random

/** A request of a caller, with its tries, its stream and its end. */
internal class EmulatedRequest(
    private val run: GatewayRun,
    private val kind: RequestKind,
    draws: Random
) {
    private val promptTokens = maxOf(1, kind.inputTokens.draw(draws).toInt())
    private val outputTokens =
        maxOf(1, kind.outputEvents.draw(draws).toInt()) * run.workload.engines.tokensPerEvent
    private val hintedTokens =
        maxOf(1, (outputTokens * exp(kind.hintSpread * draws.nextGaussian())).toInt())

    /** Worth grows with the size, in which a token of output counts as ten of the prompt. */
    private val worth = kind.worth *
        minOf(
            MAX_SIZE_FACTOR,
            BASE_WORTH + (1 - BASE_WORTH) * size(promptTokens, outputTokens) / meanSize()
        )
    private var arrivedAtMs = 0L
    private var triesLeft = kind.retries
    private var current: Attempt? = null
    private var isEnded = false
    private var firstEventMs = -1L
    private var lastProgressMs = 0L
    private var longestGapMs = 0L

    private class Attempt(val host: EmulatedHost, val call: ForwardedCall) {
        var engine: EmulatedEngine? = null
        var work: EmulatedRun? = null
        var eventCount = 0
        val quickestPause = QuickestPause()
    }

    private val nowMs: Long get() = run.queue.nowMs
    private val deadlineMs: Long get() = arrivedAtMs + kind.deadlineMs

    fun start() {
        arrivedAtMs = nowMs
        lastProgressMs = nowMs
        run.queue.schedule(deadlineMs) { leave() }
        watchPatience()
        ask()
    }

    private fun ask() {
        if (isEnded) return
        val host = run.randomHost()
        val call = ForwardedCall(
            id = CallId(run.nextCallId()),
            requestId = RequestId("r"),
            organisation = null,
            route = run.routes.getValue(kind),
            pool = GatewayRun.POOL,
            tier = run.routes.getValue(kind).tier,
            rankInPool = kind.rank,
            statedSize = WorkSize(promptTokens, outputTokens, hintedTokens),
            prompt = emptyList(),
            fingerprint = Fingerprint("f${run.nextCallId()}"),
            arrivedAtMs = nowMs,
            givenUpAtMs = deadlineMs
        )
        current = Attempt(host, call)
        run.register(call, this)
        run.send(host, ForwardingInput.Arrived(call))
    }

    fun onCommand(call: ForwardedCall, command: CallCommand) {
        val attempt = current?.takeIf { it.call === call } ?: return
        when (command) {
            is CallCommand.Dispatch -> run.queue.scheduleIn(run.workload.networkMs) {
                submit(attempt, run.engines.getValue(command.endpoint.id))
            }

            is CallCommand.Refuse -> onRefused(attempt, command.retryAfterMs)

            is CallCommand.GiveUp -> end(RequestEnd.FAILED)
        }
    }

    private fun submit(attempt: Attempt, engine: EmulatedEngine) {
        if (isEnded || current !== attempt) return
        val work = EmulatedRun(promptTokens, outputTokens) { isLast ->
            run.queue.scheduleIn(run.workload.networkMs) { onEvent(attempt, isLast) }
        }
        attempt.engine = engine
        attempt.work = work
        if (!engine.submit(work)) {
            val declined = AttemptOutcome.Declined(DeclineReason.FULL)
            run.send(attempt.host, ForwardingInput.AttemptEnded(attempt.call.id, declined))
        }
    }

    private fun onEvent(attempt: Attempt, isLast: Boolean) {
        if (isEnded || current !== attempt) return
        if (attempt.eventCount++ == 0) {
            run.send(attempt.host, ForwardingInput.Answering(attempt.call.id))
        }
        if (firstEventMs < 0) {
            firstEventMs = nowMs - arrivedAtMs
        } else {
            longestGapMs = maxOf(longestGapMs, nowMs - lastProgressMs)
        }
        attempt.quickestPause.onEvent(nowMs)
        lastProgressMs = nowMs
        if (isLast) onWhole(attempt)
    }

    private fun onWhole(attempt: Attempt) {
        run.send(
            attempt.host,
            ForwardingInput.AttemptEnded(
                attempt.call.id,
                AttemptOutcome.Answered(isSuccess = true),
                attempt.quickestPause.pauses,
                attempt.quickestPause.durationMs
            )
        )
        end(
            when {
                firstEventMs > kind.objectiveMs -> RequestEnd.LATE_FIRST_EVENT
                longestGapMs > kind.gapTargetMs -> RequestEnd.LATE_GAP
                else -> RequestEnd.ON_TIME
            }
        )
    }

    private fun onRefused(attempt: Attempt, retryAfterMs: Long?) {
        val leftMs = deadlineMs - nowMs
        current = null
        run.close(attempt.host, attempt.call)
        if (triesLeft == 0 || retryAfterMs == null || leftMs <= 0) return end(RequestEnd.REFUSED)
        triesLeft--
        lastProgressMs = nowMs + retryAfterMs
        run.queue.scheduleIn(minOf(retryAfterMs, leftMs / HONOURED_PART)) { ask() }
    }

    /** The caller abandons a stream that makes no progress. */
    private fun watchPatience() {
        val patienceMs =
            maxOf(MIN_PATIENCE_MS, OBJECTIVES * kind.objectiveMs, GAPS * kind.gapTargetMs)
        val dueMs = maxOf(nowMs, lastProgressMs + patienceMs)
        if (dueMs <= nowMs) return leave()
        run.queue.schedule(dueMs) { if (!isEnded) watchPatience() }
    }

    private fun leave() {
        if (isEnded) return
        end(RequestEnd.FAILED)
    }

    private fun end(end: RequestEnd) {
        if (isEnded) return
        isEnded = true
        current?.let { attempt ->
            attempt.work?.let { attempt.engine?.cancel(it) }
            run.close(attempt.host, attempt.call)
        }
        val earned = when (end) {
            RequestEnd.ON_TIME -> worth
            RequestEnd.LATE_FIRST_EVENT, RequestEnd.LATE_GAP -> worth * kind.lateWorth / kind.worth
            RequestEnd.REFUSED, RequestEnd.FAILED -> 0.0
        }
        run.onEnded(EndedRequest(kind, arrivedAtMs, end, worth, earned))
    }

    private fun meanSize(): Double = size(
        kind.inputTokens.mean.toInt(),
        kind.outputEvents.mean.toInt() * run.workload.engines.tokensPerEvent
    )

    private fun size(input: Int, output: Int): Double = input + OUTPUT_WEIGHT * output

    private companion object {
        const val BASE_WORTH = 0.3
        const val MAX_SIZE_FACTOR = 4.0
        const val OUTPUT_WEIGHT = 10.0

        /** Part of the time left for which a caller waits before it comes back. */
        const val HONOURED_PART = 3

        /** A caller leaves after the longest of these without an event. */
        const val MIN_PATIENCE_MS = 2_000L
        const val OBJECTIVES = 4
        const val GAPS = 8
    }
}

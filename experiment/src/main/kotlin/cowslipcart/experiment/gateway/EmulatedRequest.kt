package cowslipcart.experiment.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.DeclineReason
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.ShortestGapWindow
import cowslipcart.core.forwarding.WorkSize
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.RequestId
import kotlin.math.exp
import kotlin.random.Random

/**
 * Simulates one caller: sends its request to a gateway, reads the stream, retries after a refusal
 * and classifies the end.
 */
internal class EmulatedRequest(
    private val run: GatewayRun,
    private val kind: RequestKind,
    random: Random
) {
    private val promptTokens = maxOf(1, kind.inputTokens.draw(random).toInt())
    private val outputTokens =
        maxOf(1, kind.outputEvents.draw(random).toInt()) * run.workload.engines.tokensPerEvent
    private val hintedTokens =
        maxOf(1, (outputTokens * exp(kind.hintSpread * random.nextGaussian())).toInt())

    /** Worth grows with the size, where an output token counts as ten prompt tokens. */
    private val worth = kind.worth *
        minOf(
            MAX_SIZE_FACTOR,
            MIN_SIZE_FACTOR +
                (1 - MIN_SIZE_FACTOR) * weightedTokens(promptTokens, outputTokens) /
                meanWeightedTokens()
        )
    private var arrivedAtMs = 0L
    private var retriesLeft = kind.retries
    private var current: Attempt? = null
    private var isEnded = false
    private var firstEventMs = -1L
    private var lastProgressMs = 0L
    private var longestGapMs = 0L

    /** One submission to a gateway; a retry after a refusal is a new attempt. */
    private class Attempt(val host: EmulatedHost, val call: ForwardedCall) {
        var number = 0
        var engine: EmulatedEngine? = null
        var sequence: EmulatedSequence? = null
        var eventCount = 0

        /** Tokens of the answer that engines generated before they crashed. */
        var decodedTokens = 0
        val shortestGaps = ShortestGapWindow()
    }

    private val nowMs: Long get() = run.queue.nowMs
    private val deadlineMs: Long get() = arrivedAtMs + kind.deadlineMs

    fun start() {
        arrivedAtMs = nowMs
        lastProgressMs = nowMs
        run.queue.schedule(deadlineMs) { abandon() }
        checkStalled()
        sendAttempt()
    }

    private fun sendAttempt() {
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
            deadlineAtMs = deadlineMs
        )
        current = Attempt(host, call)
        run.register(call, this)
        run.send(host, ForwardingInput.Arrived(call))
    }

    fun onCommand(call: ForwardedCall, command: CallCommand) {
        val attempt = current?.takeIf { it.call === call } ?: return
        when (command) {
            is CallCommand.Send -> {
                attempt.number = command.attempt
                run.queue.scheduleIn(run.workload.networkMs) {
                    submit(attempt, run.engines.getValue(command.endpoint.id))
                }
            }

            is CallCommand.Refuse -> onRefused(attempt, command.retryAfterMs)

            is CallCommand.GiveUp -> end(RequestEnd.FAILED)
        }
    }

    private fun submit(attempt: Attempt, engine: EmulatedEngine) {
        if (isEnded || current !== attempt) return
        if (engine.isDown) {
            run.notices.onFailedContact()
            return endAttempt(attempt, AttemptOutcome.NotSent("no connection"))
        }
        run.notices.onArrival(attempt.host, engine)
        val doneTokens = attempt.decodedTokens
        val onBroken = { run.queue.scheduleIn(run.workload.networkMs) { onBroken(attempt) } }
        val sequence =
            EmulatedSequence(promptTokens + doneTokens, outputTokens - doneTokens, onBroken) {
                run.queue.scheduleIn(run.workload.networkMs) { onEvent(attempt, isLast = it) }
            }
        attempt.engine = engine
        attempt.sequence = sequence
        val isRefused = nowMs < engine.backoffUntilMs
        if (isRefused) run.notices.tellBackoff(attempt.host, engine)
        if (isRefused || !engine.submit(sequence)) {
            endAttempt(attempt, AttemptOutcome.Declined(DeclineReason.FULL))
        }
    }

    private fun onBroken(attempt: Attempt) {
        if (isEnded || current !== attempt) return
        attempt.decodedTokens += attempt.sequence?.decodedTokens ?: 0
        val isAnswerBegun = attempt.eventCount > 0
        val broken = AttemptOutcome.Broken("crashed", isConnectionLost = true, isAnswerBegun)
        endAttempt(attempt, broken)
    }

    private fun endAttempt(attempt: Attempt, outcome: AttemptOutcome) = run.send(
        attempt.host,
        ForwardingInput.AttemptEnded(attempt.call.id, attempt.number, outcome)
    )

    private fun onEvent(attempt: Attempt, isLast: Boolean) {
        if (isEnded || current !== attempt) return
        if (attempt.eventCount++ == 0) {
            attempt.engine?.let { run.notices.tellLeaving(attempt.host, it) }
            attempt.engine?.let { run.notices.tellLoad(attempt.host, it) }
            val started = ForwardingInput.ResponseStarted(attempt.call.id, attempt.number)
            run.send(attempt.host, started)
        }
        if (firstEventMs < 0) {
            firstEventMs = nowMs - arrivedAtMs
        } else {
            longestGapMs = maxOf(longestGapMs, nowMs - lastProgressMs)
        }
        attempt.shortestGaps.onEvent(nowMs)
        lastProgressMs = nowMs
        if (isLast) onCompleted(attempt)
    }

    private fun onCompleted(attempt: Attempt) {
        run.send(
            attempt.host,
            ForwardingInput.AttemptEnded(
                attempt.call.id,
                attempt.number,
                AttemptOutcome.Answered(isSuccess = true),
                attempt.shortestGaps.gapCount,
                attempt.shortestGaps.durationMs
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
        if (retriesLeft == 0 || retryAfterMs == null || leftMs <= 0) return end(RequestEnd.REFUSED)
        retriesLeft--
        lastProgressMs = nowMs + retryAfterMs
        run.queue.scheduleIn(minOf(retryAfterMs, leftMs / RETRY_WAIT_DIVISOR)) { sendAttempt() }
    }

    /** Abandons the request after a stall timeout without progress, else checks again later. */
    private fun checkStalled() {
        val stallTimeoutMs =
            maxOf(
                MIN_STALL_TIMEOUT_MS,
                STALL_OBJECTIVES * kind.objectiveMs,
                STALL_GAPS * kind.gapTargetMs
            )
        val dueMs = maxOf(nowMs, lastProgressMs + stallTimeoutMs)
        if (dueMs <= nowMs) return abandon()
        run.queue.schedule(dueMs) { if (!isEnded) checkStalled() }
    }

    private fun abandon() {
        if (isEnded) return
        end(RequestEnd.FAILED)
    }

    private fun end(end: RequestEnd) {
        if (isEnded) return
        isEnded = true
        current?.let { attempt ->
            attempt.sequence?.let { attempt.engine?.cancel(it) }
            run.close(attempt.host, attempt.call)
        }
        val earned = when (end) {
            RequestEnd.ON_TIME -> worth
            RequestEnd.LATE_FIRST_EVENT, RequestEnd.LATE_GAP -> worth * kind.lateWorth / kind.worth
            RequestEnd.REFUSED, RequestEnd.FAILED -> 0.0
        }
        val size = weightedTokens(promptTokens, outputTokens)
        run.onEnded(EndedRequest(kind, size, arrivedAtMs, end, worth, earned))
    }

    private fun meanWeightedTokens(): Double = weightedTokens(
        kind.inputTokens.mean.toInt(),
        kind.outputEvents.mean.toInt() * run.workload.engines.tokensPerEvent
    )

    private fun weightedTokens(input: Int, output: Int): Double = input + OUTPUT_WEIGHT * output

    private companion object {
        const val MIN_SIZE_FACTOR = 0.3
        const val MAX_SIZE_FACTOR = 4.0
        const val OUTPUT_WEIGHT = 10.0

        /** A caller waits at most this fraction (1/3) of its time left before a retry. */
        const val RETRY_WAIT_DIVISOR = 3

        /**
         * A caller abandons a stream after the longest of these without an event: the minimum, four
         * first-event objectives, eight gap targets.
         */
        const val MIN_STALL_TIMEOUT_MS = 2_000L
        const val STALL_OBJECTIVES = 4
        const val STALL_GAPS = 8
    }
}

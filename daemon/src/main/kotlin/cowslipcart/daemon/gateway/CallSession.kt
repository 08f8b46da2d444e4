package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.RefusalReason
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.ByteSource
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** What a session needs of its process. */
internal class SessionContext(
    val loop: ForwardingLoop,
    val exchange: EndpointExchange,
    val journal: DecisionJournal,
    val metrics: GatewayMetrics,
    val clock: RuntimeClock
)

/** Carries out what control decides for one request, and answers its caller. */
internal class CallSession(
    private val context: SessionContext,
    private val call: ForwardedCall,
    private val request: ReceivedRequest,
    private val answer: CallerAnswer
) {
    private val commands = context.loop.commandsFor(call.id)
    private val relay = StreamRelay(answer, context.clock)
    private var held: HeldAnswer? = null
    private var attemptRuns = false
    private var end = "answered"

    /** Serves the request; [caller] is watched, so that a caller that leaves stops the work. */
    suspend fun serve(caller: ByteSource) {
        context.loop.submit(ForwardingInput.Arrived(call))
        try {
            val leftMs = call.givenUpAtMs - context.clock.nowMs()
            withTimeoutOrNull(leftMs) { whileCallerStays(caller) { followCommands() } }
                ?: onTimeout()
        } catch (e: CallerLeftException) {
            end = "caller-left"
            throw e
        } finally {
            context.loop.forget(call.id)
            context.loop.submit(ForwardingInput.CallClosed(call.id))
            val tookMs = context.clock.nowMs() - call.arrivedAtMs
            context.journal.answered(call, answer.status, end, tookMs)
        }
    }

    private suspend fun whileCallerStays(caller: ByteSource, block: suspend () -> Unit) =
        coroutineScope {
            val watch = launch {
                if (caller.awaitClose()) throw CallerLeftException()
            }
            block()
            watch.cancel()
        }

    private suspend fun followCommands() {
        while (true) {
            when (val command = commands.receive()) {
                is CallCommand.Dispatch -> if (attempt(command)) return
                is CallCommand.Refuse -> return refuse(command)
                is CallCommand.GiveUp -> return giveUp()
            }
        }
    }

    /** Runs one attempt; returns whether the caller has its answer. */
    private suspend fun attempt(command: CallCommand.Dispatch): Boolean {
        val startMs = context.clock.nowMs()
        attemptRuns = true
        val result = context.exchange.run(call, request, command, relay) {
            context.loop.submit(ForwardingInput.Answering(call.id))
        }
        attemptRuns = false
        held = result.held
        val outcome = result.outcome
        val isDone = outcome is AttemptOutcome.Answered && outcome.isSuccess
        if (isDone) result.held?.let { answer.writeWhole(it.head, it.body) }
        report(outcome, command.endpoint.id.value, startMs)
        return isDone
    }

    private fun report(outcome: AttemptOutcome, endpoint: String, startMs: Long) {
        val text = describe(outcome)
        context.metrics.attempts.labelValues(text.substringBefore(':')).inc()
        val firstEventMs = (relay.firstEventAtMs - call.arrivedAtMs).takeIf { relay.isStarted }
        val tookMs = context.clock.nowMs() - startMs
        context.journal.attemptEnded(
            call,
            endpoint,
            text,
            tookMs,
            firstEventMs,
            relay.eventCount
        )
        context.loop.submit(
            ForwardingInput.AttemptEnded(
                call.id,
                outcome,
                streamedEvents = relay.quickestPause.pauses,
                streamedMs = relay.quickestPause.durationMs
            )
        )
    }

    private fun describe(outcome: AttemptOutcome): String = when (outcome) {
        is AttemptOutcome.Answered -> if (outcome.isSuccess) "success" else "failure"
        is AttemptOutcome.Declined -> "declined: ${outcome.reason}"
        is AttemptOutcome.NotSent -> "not-sent: ${outcome.reason}"
        is AttemptOutcome.Broken -> "broken: ${outcome.reason}"
    }

    private suspend fun refuse(command: CallCommand.Refuse) {
        end = command.reason.text
        val status = when (command.reason) {
            RefusalReason.OVER_QUOTA -> TOO_MANY_REQUESTS
            else -> UNAVAILABLE
        }
        val headers = listOfNotNull(command.retryAfterMs?.let { retryAfterHeader(it) })
        answer.writeOwn(status, headers)
    }

    /** The request may have run: the endpoint's own failure if there is one, else no promise. */
    private suspend fun giveUp() {
        val failure = held
        when {
            relay.isStarted -> end = "broken-off"

            failure != null -> {
                end = "endpoint-failure"
                answer.writeWhole(failure.head, failure.body)
            }

            else -> {
                end = "may-have-run"
                answer.writeOwn(BAD_GATEWAY)
            }
        }
    }

    private suspend fun onTimeout() {
        end = "timeout"
        if (answer.isStarted) return
        val failure = held
        when {
            attemptRuns -> answer.writeOwn(GATEWAY_TIMEOUT)
            failure != null -> answer.writeWhole(failure.head, failure.body)
            else -> answer.writeOwn(GATEWAY_TIMEOUT)
        }
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.LeavingEndpoint
import cowslipcart.core.forwarding.RefusalReason
import cowslipcart.core.forwarding.StatedLoad
import cowslipcart.core.intake.IntakeLimits
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.ByteInput
import cowslipcart.daemon.http1.ByteSink
import io.ktor.network.sockets.Socket
import java.io.IOException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/** The time for shutting down is used up. */
private class ShutdownEndedException : IOException("shutdown ended")

/**
 * Components of the gateway that every session uses.
 *
 * @property shutdownEnd completes shortly before the process ends; requests in flight end then
 * @property intake what callers may make this host hold
 * @property openInput opens the bytes that a caller sends; calls its second argument on the thread
 * that reads as soon as it finds the end of the connection
 */
internal class SessionContext(
    val loop: ForwardingLoop,
    val exchange: EndpointExchange,
    val eventLog: GatewayEventLog,
    val metrics: GatewayMetrics,
    val clock: RuntimeClock,
    val probe: ReadProbe,
    val shutdownEnd: Job = Job(),
    val intake: CallerIntake =
        CallerIntake(IntakeLimits.of(Runtime.getRuntime().maxMemory()), clock, metrics, eventLog),
    val openInput: (Socket, () -> Unit) -> ByteInput,
    val openSink: (Socket) -> ByteSink
)

/** Executes the commands of the control thread for one request, and responds to its caller. */
internal class CallSession(
    private val context: SessionContext,
    private val call: ForwardedCall,
    private val request: BufferedRequest,
    private val response: CallerResponse
) {
    private val commands = context.loop.register(call.id)
    private val relay = StreamRelay(response, context.clock)
    private val buffers = context.exchange.openBuffers()
    private var lastResponse: BufferedResponse? = null

    /** Complete response of an endpoint that the caller gets. */
    private var answer: BufferedResponse? = null

    /** The attempts in flight, oldest first. */
    private val running = mutableListOf<RunningAttempt>()
    private var decisionCount = 0
    private var end = "answered"

    /**
     * Serves the request until it is answered or its time is up. Reads from [caller] meanwhile, so
     * that a disconnect cancels the request; throws [CallerDisconnectedException] then.
     */
    @Suppress("TooGenericExceptionCaught")
    suspend fun serve(caller: CallerMonitor) {
        try {
            if (caller.isClosed) throw CallerDisconnectedException()
            context.loop.submit(ForwardingInput.Arrived(call))
            val remainingMs = call.deadlineAtMs - context.clock.nowMs()
            val isInTime = withTimeoutOrNull(remainingMs) {
                cancelOnDisconnectOrShutdown(caller) { followCommands(caller) }
                true
            } ?: false
            val answer = answer
            when {
                answer != null -> deliver(answer, caller)
                !isInTime -> onTimeout()
            }
        } catch (e: CallerDisconnectedException) {
            end = "caller-left"
            throw e
        } catch (_: ShutdownEndedException) {
            onShutdownEnd()
        } catch (e: RuntimeException) {
            currentCoroutineContext().ensureActive()
            onException(e)
        } catch (e: StackOverflowError) {
            onException(e)
        } finally {
            buffers.release()
            context.loop.unregister(call.id)
            context.loop.submit(ForwardingInput.CallClosed(call.id))
            val nowMs = context.clock.nowMs()
            val tookMs = nowMs - call.arrivedAtMs
            val goneMs = caller.closedAtMs?.let { nowMs - it }
            context.eventLog.requestEnded(call, response.status, end, tookMs, decisionCount, goneMs)
        }
    }

    /** Ends a request that a fault of this program has interrupted; it may have run. */
    private suspend fun onException(exception: Throwable) {
        end = "exception"
        context.eventLog.event(
            "request-failed",
            "request" to call.requestId.value,
            "reason" to "$exception",
            "at" to "${exception.stackTrace.firstOrNull()}"
        )
        if (!response.isStarted) response.writeLocalReply(BAD_GATEWAY)
    }

    /** Runs [block] until the caller disconnects or the shutdown ends. */
    private suspend fun cancelOnDisconnectOrShutdown(
        caller: CallerMonitor,
        block: suspend () -> Unit
    ) = coroutineScope {
        val monitor = launch {
            launch {
                context.shutdownEnd.join()
                throw ShutdownEndedException()
            }
            caller.awaitClose()
            throw CallerDisconnectedException()
        }
        block()
        monitor.cancel()
    }

    /** Writes a response that is complete, also if the caller takes it later than the deadline. */
    private suspend fun deliver(answer: BufferedResponse, caller: CallerMonitor) =
        cancelOnDisconnectOrShutdown(caller) {
            response.writeComplete(answer.head, answer.takeBody())
        }

    /** Carries out commands until the response is certain; stops all attempts then. */
    private suspend fun followCommands(caller: CallerMonitor): Unit = coroutineScope {
        do {
            val isOver = select {
                for (attempt in running.toList()) {
                    attempt.result.onAwait { onAttemptEnded(attempt, it) }
                }
                commands.onReceive { onCommand(it, caller) }
            }
        } while (!isOver)
        coroutineContext.cancelChildren()
    }

    /** Carries out [command]; returns whether the response is certain. */
    private suspend fun CoroutineScope.onCommand(
        command: CallCommand,
        caller: CallerMonitor
    ): Boolean {
        decisionCount++
        when (command) {
            is CallCommand.Dispatch -> startAttempt(RunningAttempt(command), caller)

            is CallCommand.Hedge -> {
                context.metrics.hedges.labelValues("sent").inc()
                startAttempt(RunningAttempt(command), caller)
            }

            is CallCommand.TakeOver ->
                startAttempt(RunningAttempt(command, takeOver(running.lastOrNull())), caller)

            is CallCommand.Refuse -> refuse(command)

            is CallCommand.GiveUp -> giveUp()
        }
        return command !is CallCommand.Send
    }

    private fun CoroutineScope.startAttempt(attempt: RunningAttempt, caller: CallerMonitor) {
        running += attempt
        attempt.result = async(start = CoroutineStart.UNDISPATCHED) {
            context.exchange.run(call, request, attempt.command, relay, caller, attempt, buffers)
        }
    }

    /** Returns the takeover from [silent], or null if that has ended meanwhile. */
    private fun takeOver(silent: RunningAttempt?): Takeover? = silent?.let {
        Takeover(it.replaced) {
            val outcome = it.result.await().outcome
            outcome is AttemptOutcome.Answered && outcome.isSuccess
        }
    }

    /** Takes the response of [attempt]; returns whether the caller gets it. */
    private fun onAttemptEnded(attempt: RunningAttempt, result: ExchangeResult): Boolean {
        running -= attempt
        lastResponse = result.response
        val outcome = result.outcome
        val isDone = outcome is AttemptOutcome.Answered && outcome.isSuccess
        if (isDone) answer = result.response
        if (isDone && attempt.command is CallCommand.Hedge) {
            context.metrics.hedges.labelValues("won").inc()
        }
        report(outcome, attempt)
        return isDone
    }

    private inner class RunningAttempt(
        val command: CallCommand.Send,
        val takeover: Takeover? = null
    ) : AttemptListener {
        val startMs = context.clock.nowMs()
        lateinit var result: Deferred<ExchangeResult>
        private var isStallLogged = false

        /** What the endpoint stated of its load in its last answer. */
        var statedLoad: StatedLoad? = null
            private set

        override val replaced = Job()

        override suspend fun onAccepted() {
            takeover?.complete()
        }

        override fun onResponseStarted() =
            context.loop.submit(ForwardingInput.ResponseStarted(call.id, command.attempt))

        override fun onConnected() = context.loop.submit(
            ForwardingInput.ConnectionTried(command.endpoint.id, isConnected = true)
        )

        override fun onLeaving() {
            val endpoint = command.endpoint
            val leaving = LeavingEndpoint(endpoint.id, endpoint.startedAtMs)
            context.loop.submit(ForwardingInput.EndpointLeaving(leaving))
        }

        override fun onBackoff(request: BackoffRequest) {
            val endpoint = command.endpoint.id
            when (request) {
                BackoffRequest.None -> Unit

                is BackoffRequest.For -> context.loop.submit(
                    ForwardingInput.BackoffRequested(endpoint, request.durationMs)
                )

                is BackoffRequest.Unreadable ->
                    context.eventLog.unreadableBackoff(call, endpoint.value, request.text)
            }
        }

        override fun onLoadStated(statement: LoadStatement) {
            val endpoint = command.endpoint.id
            when (statement) {
                LoadStatement.None -> Unit

                is LoadStatement.Of -> {
                    statedLoad = statement.load
                    context.metrics.observeStatedQueue(statement.load.waiting)
                    context.loop.submit(ForwardingInput.LoadStated(endpoint, statement.load))
                }

                is LoadStatement.Unreadable ->
                    context.eventLog.unreadableLoad(call, endpoint.value, statement.text)
            }
        }

        override fun onDeclineLimit(limitPerS: Int) = context.loop.submit(
            ForwardingInput.DeclineLimitStated(command.endpoint.id, limitPerS)
        )

        override fun onStalled() {
            context.loop.submit(ForwardingInput.AttemptStalled(call.id, command.attempt))
            if (isStallLogged) return
            isStallLogged = true
            val endpoint = command.endpoint.id.value
            context.eventLog.attemptStalled(call, endpoint, relay.eventCount)
        }
    }

    private fun report(outcome: AttemptOutcome, attempt: RunningAttempt) {
        val command = attempt.command
        val description = describe(outcome)
        context.metrics.attempts.labelValues(description.substringBefore(':')).inc()
        val firstEventMs = (relay.firstEventAtMs - call.arrivedAtMs).takeIf { relay.isStarted }
        val tookMs = context.clock.nowMs() - attempt.startMs
        context.eventLog.attemptEnded(
            call,
            command.endpoint.id.value,
            description,
            tookMs,
            firstEventMs,
            relay.eventCount,
            attempt.statedLoad
        )
        context.loop.submit(
            ForwardingInput.AttemptEnded(
                call.id,
                command.attempt,
                outcome,
                gapCount = relay.shortestGaps.gapCount,
                gapDurationMs = relay.shortestGaps.durationMs
            )
        )
    }

    private fun describe(outcome: AttemptOutcome): String = when (outcome) {
        is AttemptOutcome.Answered -> if (outcome.isSuccess) "success" else "failure"
        is AttemptOutcome.Declined -> "declined: ${outcome.reason}"
        is AttemptOutcome.NotSent -> "not-sent: ${outcome.reason}"
        is AttemptOutcome.Withheld -> "withheld"
        is AttemptOutcome.Broken -> "broken: ${outcome.reason}"
        is AttemptOutcome.Replaced -> "broken: ${outcome.reason}"
    }

    private suspend fun refuse(command: CallCommand.Refuse) {
        end = command.reason.text
        val status = when (command.reason) {
            RefusalReason.OVER_QUOTA -> TOO_MANY_REQUESTS
            else -> UNAVAILABLE
        }
        val headers = listOfNotNull(command.retryAfterMs?.let { retryAfterHeader(it) })
        response.writeLocalReply(status, headers)
    }

    /**
     * Ends a request that may have been executed: forwards the failure of the endpoint if there is
     * one, or else responds with a status that does not say whether it was executed. A stream that
     * has begun is cut off instead.
     */
    private suspend fun giveUp() {
        val failure = lastResponse
        when {
            relay.isStarted -> end = "broken-off"

            failure != null -> {
                end = "endpoint-failure"
                answer = failure
            }

            else -> {
                end = "may-have-run"
                response.writeLocalReply(BAD_GATEWAY)
            }
        }
    }

    /** Tells the caller that its request may have run, rather than closing its connection. */
    private suspend fun onShutdownEnd() {
        end = "shutdown"
        if (!response.isStarted) response.writeLocalReply(BAD_GATEWAY)
    }

    private suspend fun onTimeout() {
        end = "timeout"
        if (response.isStarted) return
        val failure = lastResponse
        when {
            running.isNotEmpty() -> response.writeLocalReply(GATEWAY_TIMEOUT)
            failure != null -> response.writeComplete(failure.head, failure.takeBody())
            else -> response.writeLocalReply(GATEWAY_TIMEOUT)
        }
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
    }
}

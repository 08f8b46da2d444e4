package cowslipcart.daemon.session

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.host.HostInput
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.origin.CallerRequest
import cowslipcart.core.origin.StreamEnd
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.endpoint.Exchange
import cowslipcart.daemon.endpoint.ExchangeStart
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch

/**
 * The part of a request that runs on traffic threads: carries out the controller's commands and
 * passes the answer to the caller's connection. A request with an idempotency key goes on after its
 * caller has disconnected.
 */
internal class RequestSession(
    val request: CallerRequest,
    private val exchange: Exchange,
    private val clock: RuntimeClock,
    private val submit: (HostInput) -> Unit,
    val timeline: RequestTimeline = RequestTimeline(clock),
    private val onEnd: (RequestId) -> Unit
) {
    private val commands = Channel<SessionCommand>(Channel.UNLIMITED)

    /** Parts of the answer for the caller's connection; closed when the session ends. */
    val output: Channel<CallerOutput> = Channel(OUTPUT_CAPACITY)

    /** Grant and shard of the running exchange, or null; for progress reports. */
    @Volatile
    var running: RunningExchange? = null
        private set

    /** Queues a command of the controller; never blocks. */
    fun enqueue(command: SessionCommand) {
        if (command is SessionCommand.Dispatch) timeline.end(RequestStage.DECIDE)
        commands.trySend(command)
    }

    /** Called when the caller has disconnected: its further output is dropped. */
    fun onCallerDisconnected() {
        output.cancel()
        submit(HostInput.CallerDisconnected(request.requestId))
    }

    /** Starts the session in [scope] and submits the request to the controller. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            try {
                timeline.end(RequestStage.PREPARE)
                submit(HostInput.RequestReceived(request))
                runCommands(this)
            } finally {
                output.close()
                onEnd(request.requestId)
            }
        }
    }

    private suspend fun runCommands(scope: CoroutineScope) {
        for (command in commands) {
            when (command) {
                is SessionCommand.Dispatch -> scope.launch { dispatch(command) }

                is SessionCommand.Reject -> {
                    write(CallerOutput.Problem(command.rejection))
                    return
                }

                is SessionCommand.Replay -> {
                    write(CallerOutput.Head(command.answer.status, command.answer.contentType))
                    write(CallerOutput.Body(command.answer.body.encodeToByteArray()))
                    return
                }

                SessionCommand.Interrupt -> exchange.interrupt()

                SessionCommand.Cancel -> exchange.cancel()
            }
        }
    }

    private suspend fun dispatch(command: SessionCommand.Dispatch) {
        val end = if (isOverdue(command)) refuseOverdue(command) else runExchange(command)
        submit(HostInput.StreamEnded(request.requestId, end))
        when (end) {
            is StreamEnd.Completed, is StreamEnd.CallerDisconnected -> commands.close()

            // The controller decides what follows: another dispatch or a rejection.
            is StreamEnd.ProvenNotRun, is StreamEnd.Broken, is StreamEnd.Interrupted -> Unit
        }
    }

    private suspend fun runExchange(command: SessionCommand.Dispatch): StreamEnd {
        val start = ExchangeStart(command.endpoint, command.grantId, command.isResume)
        timeline.end(RequestStage.HAND_OVER)
        running = RunningExchange(command.shard, command.grantId)
        return try {
            exchange.run(start, ::write)
        } finally {
            running = null
        }
    }

    /** Whether the process was paused after the decision; the endpoint may be leaving by now. */
    private fun isOverdue(command: SessionCommand.Dispatch): Boolean =
        !command.isResume && clock.nowMs() - command.decidedAtMs > MAX_DISPATCH_DELAY_MS

    private fun refuseOverdue(command: SessionCommand.Dispatch): StreamEnd {
        val report = GrantReport(command.grantId, GrantEnd.UNUSED, 0, 0, 0, null, 0)
        return StreamEnd.ProvenNotRun(report, "this host was paused before it sent the request")
    }

    /** Sends [part] to the caller, or drops it if the caller has disconnected. */
    private suspend fun write(part: CallerOutput) {
        timeline.end(RequestStage.ENDPOINT)
        try {
            output.send(part)
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
        }
    }

    /** Output tokens that the running exchange has received. */
    val receivedTokens: Int get() = exchange.receivedTokens

    private companion object {
        /** Bounds the memory for a slow caller: when full, the endpoint's stream is not read. */
        const val OUTPUT_CAPACITY = 64

        /**
         * A leaving endpoint must get no new work after 3 s. Up to 0.5 s pass until a load poll
         * reports that it leaves, a grant is valid for 1.5 s, and this delay is added to both.
         */
        const val MAX_DISPATCH_DELAY_MS = 500L
    }
}

/** Identifies the exchange of a session in progress reports. */
internal data class RunningExchange(val shard: ShardId, val grantId: GrantId)

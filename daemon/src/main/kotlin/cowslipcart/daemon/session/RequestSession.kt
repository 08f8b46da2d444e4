package cowslipcart.daemon.session

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.node.NodeInput
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
 * Traffic side of one request: performs what control decides and passes the answer to the caller's
 * connection. It goes on without a caller when the request has a key.
 */
internal class RequestSession(
    val request: CallerRequest,
    private val exchange: Exchange,
    private val clock: RuntimeClock,
    private val control: (NodeInput) -> Unit,
    val timeline: RequestTimeline = RequestTimeline(clock),
    private val onEnd: (RequestId) -> Unit
) {
    private val commands = Channel<SessionCommand>(Channel.UNLIMITED)

    /** Read by the connection of the caller; closed when the answer is complete. */
    val output: Channel<CallerOutput> = Channel(OUTPUT_CAPACITY)

    /** Grant and shard of the running exchange, for progress reports. */
    @Volatile
    var running: RunningExchange? = null
        private set

    fun command(command: SessionCommand) {
        if (command is SessionCommand.Dispatch) timeline.end(RequestStage.DECIDE)
        commands.trySend(command)
    }

    /** The caller closed its connection; nothing more is written to it. */
    fun callerGone() {
        output.cancel()
        control(NodeInput.CallerGone(request.requestId))
    }

    /** Starts the session in [scope] and submits the request to control. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            try {
                timeline.end(RequestStage.PREPARE)
                control(NodeInput.Start(request))
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
                is SessionCommand.Dispatch -> scope.launch { runExchange(command) }

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

    private suspend fun runExchange(command: SessionCommand.Dispatch) {
        val end = if (isOverdue(command)) overdue(command) else exchange(command)
        control(NodeInput.StreamEnded(request.requestId, end))
        when (end) {
            is StreamEnd.Completed, is StreamEnd.CallerGone -> commands.close()

            // Control decides what follows: another dispatch or a rejection.
            is StreamEnd.ProvenNotRun, is StreamEnd.Broken, is StreamEnd.Interrupted -> Unit
        }
    }

    private suspend fun exchange(command: SessionCommand.Dispatch): StreamEnd {
        val start = ExchangeStart(command.endpoint, command.grantId, command.isResume)
        timeline.end(RequestStage.HAND_OVER)
        running = RunningExchange(command.shard, command.grantId)
        return try {
            exchange.run(start, ::write)
        } finally {
            running = null
        }
    }

    /** Whether the process was paused after the decision, so that the endpoint may have left. */
    private fun isOverdue(command: SessionCommand.Dispatch): Boolean =
        !command.isResume && clock.nowMs() - command.decidedAtMs > MAX_DISPATCH_DELAY_MS

    private fun overdue(command: SessionCommand.Dispatch): StreamEnd {
        val report = GrantReport(command.grantId, GrantEnd.UNUSED, 0, 0, 0, null, 0)
        return StreamEnd.ProvenNotRun(report, "this host was paused before it sent the request")
    }

    /** Output to a caller that left is dropped. */
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
        /** Bounds the memory of a slow caller; the endpoint's stream waits meanwhile. */
        const val OUTPUT_CAPACITY = 64

        /**
         * Together with the 1.5 s of a grant and the 0.5 s between two load polls it keeps new work
         * away from a leaving endpoint within the bound of 3 s.
         */
        const val MAX_DISPATCH_DELAY_MS = 500L
    }
}

/** Identifies the exchange of a session in progress reports. */
internal data class RunningExchange(val shard: ShardId, val grantId: GrantId)

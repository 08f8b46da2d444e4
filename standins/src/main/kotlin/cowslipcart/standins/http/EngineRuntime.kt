package cowslipcart.standins.http

import arrow.core.Either
import arrow.core.left
import cowslipcart.core.model.RequestId
import cowslipcart.standins.engine.CancelledStream
import cowslipcart.standins.engine.ChatPrompt
import cowslipcart.standins.engine.EngineError
import cowslipcart.standins.engine.EngineEvent
import cowslipcart.standins.engine.EngineJournal
import cowslipcart.standins.engine.EngineModel
import cowslipcart.standins.engine.EngineRequest
import cowslipcart.standins.engine.JournalOutcome
import java.io.IOException
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield

/** Token counts of a stream as its last chunk reports them. */
internal data class StreamUsage(
    val promptTokens: Int,
    val cachedTokens: Int,
    val completionTokens: Int
)

/** Item of a stream's output, for the connection to write. */
internal sealed interface StreamItem {
    data class Token(val sequence: Int) : StreamItem

    data class Finished(val usage: StreamUsage) : StreamItem

    /** The stream was cancelled and may be resumed on another connection. */
    data object Cancelled : StreamItem
}

/**
 * Output of one run of a stream; [items] ends after the last item, or fails if the engine crashes.
 */
internal class StreamOutput(val id: RequestId, val prompt: ChatPrompt) {
    val channel = Channel<StreamItem>(Channel.UNLIMITED)
    val items: ReceiveChannel<StreamItem> get() = channel
}

/** Clocks of a stand-in in milliseconds; the wall clock counts from 1970. */
internal class StandinClock(val monotonicMs: () -> Long, val wallMs: () -> Long) {
    companion object {
        /** Returns a clock whose monotonic time starts at 0 now. */
        fun start(wallMs: () -> Long): StandinClock {
            val start = TimeSource.Monotonic.markNow()
            return StandinClock({ start.elapsedNow().inWholeMilliseconds }, wallMs)
        }
    }
}

/**
 * Runs an [EngineModel] in real time and sends its events to the output of each stream.
 *
 * @param poisonMarker word that makes a prompt crash the engine
 * @param onCrash called on the thread that owns the state when the engine crashes
 */
internal class EngineRuntime(
    model: EngineModel,
    private val poisonMarker: String,
    private val clock: StandinClock,
    private val onCrash: () -> Unit
) : AutoCloseable {
    private class State(val model: EngineModel) {
        val journal = EngineJournal()
        val outputs = HashMap<RequestId, StreamOutput>()

        /** Prompts of cancelled streams, for their resume; the oldest are dropped. */
        val cancelledPrompts = object : LinkedHashMap<RequestId, ChatPrompt>() {
            override fun removeEldestEntry(eldest: Map.Entry<RequestId, ChatPrompt>) =
                size > MAX_CANCELLED_PROMPTS
        }
    }

    private val state = Confined(State(model))
    private val scope = CoroutineScope(SupervisorJob() + state.dispatcher)

    /** Signals the event loop that the time of the next event may have changed. */
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)

    init {
        scope.launch { runEventLoop() }
    }

    /** Starts a request of [outputTokens] tokens. */
    suspend fun start(
        id: RequestId,
        prompt: ChatPrompt,
        outputTokens: Int
    ): Either<EngineError, StreamOutput> = withState { state, nowMs ->
        val request = EngineRequest(
            id,
            prompt.words.size,
            outputTokens,
            prompt.prefixBlocks,
            isPoison = poisonMarker in prompt.words
        )
        state.model.submit(request, nowMs)
            .onRight { state.journal.recordStart(id, clock.wallMs()) }
            .onLeft { state.journal.recordRefusal(id, clock.wallMs()) }
            .map { state.openOutput(id, prompt) }
    }

    /** Continues a cancelled stream from output token [fromSequence] on. */
    suspend fun resume(id: RequestId, fromSequence: Int): Either<EngineError, StreamOutput> =
        withState { state, nowMs ->
            val prompt =
                state.cancelledPrompts[id] ?: return@withState EngineError.NotResumable(id).left()
            state.model.resume(id, fromSequence, nowMs).map {
                state.journal.recordOutcome(id, JournalOutcome.RUNNING, clock.wallMs())
                state.openOutput(id, prompt)
            }
        }

    /** Cancels a stream; its connection gets [StreamItem.Cancelled]. */
    suspend fun cancel(id: RequestId): Either<EngineError, CancelledStream> =
        withState { state, nowMs -> state.cancelStream(id, nowMs) }

    /** Cancels the stream of [output] unless it has ended or has a newer output. */
    suspend fun closeOutput(output: StreamOutput) {
        withState { state, nowMs ->
            if (state.outputs[output.id] === output) state.cancelStream(output.id, nowMs)
        }
    }

    /** Reads or changes the model at the present time. */
    suspend fun <R> withModel(block: (model: EngineModel, nowMs: Long) -> R): R =
        withState { state, nowMs -> block(state.model, nowMs) }

    /** Crashes the engine. */
    suspend fun crash() = withState { state, nowMs ->
        state.model.crash(nowMs)?.let { state.dispatch(it) }
    }

    suspend fun journal() = state.use { it.journal.entries }

    override fun close() {
        scope.cancel()
        state.close()
    }

    /** Advances the model to the present time, runs [block] and wakes the event loop. */
    private suspend fun <R> withState(block: (State, Long) -> R): R {
        val result = state.use { state ->
            val nowMs = clock.monotonicMs()
            state.advance(nowMs)
            block(state, nowMs)
        }
        wakeUp.trySend(Unit)
        return result
    }

    /** Advances the model at each of its events and sleeps between them. */
    private suspend fun runEventLoop() {
        while (true) {
            val nextMs = state.use { state ->
                state.advance(clock.monotonicMs())
                state.model.nextEventMs
            }
            val waitMs = nextMs?.let { it - clock.monotonicMs() }
            when {
                waitMs == null -> wakeUp.receive()
                waitMs > 0 -> withTimeoutOrNull(waitMs) { wakeUp.receive() }
                else -> yield()
            }
        }
    }

    private fun State.openOutput(id: RequestId, prompt: ChatPrompt): StreamOutput {
        cancelledPrompts.remove(id)
        return StreamOutput(id, prompt).also { outputs[id] = it }
    }

    private fun State.cancelStream(
        id: RequestId,
        nowMs: Long
    ): Either<EngineError, CancelledStream> = model.cancel(id, nowMs).onRight {
        journal.recordOutcome(id, JournalOutcome.CANCELLED, clock.wallMs())
        val output = outputs.remove(id) ?: return@onRight
        cancelledPrompts[id] = output.prompt
        output.channel.trySend(StreamItem.Cancelled)
        output.channel.close()
    }

    private fun State.advance(nowMs: Long) = model.advance(nowMs).forEach { dispatch(it) }

    private fun State.dispatch(event: EngineEvent) {
        when (event) {
            is EngineEvent.Token ->
                outputs[event.requestId]?.channel?.trySend(StreamItem.Token(event.sequence))

            is EngineEvent.Finished -> finish(event)

            is EngineEvent.Crashed -> {
                event.lost.forEach {
                    journal.recordOutcome(it, JournalOutcome.CRASHED, clock.wallMs())
                }
                outputs.values.forEach { it.channel.close(IOException("engine crashed")) }
                outputs.clear()
                cancelledPrompts.clear()
                onCrash()
            }

            is EngineEvent.OrderApplied -> Unit
        }
    }

    private fun State.finish(event: EngineEvent.Finished) {
        journal.recordOutcome(event.requestId, JournalOutcome.FINISHED, clock.wallMs())
        val output = outputs.remove(event.requestId) ?: return
        val usage = StreamUsage(event.prefillTokens, event.cachedTokens, event.outputTokens)
        output.channel.trySend(StreamItem.Finished(usage))
        output.channel.close()
    }

    private companion object {
        const val MAX_CANCELLED_PROMPTS = 10_000
    }
}

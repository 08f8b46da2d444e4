package cowslipcart.standins.http

import cowslipcart.core.model.RequestId
import cowslipcart.standins.engine.EngineError
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

internal const val REQUEST_ID_HEADER: String = "X-Request-Id"

/**
 * Routes of the simulated engine.
 *
 * @param journalFile copy of the journal that survives a crash; null for none
 * @param admissionDelayMs delay between receiving a request and submitting it to the engine
 */
internal fun Route.engineRoutes(
    runtime: EngineRuntime,
    clock: StandinClock,
    journalFile: JournalFile?,
    admissionDelayMs: Long = 0
) {
    val chat = ChatHandler(runtime, clock, journalFile, admissionDelayMs)
    post("/v1/chat/completions") { chat.start(call) }
    route("/streams/{id}") {
        post("/cancel") {
            runtime.cancel(call.pathId()).fold(
                { call.respondEngineError(it) },
                { call.respondJson(it.toJson()) }
            )
        }
        post("/resume") { chat.resume(call) }
    }
    get("/load") {
        call.respondJson(runtime.withModel { model, nowMs -> model.load(nowMs) }.toJson())
    }
    get("/cache-events") {
        val from = call.request.queryParameters["from"]?.toLongOrNull() ?: 0
        val page = runtime.withModel { model, nowMs -> model.cacheEvents(from, nowMs) }
        call.respondJson(page.toJson())
    }
    post("/orders") { call.handleOrder(runtime) }
    get("/orders") { call.respondJson(runtime.withModel { model, _ -> model.deployment }.toJson()) }
    post("/control") { call.handleControl(runtime) }
    get("/journal") { call.respondJson(runtime.journal().map { it.toJson() }) }
}

/** Runs chat requests and writes their streams. */
private class ChatHandler(
    private val runtime: EngineRuntime,
    private val clock: StandinClock,
    private val journalFile: JournalFile?,
    private val admissionDelayMs: Long
) {
    private val generatedIdCount = AtomicLong()

    suspend fun start(call: RoutingCall) {
        val request = call.receiveJson<ChatRequestJson>() ?: return
        if (request.maxTokens !in 1..MAX_OUTPUT_TOKENS) {
            return call.respondError(
                HttpStatusCode.BadRequest,
                "max_tokens: expected 1 to $MAX_OUTPUT_TOKENS, got ${request.maxTokens}"
            )
        }
        val id = RequestId(
            call.request.headers[REQUEST_ID_HEADER]
                ?: "engine-${generatedIdCount.incrementAndGet()}"
        )
        val entry = JournalJson(id.value, clock.wallMs(), outcome = "received")
        journalFile?.append(standinJson.encodeToString(entry))
        delay(admissionDelayMs)
        runtime.start(id, request.toPrompt(), request.maxTokens).fold(
            { call.respondEngineError(it) },
            { output -> writeAnswer(call, output, request.stream) }
        )
    }

    suspend fun resume(call: RoutingCall) {
        val from = call.request.queryParameters["from"]?.toIntOrNull() ?: 0
        runtime.resume(call.pathId(), from).fold(
            { call.respondEngineError(it) },
            { output -> writeAnswer(call, output, isStream = true) }
        )
    }

    /** Writes the answer; if the connection is lost meanwhile, the stream is cancelled. */
    private suspend fun writeAnswer(call: RoutingCall, output: StreamOutput, isStream: Boolean) {
        try {
            call.response.header(REQUEST_ID_HEADER, output.id.value)
            if (isStream) writeStream(call, output) else writeWhole(call, output)
        } finally {
            withContext(NonCancellable) { runtime.closeOutput(output) }
        }
    }

    private suspend fun writeStream(call: RoutingCall, output: StreamOutput) {
        val builder = ChunkBuilder(output.id, output.prompt, clock.wallMs() / MS_PER_S)
        call.respondBytesWriter(ContentType.Text.EventStream) {
            for (item in output.items) {
                builder.build(item)?.let { writeEvent(standinJson.encodeToString(it)) }
                if (item is StreamItem.Finished) writeEvent("[DONE]")
            }
        }
    }

    private suspend fun writeWhole(call: RoutingCall, output: StreamOutput) {
        val text = StringBuilder()
        for (item in output.items) {
            when (item) {
                is StreamItem.Token -> text.append(output.prompt.answerToken(item.sequence))

                is StreamItem.Finished -> return call.respondJson(
                    AnswerJson(
                        id = output.id.value,
                        created = clock.wallMs() / MS_PER_S,
                        choices = listOf(
                            AnswerChoiceJson(
                                message = MessageJson("assistant", text.toString()),
                                finishReason = "stop"
                            )
                        ),
                        usage = item.usage.toJson()
                    )
                )

                StreamItem.Cancelled ->
                    return call.respondError(HttpStatusCode.Conflict, "cancelled")
            }
        }
    }

    private suspend fun ByteWriteChannel.writeEvent(data: String) {
        writeStringUtf8("data: $data\n\n")
        flush()
    }

    private companion object {
        const val MS_PER_S = 1_000
        const val MAX_OUTPUT_TOKENS = 1_000_000
    }
}

private fun RoutingCall.pathId() = RequestId(requireNotNull(parameters["id"]))

internal suspend fun RoutingCall.respondEngineError(error: EngineError) = when (error) {
    EngineError.Down -> respondError(HttpStatusCode.ServiceUnavailable, "engine is down")

    is EngineError.AlreadyRunning ->
        respondError(HttpStatusCode.Conflict, "stream ${error.id} is running")

    is EngineError.NotRunning ->
        respondError(HttpStatusCode.NotFound, "stream ${error.id} is not running")

    is EngineError.NotResumable ->
        respondError(HttpStatusCode.NotFound, "stream ${error.id} cannot be resumed")

    is EngineError.SequenceAhead -> respondError(
        HttpStatusCode.Conflict,
        "from: expected at most ${error.expectedAtMost}, got ${error.actual}"
    )

    is EngineError.StaleFencing -> respondError(
        HttpStatusCode.Conflict,
        "fencing: expected at least ${error.expectedAtLeast}, got ${error.actual}"
    )
}

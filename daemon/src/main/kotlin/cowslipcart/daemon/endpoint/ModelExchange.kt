package cowslipcart.daemon.endpoint

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.StreamEnd
import cowslipcart.daemon.session.AnswerRecorder
import cowslipcart.daemon.session.CallerOutput
import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLine
import java.io.IOException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException

/**
 * Exchange with a model engine. The engine streams server-sent events with sequence numbers; a gap
 * or a repetition fails the exchange, since the answer would miss or repeat tokens.
 */
internal class ModelExchange(
    private val context: EndpointContext,
    private val requestId: RequestId,
    private val requestBody: String,
    private val answerWriter: AnswerWriter,
    private val recorder: AnswerRecorder?,
    private val promptTokens: Int
) : Exchange {
    private enum class StopReason { NONE, INTERRUPT, CANCEL }

    private val client: HttpClient get() = context.client

    @Volatile
    private var stopReason = StopReason.NONE

    @Volatile
    private var endpoint: EndpointSpec? = null

    /**
     * Whether the stopped stream can be resumed. Completed by the reply of the engine, which may
     * come after the end of the stream.
     */
    @Volatile
    private var canResume = CompletableDeferred<Boolean>()

    @Volatile
    override var receivedTokens: Int = 0
        private set

    private var nextSequence = 0L
    private var usage: ModelChunk.Usage? = null

    @Suppress("TooGenericExceptionCaught")
    override suspend fun run(
        start: ExchangeStart,
        write: suspend (CallerOutput) -> Unit
    ): StreamEnd {
        endpoint = start.endpoint
        stopReason = StopReason.NONE
        canResume = CompletableDeferred()
        val timer = ExchangeTimer(context.clock, start.grantId)
        return try {
            prepareRequest(start).execute { response ->
                readResponse(start, response, timer, write)
            }
        } catch (e: IOException) {
            onEarlyEnd(start, timer, e)
        } catch (e: RuntimeException) {
            // The HTTP client throws other exceptions for answers that are malformed or cut.
            currentCoroutineContext().ensureActive()
            onEarlyEnd(start, timer, IOException(e))
        }
    }

    override suspend fun interrupt() = stopStream(StopReason.INTERRUPT)

    override suspend fun cancel() = stopStream(StopReason.CANCEL)

    private suspend fun stopStream(reason: StopReason) {
        val endpoint = endpoint ?: return
        stopReason = reason
        val isStopped = try {
            val url = "http://${endpoint.address}/streams/${requestId.value}/cancel"
            client.post(url).status.isSuccess()
        } catch (_: IOException) {
            false
        }
        canResume.complete(isStopped && endpoint.canResume)
    }

    private suspend fun prepareRequest(start: ExchangeStart): HttpStatement {
        val base = "http://${start.endpoint.address}"
        val path = if (start.isResume) {
            "/streams/${requestId.value}/resume?from=$nextSequence"
        } else {
            "/v1/chat/completions"
        }
        return client.preparePost(base + path) {
            header(REQUEST_ID_HEADER, requestId.value)
            // On a stale keep-alive connection the request would fail with an unknown outcome.
            header(HttpHeaders.Connection, "close")
            contentType(ContentType.Application.Json)
            if (!start.isResume) setBody(requestBody)
        }
    }

    private suspend fun readResponse(
        start: ExchangeStart,
        response: HttpResponse,
        timer: ExchangeTimer,
        write: suspend (CallerOutput) -> Unit
    ): StreamEnd {
        val echoed = response.headers[REQUEST_ID_HEADER]
        if (echoed != null && echoed != requestId.value) {
            context.metrics.foreignAnswers.inc()
            return broken(timer, "the endpoint answered for request $echoed", false)
        }
        if (!response.status.isSuccess()) return onErrorStatus(start, response, timer, write)
        return when (val fault = readEvents(response.bodyAsChannel(), timer, write)) {
            null -> onCompleted(timer, write)
            END_OF_STREAM -> onEarlyEnd(start, timer, null)
            else -> broken(timer, fault, false)
        }
    }

    /** Returns null after a complete stream, [END_OF_STREAM] if it ended early, else the fault. */
    private suspend fun readEvents(
        channel: ByteReadChannel,
        timer: ExchangeTimer,
        write: suspend (CallerOutput) -> Unit
    ): String? = coroutineScope {
        val watch = IdleWatch(context.clock, context.idleTimeoutMs)
        val timeout = launch {
            watch.awaitSilence()
            channel.cancel(IOException("the endpoint is silent"))
        }
        try {
            readEvents(channel, watch, timer, write)
        } catch (e: IOException) {
            if (!watch.isSilent) throw e
            "the endpoint was silent for ${context.idleTimeoutMs} ms"
        } finally {
            timeout.cancel()
        }
    }

    private suspend fun readEvents(
        channel: ByteReadChannel,
        watch: IdleWatch,
        timer: ExchangeTimer,
        write: suspend (CallerOutput) -> Unit
    ): String? {
        while (true) {
            val text = watch.await { channel.readLine() } ?: return END_OF_STREAM
            if (!text.startsWith(DATA_PREFIX)) continue
            val data = text.removePrefix(DATA_PREFIX)
            if (data == DONE) return null
            onData(data, timer, write)?.let { return it }
        }
    }

    /** Handles the data of one event; returns null, or the fault that ends the exchange. */
    private suspend fun onData(
        data: String,
        timer: ExchangeTimer,
        write: suspend (CallerOutput) -> Unit
    ): String? {
        val chunk = try {
            ModelChunk.parse(data)
        } catch (e: SerializationException) {
            return "expected a chat completion chunk, found: ${e.message}"
        }
        if (chunk.sequence != null) {
            if (chunk.sequence != nextSequence) {
                return "expected event $nextSequence of the stream, found ${chunk.sequence}"
            }
            nextSequence++
        }
        if (chunk.choices.firstOrNull()?.delta?.content != null) {
            timer.onToken()
            receivedTokens++
            context.metrics.outputTokens.inc()
        }
        chunk.usage?.let {
            usage = it
            context.metrics.countPrompt(it.promptTokens, it.cachedTokens)
        }
        answerWriter.onChunk(chunk, data, write)
        return null
    }

    private suspend fun onCompleted(
        timer: ExchangeTimer,
        write: suspend (CallerOutput) -> Unit
    ): StreamEnd {
        answerWriter.onEnd(write)
        return StreamEnd.Completed(report(timer, GrantEnd.COMPLETED), recorder?.answer())
    }

    /**
     * A status of 400 to 499 is the engine's answer to the caller's request. Another error, or any
     * error on a resume, leaves the outcome open, unless the engine states that it did not run the
     * request.
     */
    private suspend fun onErrorStatus(
        start: ExchangeStart,
        response: HttpResponse,
        timer: ExchangeTimer,
        write: suspend (CallerOutput) -> Unit
    ): StreamEnd {
        val status = response.status.value
        if (status == 503 && response.headers[NOT_RUN_HEADER] == "true") {
            return StreamEnd.ProvenNotRun(
                report(timer, GrantEnd.FAILED),
                "the endpoint ${start.endpoint.id} refused the request"
            )
        }
        if (status !in 400..499 || start.isResume) {
            return broken(timer, "the endpoint answered with status $status", false)
        }
        // This checks the stated length, unlike bodyAsText.
        val text = response.bodyAsBytes().decodeToString().take(AnswerRecorder.MAX_BYTES)
        recorder?.begin(status, AnswerWriter.JSON_TYPE)
        recorder?.append(text)
        write(CallerOutput.Head(status, AnswerWriter.JSON_TYPE))
        write(CallerOutput.Body(text.encodeToByteArray()))
        return StreamEnd.Completed(report(timer, GrantEnd.COMPLETED), recorder?.answer())
    }

    /** The stream was interrupted or cancelled by this host, could not be opened, or broke off. */
    private suspend fun onEarlyEnd(
        start: ExchangeStart,
        timer: ExchangeTimer,
        e: IOException?
    ): StreamEnd = when {
        stopReason == StopReason.INTERRUPT -> StreamEnd.Interrupted(
            report(timer, GrantEnd.CANCELLED),
            receivedTokens,
            withTimeoutOrNull(STOP_TIMEOUT_MS) { canResume.await() } ?: false
        )

        stopReason == StopReason.CANCEL -> StreamEnd.CallerDisconnected(
            report(timer, GrantEnd.CANCELLED)
        )

        e != null && isConnectFailure(e) && !start.isResume -> StreamEnd.ProvenNotRun(
            report(timer, GrantEnd.FAILED),
            "the endpoint ${start.endpoint.id} refused the connection"
        )

        else -> {
            val hasCrashed = context.probe.readLoad(start.endpoint) == null
            broken(timer, "the stream of endpoint ${start.endpoint.id} broke off", hasCrashed)
        }
    }

    private fun broken(timer: ExchangeTimer, detail: String, hasCrashed: Boolean) =
        StreamEnd.Broken(report(timer, GrantEnd.FAILED), detail, hasCrashed)

    private fun report(timer: ExchangeTimer, end: GrantEnd) =
        timer.report(end, usage?.promptTokens ?: promptTokens, usage?.cachedTokens ?: 0)

    private companion object {
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val NOT_RUN_HEADER = "X-Not-Run"
        const val DATA_PREFIX = "data: "
        const val DONE = "[DONE]"
        const val STOP_TIMEOUT_MS = 1_000L
        const val END_OF_STREAM = "the stream ended without its end mark"
    }
}

package cowslipcart.daemon.endpoint

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.StreamEnd
import cowslipcart.daemon.gateway.ServerConnection
import cowslipcart.daemon.gateway.connectTo
import cowslipcart.daemon.http1.BodyReader
import cowslipcart.daemon.http1.HeadParser
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.MalformedMessageException
import cowslipcart.daemon.http1.MessageWriter
import cowslipcart.daemon.http1.RequestBody
import cowslipcart.daemon.http1.ResponseHead
import cowslipcart.daemon.session.AnswerRecorder
import cowslipcart.daemon.session.CallerOutput
import io.ktor.http.ContentType
import java.io.EOFException
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

/** Call to a plain service, as the caller sent it. */
internal class ServiceCall(
    val method: String,
    val pathAndQuery: String,
    val contentType: ContentType?,
    val body: ByteArray,
    val idempotencyKey: String?
)

/**
 * Exchange with a plain service: one call and one unstreamed answer. It cannot be interrupted. The
 * answer counts only if it is whole, which the HTTP client of the other exchanges does not tell.
 */
internal class ServiceExchange(
    private val context: EndpointContext,
    private val requestId: RequestId,
    private val call: ServiceCall,
    private val recorder: AnswerRecorder?
) : Exchange {
    override val receivedTokens: Int get() = 0

    override suspend fun interrupt() = Unit

    override suspend fun cancel() = Unit

    override suspend fun run(
        start: ExchangeStart,
        write: suspend (CallerOutput) -> Unit
    ): StreamEnd {
        val timer = ExchangeTimer(context.clock, start.grantId)
        return withTimeoutOrNull(context.idleTimeoutMs) {
            val connection = connect(start.endpoint)
            if (connection == null) refused(start, timer) else run(connection, start, timer, write)
        } ?: broken(timer, "the endpoint was silent for ${context.idleTimeoutMs} ms", false)
    }

    /** Returns null if no connection can be made, so that nothing is sent. */
    private suspend fun connect(endpoint: EndpointSpec): ServerConnection? = try {
        val ip = endpoint.address.substringBeforeLast(':').removeSurrounding("[", "]")
        val port = endpoint.address.substringAfterLast(':').toInt()
        context.selector.connectTo(ip, port, CONNECT_TIMEOUT_MS)
    } catch (_: IOException) {
        null
    }

    private suspend fun run(
        connection: ServerConnection,
        start: ExchangeStart,
        timer: ExchangeTimer,
        write: suspend (CallerOutput) -> Unit
    ): StreamEnd {
        val answer = try {
            connection.send(requestHead(start.endpoint), RequestBody(listOf(call.body)))
            readAnswer(connection)
        } catch (_: IOException) {
            null
        } finally {
            connection.abort()
        }
        return if (answer == null) brokenOff(start, timer) else end(answer, start, timer, write)
    }

    private fun requestHead(endpoint: EndpointSpec): ByteArray {
        val headers = listOfNotNull(
            Header("Host", endpoint.address),
            Header("X-Request-Id", requestId.value),
            Header("Connection", "close"),
            call.idempotencyKey?.let { Header("Idempotency-Key", it) },
            Header("Content-Type", "${call.contentType ?: ContentType.Application.OctetStream}")
                .takeIf { call.body.isNotEmpty() },
            Header("Content-Length", "${call.body.size}").takeIf { mayHaveBody() }
        )
        return MessageWriter.requestHead(call.method, call.pathAndQuery, headers)
    }

    private fun mayHaveBody() = call.body.isNotEmpty() || call.method !in BODILESS_METHODS

    /** A whole answer of the endpoint. */
    private class Answer(val head: ResponseHead, val body: ByteArray)

    /** Throws an IOException if the connection ends before the answer does. */
    private suspend fun readAnswer(connection: ServerConnection): Answer {
        repeat(MAX_INTERIM_RESPONSES + 1) {
            val bytes = connection.source.readHead(MAX_HEAD_BYTES)
                ?: throw EOFException("connection closed")
            val head = HeadParser.parseResponse(bytes)
            if (head.status < FIRST_FINAL_STATUS) return@repeat
            val framing = HeadParser.responseFraming(head, call.method)
            return Answer(head, BodyReader(connection.source, framing).readAll(Int.MAX_VALUE))
        }
        throw MalformedMessageException("more than $MAX_INTERIM_RESPONSES interim responses")
    }

    private suspend fun end(
        answer: Answer,
        start: ExchangeStart,
        timer: ExchangeTimer,
        write: suspend (CallerOutput) -> Unit
    ): StreamEnd {
        val status = answer.head.status
        if (status == NOT_RUN_STATUS && answer.head.headers["X-Not-Run"] == "true") {
            return StreamEnd.ProvenNotRun(
                timer.report(GrantEnd.FAILED, 0, 0),
                "the endpoint ${start.endpoint.id} refused the request"
            )
        }
        val type = answer.head.headers["Content-Type"] ?: "application/octet-stream"
        recorder?.begin(status, type)
        recorder?.append(answer.body.decodeToString())
        write(CallerOutput.Head(status, type))
        write(CallerOutput.Body(answer.body))
        return StreamEnd.Completed(timer.report(GrantEnd.COMPLETED, 0, 0), recorder?.answer())
    }

    private fun refused(start: ExchangeStart, timer: ExchangeTimer) = StreamEnd.ProvenNotRun(
        timer.report(GrantEnd.FAILED, 0, 0),
        "the endpoint ${start.endpoint.id} refused the connection"
    )

    private suspend fun brokenOff(start: ExchangeStart, timer: ExchangeTimer): StreamEnd {
        val hasCrashed = context.probe.readLoad(start.endpoint) == null
        return broken(timer, "the call to endpoint ${start.endpoint.id} broke off", hasCrashed)
    }

    private fun broken(timer: ExchangeTimer, detail: String, hasCrashed: Boolean) =
        StreamEnd.Broken(timer.report(GrantEnd.FAILED, 0, 0), detail, hasCrashed)

    private companion object {
        /** Connecting within a region takes a few ms; a lost packet is resent after 1 s. */
        const val CONNECT_TIMEOUT_MS = 2_000L
        const val MAX_HEAD_BYTES = 65_536
        const val MAX_INTERIM_RESPONSES = 8
        const val FIRST_FINAL_STATUS = 200
        const val NOT_RUN_STATUS = 503
        val BODILESS_METHODS = setOf("GET", "HEAD", "DELETE", "OPTIONS")
    }
}

package cowslipcart.daemon.endpoint

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.StreamEnd
import cowslipcart.daemon.session.AnswerRecorder
import cowslipcart.daemon.session.CallerOutput
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
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

/** Exchange with a plain service: one call and one unstreamed answer. It cannot be interrupted. */
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
        return try {
            withTimeoutOrNull(context.idleTimeoutMs) {
                val url = "http://${start.endpoint.address}${call.pathAndQuery}"
                context.client.prepareRequest(url) {
                    method = HttpMethod(call.method)
                    header("X-Request-Id", requestId.value)
                    header(HttpHeaders.Connection, "close")
                    call.idempotencyKey?.let { header("Idempotency-Key", it) }
                    if (call.body.isNotEmpty()) setBody(content())
                }.execute { response -> readResponse(start, response, timer, write) }
            } ?: broken(timer, "the endpoint was silent for ${context.idleTimeoutMs} ms", false)
        } catch (e: IOException) {
            onFailure(start, timer, e)
        }
    }

    private fun content() =
        ByteArrayContent(call.body, call.contentType ?: ContentType.Application.OctetStream)

    private suspend fun readResponse(
        start: ExchangeStart,
        response: HttpResponse,
        timer: ExchangeTimer,
        write: suspend (CallerOutput) -> Unit
    ): StreamEnd {
        val status = response.status.value
        if (status == 503 && response.headers["X-Not-Run"] == "true") {
            return StreamEnd.ProvenNotRun(
                timer.report(GrantEnd.FAILED, 0, 0),
                "the endpoint ${start.endpoint.id} refused the request"
            )
        }
        val body = response.bodyAsBytes()
        val type = response.headers[HttpHeaders.ContentType] ?: "application/octet-stream"
        recorder?.begin(status, type)
        recorder?.append(body.decodeToString())
        write(CallerOutput.Head(status, type))
        write(CallerOutput.Body(body))
        return StreamEnd.Completed(timer.report(GrantEnd.COMPLETED, 0, 0), recorder?.answer())
    }

    private suspend fun onFailure(
        start: ExchangeStart,
        timer: ExchangeTimer,
        e: IOException
    ): StreamEnd {
        if (isConnectFailure(e)) {
            return StreamEnd.ProvenNotRun(
                timer.report(GrantEnd.FAILED, 0, 0),
                "the endpoint ${start.endpoint.id} refused the connection"
            )
        }
        val hasCrashed = context.probe.readLoad(start.endpoint) == null
        return broken(timer, "the call to endpoint ${start.endpoint.id} broke off", hasCrashed)
    }

    private fun broken(timer: ExchangeTimer, detail: String, hasCrashed: Boolean) =
        StreamEnd.Broken(timer.report(GrantEnd.FAILED, 0, 0), detail, hasCrashed)
}

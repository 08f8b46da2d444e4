package cowslipcart.systemtest

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.utils.io.readLine
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive

/** An HTTP request; [contentType] is sent if there is a [body]. */
internal class HttpRequestData(
    val url: String,
    val method: String = "POST",
    val headers: List<Pair<String, String>> = emptyList(),
    val body: ByteArray? = null,
    val contentType: ContentType = ContentType.Application.Json
)

/** A complete HTTP response. */
internal class HttpAnswer(
    val status: Int,
    val contentType: String?,
    val headers: Map<String, String>,
    val body: String
) {
    /** Last part of the problem type; null if the body is not a problem document. */
    val problem: String? by lazy {
        if (contentType?.startsWith("application/problem+json") != true) return@lazy null
        val type = try {
            (Json.parseToJsonElement(body) as? JsonObject)?.get("type")?.jsonPrimitive
        } catch (_: SerializationException) {
            null
        }
        type?.contentOrNull?.takeIf { it.startsWith(PROBLEM_PREFIX) }?.removePrefix(PROBLEM_PREFIX)
    }

    override fun toString(): String = "status $status, $contentType, ${body.take(300)}"

    private companion object {
        const val PROBLEM_PREFIX = "urn:cowslipcart:problem:"
    }
}

/** HTTP client for calls to daemons, gateways and stand-ins. */
internal object HttpCaller {
    private const val MAX_CONNECTIONS = 2_000

    private val client = HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint { maxConnectionsPerRoute = MAX_CONNECTIONS }
        }
    }

    /** Returns the answer, or null if the connection broke or [timeoutMs] passed. */
    suspend fun trySend(request: HttpRequestData, timeoutMs: Long = LONG_BOUND_MS): HttpAnswer? =
        try {
            withTimeoutOrNull(timeoutMs) {
                client.prepareRequest(request.url) { fill(request) }.execute { response ->
                    HttpAnswer(
                        response.status.value,
                        response.headers["Content-Type"],
                        response.headers.entries().associate { it.key to it.value.first() },
                        response.bodyAsText()
                    )
                }
            }
        } catch (_: IOException) {
            null
        }

    /** Returns the answer; fails if there is none within [timeoutMs]. */
    suspend fun send(request: HttpRequestData, timeoutMs: Long = LONG_BOUND_MS): HttpAnswer =
        checkNotNull(trySend(request, timeoutMs)) {
            "expected an answer of ${request.url} within $timeoutMs ms, found none"
        }

    /** Passes each line of the answer to [onLine] as it comes; returns the status. */
    suspend fun readLines(request: HttpRequestData, onLine: suspend (String) -> Unit): Int =
        client.prepareRequest(request.url) { fill(request) }.execute { response ->
            val channel = response.bodyAsChannel()
            while (true) onLine(channel.readLine() ?: break)
            response.status.value
        }

    private fun HttpRequestBuilder.fill(request: HttpRequestData) {
        method = HttpMethod(request.method)
        request.headers.forEach { (name, value) -> header(name, value) }
        request.body?.let { setBody(ByteArrayContent(it, request.contentType)) }
    }
}

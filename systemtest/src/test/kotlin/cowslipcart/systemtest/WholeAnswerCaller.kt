package cowslipcart.systemtest

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandlers
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Sends requests whose answers count only if they are whole, with the client of the JDK:
 * [HttpCaller] takes an answer that was cut for a whole one. Names of headers are in lower case.
 */
internal object WholeAnswerCaller {
    private val client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** Returns the whole answer, or null if the connection broke or [timeoutMs] passed. */
    suspend fun trySend(request: HttpRequestData, timeoutMs: Long = LONG_BOUND_MS): HttpAnswer? =
        try {
            withTimeoutOrNull(timeoutMs) {
                val response =
                    client.sendAsync(toJdkRequest(request), BodyHandlers.ofByteArray()).await()
                HttpAnswer(
                    response.statusCode(),
                    response.headers().firstValue("Content-Type").orElse(null),
                    response.headers().map().mapValues { it.value.first() },
                    response.body().decodeToString()
                )
            }
        } catch (_: IOException) {
            null
        }

    private fun toJdkRequest(request: HttpRequestData): HttpRequest {
        val body = request.body?.let { BodyPublishers.ofByteArray(it) }
        val builder = HttpRequest.newBuilder(URI.create(request.url))
            .method(request.method, body ?: BodyPublishers.noBody())
        request.headers.forEach { (name, value) -> builder.header(name, value) }
        if (body != null) builder.header("Content-Type", request.contentType.toString())
        return builder.build()
    }
}

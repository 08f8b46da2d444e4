package cowslipcart.cli

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import cowslipcart.wire.admin.AcceptedResponse
import cowslipcart.wire.admin.ConfigDocument
import cowslipcart.wire.admin.ConflictResponse
import cowslipcart.wire.admin.EndpointStatusDocument
import cowslipcart.wire.admin.FaultsResponse
import cowslipcart.wire.admin.HostDocument
import cowslipcart.wire.admin.LogRecordDocument
import cowslipcart.wire.admin.PublishRequest
import cowslipcart.wire.admin.RequestDocument
import cowslipcart.wire.admin.SwitchPresetRequest
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.appendPathSegments
import io.ktor.http.contentType
import io.ktor.http.takeFrom
import java.io.IOException
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * Client of the operator API of the daemon at the URL [server], for example
 * `http://127.0.0.1:8080`. [token] is the operator's bearer token.
 */
internal class AdminClient(private val server: String, private val token: String) : AutoCloseable {
    private val http = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) {
            connectTimeoutMillis = CONNECT_TIMEOUT_MS
            requestTimeoutMillis = REQUEST_TIMEOUT_MS
        }
    }

    suspend fun config(): Either<CliError, ConfigDocument> =
        get(ConfigDocument.serializer(), "config")

    suspend fun hosts(): Either<CliError, List<HostDocument>> =
        get(ListSerializer(HostDocument.serializer()), "hosts")

    suspend fun endpoints(): Either<CliError, List<EndpointStatusDocument>> =
        get(ListSerializer(EndpointStatusDocument.serializer()), "endpoints")

    suspend fun request(id: String): Either<CliError, RequestDocument> =
        get(RequestDocument.serializer(), "requests", id)

    /** Reads records of the configuration stream from offset [from] on. */
    suspend fun log(from: Long): Either<CliError, List<LogRecordDocument>> =
        get(ListSerializer(LogRecordDocument.serializer()), "log", from = from)

    suspend fun publish(request: PublishRequest): Either<CliError, AcceptedResponse> =
        post("publish", json.encodeToString(PublishRequest.serializer(), request))

    suspend fun switchPreset(request: SwitchPresetRequest): Either<CliError, AcceptedResponse> =
        post("preset", json.encodeToString(SwitchPresetRequest.serializer(), request))

    override fun close() = http.close()

    private suspend fun <T> get(
        serializer: DeserializationStrategy<T>,
        vararg path: String,
        from: Long? = null
    ): Either<CliError, T> = call(HttpMethod.Get, path.toList(), from, body = null)
        .flatMap { decode(serializer, it) }

    private suspend fun post(path: String, body: String): Either<CliError, AcceptedResponse> =
        call(HttpMethod.Post, listOf(path), from = null, body)
            .flatMap { decode(AcceptedResponse.serializer(), it) }

    private suspend fun call(
        method: HttpMethod,
        path: List<String>,
        from: Long?,
        body: String?
    ): Either<CliError, String> = try {
        val response = http.request {
            this.method = method
            url {
                takeFrom(server)
                appendPathSegments("admin")
                appendPathSegments(path)
                from?.let { parameters.append("from", it.toString()) }
            }
            header(HttpHeaders.Authorization, "Bearer $token")
            body?.let {
                contentType(ContentType.Application.Json)
                setBody(it)
            }
        }
        checkStatus(response.status.value, response.bodyAsText())
    } catch (e: IOException) {
        CliError.Unreachable("no answer from $server: ${e.message ?: e::class.simpleName}").left()
    }

    /** Returns the body [text] of a success, or the error that the status stands for. */
    private fun checkStatus(status: Int, text: String): Either<CliError, String> = when (status) {
        in HTTP_SUCCESS -> text.right()

        HTTP_CONFLICT -> decode(ConflictResponse.serializer(), text).flatMap {
            CliError.Conflict(it.winnerAuthor, it.currentRevision).left()
        }

        HTTP_UNPROCESSABLE -> decode(FaultsResponse.serializer(), text).flatMap {
            CliError.Refused(it.faults).left()
        }

        in HTTP_SERVER_ERROR ->
            CliError.Unreachable("$server answered $status: ${problemDetail(text)}").left()

        else ->
            CliError.Refused(listOf("$server answered $status: ${problemDetail(text)}")).left()
    }

    private fun <T> decode(
        serializer: DeserializationStrategy<T>,
        text: String
    ): Either<CliError, T> = try {
        json.decodeFromString(serializer, text).right()
    } catch (e: IllegalArgumentException) {
        val found = text.take(MAX_SHOWN_CHARS)
        CliError.Unreachable("expected JSON of the operator API from $server, found '$found'")
            .left()
    }

    /** Returns the detail or title of an RFC 9457 body, or the start of a [text] that is none. */
    private fun problemDetail(text: String): String = try {
        val problem: JsonObject = json.parseToJsonElement(text).jsonObject
        (problem["detail"] ?: problem["title"])?.jsonPrimitive?.contentOrNull.orEmpty()
    } catch (e: IllegalArgumentException) {
        text.take(MAX_SHOWN_CHARS)
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 3_000L

        /** Above the 5 s that the daemon waits for the log to decide a change. */
        const val REQUEST_TIMEOUT_MS = 15_000L
        const val HTTP_CONFLICT = 409
        const val HTTP_UNPROCESSABLE = 422
        const val MAX_SHOWN_CHARS = 200
        val HTTP_SUCCESS = 200..299
        val HTTP_SERVER_ERROR = 500..599

        // A newer daemon may add fields to its answers.
        val json = Json { ignoreUnknownKeys = true }
    }
}

package cowslipcart.daemon.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.log.LogError
import cowslipcart.core.log.LogPage
import cowslipcart.core.log.LogPort
import cowslipcart.core.log.LogRecord
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StreamName
import cowslipcart.daemon.endpoint.isConnectFailure
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import java.io.IOException
import java.util.Base64
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Client of the platform's log over HTTP. */
internal class HttpLog(private val client: HttpClient, private val baseUrl: String) : LogPort {
    @Serializable
    private class Appended(val offset: Long)

    @Serializable
    private class Page(
        val records: List<Record>,
        @SerialName("first_kept_offset") val firstKeptOffset: Long,
        @SerialName("end_offset") val endOffset: Long
    )

    @Serializable
    private class Record(
        val offset: Long,
        @SerialName("appended_at_ms") val appendedAtMs: Long,
        val payload: String
    )

    override suspend fun append(
        stream: StreamName,
        payload: ByteArray
    ): Either<LogError, LogOffset> = call(APPEND_TIMEOUT_MS) {
        val response = client.post("$baseUrl/streams/${stream.value}/records") { setBody(payload) }
        when {
            response.status.isSuccess() ->
                LogOffset(JSON.decodeFromString<Appended>(response.bodyAsText()).offset).right()

            // After a gateway timeout it is unknown whether the log appended the record.
            response.status.value == 504 -> LogError.Unknown(statusDetail(response)).left()

            else -> LogError.Unavailable(statusDetail(response)).left()
        }
    }

    override suspend fun read(
        stream: StreamName,
        from: LogOffset,
        maxCount: Int,
        waitMs: Long
    ): Either<LogError, LogPage> = call(READ_TIMEOUT_MS + waitMs) {
        val response = client.get("$baseUrl/streams/${stream.value}/records") {
            parameter("from", from.value)
            parameter("max", maxCount)
            parameter("wait_ms", waitMs)
        }
        if (response.status.isSuccess()) {
            JSON.decodeFromString<Page>(response.bodyAsText()).toLogPage().right()
        } else {
            LogError.Unavailable(statusDetail(response)).left()
        }
    }

    private suspend fun <T> call(
        timeoutMs: Long,
        block: suspend () -> Either<LogError, T>
    ): Either<LogError, T> = try {
        withTimeoutOrNull(timeoutMs) { block() }
            ?: LogError.Unknown("expected an answer within $timeoutMs ms, found none").left()
    } catch (e: IOException) {
        val detail = "connection to the log failed: ${e.message}"
        if (isConnectFailure(e)) {
            LogError.Unavailable(detail).left()
        } else {
            LogError.Unknown(detail).left()
        }
    } catch (e: SerializationException) {
        LogError.Unknown("expected the log's JSON, found: ${e.message}").left()
    } catch (e: IllegalArgumentException) {
        LogError.Unknown("expected base64 in the log's JSON, found: ${e.message}").left()
    }

    private fun statusDetail(response: HttpResponse) =
        "expected status 200 from the log, found ${response.status.value}"

    private fun Page.toLogPage() = LogPage(
        records.map {
            LogRecord(
                LogOffset(it.offset),
                it.appendedAtMs,
                Base64.getDecoder().decode(it.payload)
            )
        },
        LogOffset(firstKeptOffset),
        LogOffset(endOffset)
    )

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
        const val APPEND_TIMEOUT_MS = 1_500L
        const val READ_TIMEOUT_MS = 1_500L
    }
}

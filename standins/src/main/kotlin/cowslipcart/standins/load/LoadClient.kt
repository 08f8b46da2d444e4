package cowslipcart.standins.load

import arrow.core.Either
import cowslipcart.core.model.Tier
import cowslipcart.standins.engine.ChatPrompt
import cowslipcart.standins.http.ChatRequestJson
import cowslipcart.standins.http.MessageJson
import cowslipcart.standins.http.standinJson
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLine
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

@Serializable
private data class ProblemJson(val type: String? = null)

@Serializable
private data class ReceivedDelta(val content: String? = null)

@Serializable
private data class ReceivedChoice(val delta: ReceivedDelta = ReceivedDelta())

/** A chunk with only the fields that are checked. */
@Serializable
private data class ReceivedChunk(
    val choices: List<ReceivedChoice> = emptyList(),
    val sequence: Int? = null
)

/** One transmission of a request; [key] is null for a request without idempotency key. */
internal class LoadCall(
    val target: LoadTarget,
    val request: PlannedRequest,
    val tier: Tier,
    val key: String?
)

/**
 * Sends chat requests and checks their streams.
 *
 * @param token bearer token; null sends no `Authorization` header
 * @param model name of the model; a stand-in engine serves any, a daemon only declared ones
 * @param timeoutMs time after which an unfinished answer counts as failed
 */
internal class LoadClient(
    private val token: String?,
    private val timeoutMs: Long,
    private val model: String = ""
) : AutoCloseable {
    private val client = HttpClient(CIO) {
        followRedirects = false
        expectSuccess = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint { maxConnectionsPerRoute = MAX_CONNECTIONS }
        }
    }

    /** Sends [call]; times count from [plannedStart], so that a delay of the sender is measured. */
    suspend fun send(call: LoadCall, plannedStart: TimeMark): LoadOutcome = try {
        withTimeoutOrNull(timeoutMs.milliseconds) { exchange(call, plannedStart) }
            ?: LoadOutcome.Failed("timeout")
    } catch (e: IOException) {
        LoadOutcome.Failed(e.javaClass.simpleName)
    }

    override fun close() = client.close()

    private suspend fun exchange(call: LoadCall, plannedStart: TimeMark): LoadOutcome {
        val request = call.request
        val body = ChatRequestJson(
            model = model,
            messages = request.messages.map { MessageJson(it.role, it.content) },
            stream = true,
            maxTokens = request.maxTokens
        )
        return client.preparePost("${call.target.url}/v1/chat/completions") {
            contentType(ContentType.Application.Json)
            header("X-Tier", call.tier.rank.toString())
            token?.let { header(HttpHeaders.Authorization, "Bearer $it") }
            call.key?.let { header("Idempotency-Key", it) }
            setBody(standinJson.encodeToString(body))
        }.execute { response ->
            if (response.status == HttpStatusCode.OK) {
                readAnswer(response, request, plannedStart)
            } else {
                LoadOutcome.Refused(refusalType(response))
            }
        }
    }

    /** Reads the stream to its end; a lost connection leaves an incomplete answer with a fault. */
    private suspend fun readAnswer(
        response: HttpResponse,
        request: PlannedRequest,
        plannedStart: TimeMark
    ): LoadOutcome {
        val check = AnswerCheck(ChatPrompt(request.messages), request.maxTokens)
        val times = TokenTimes(plannedStart)
        Either.catchOrThrow<IOException, Unit> {
            readEvents(response.bodyAsChannel()) { data ->
                if (data == "[DONE]") check.end() else addChunk(data, check, times)
            }
        }
        val totalUs = plannedStart.elapsedNow().inWholeMicroseconds.coerceAtLeast(0)
        return LoadOutcome.Answered(times.firstUs, times.gapsUs, totalUs, check.findFault())
    }

    private suspend fun readEvents(channel: ByteReadChannel, onData: (String) -> Unit) {
        while (true) {
            val line = channel.readLine() ?: return
            if (line.startsWith(DATA_PREFIX)) onData(line.removePrefix(DATA_PREFIX))
        }
    }

    private fun addChunk(data: String, check: AnswerCheck, times: TokenTimes) {
        Either.catchOrThrow<SerializationException, ReceivedChunk> {
            standinJson.decodeFromString<ReceivedChunk>(data)
        }.onLeft { check.addMalformed() }.onRight { chunk ->
            val content = chunk.choices.firstOrNull()?.delta?.content
            if (content != null) times.add()
            check.add(chunk.sequence, content)
        }
    }

    private suspend fun refusalType(response: HttpResponse): String {
        val text = response.bodyAsText()
        return Either.catchOrThrow<SerializationException, String?> {
            standinJson.decodeFromString<ProblemJson>(text).type
        }.getOrNull() ?: "status-${response.status.value}"
    }

    private companion object {
        const val MAX_CONNECTIONS = 20_000
        const val DATA_PREFIX = "data: "
    }
}

/** Time to the first token of one stream, from [plannedStart], and the gaps between tokens. */
private class TokenTimes(private val plannedStart: TimeMark) {
    private var last: TimeMark? = null
    var firstUs: Long? = null
        private set
    val gapsUs = ArrayList<Long>()

    /** Records a token that arrives now. */
    fun add() {
        val previous = last
        if (previous == null) {
            firstUs = plannedStart.elapsedNow().toUs()
        } else {
            gapsUs += previous.elapsedNow().toUs()
        }
        last = TimeSource.Monotonic.markNow()
    }

    private fun Duration.toUs() = inWholeMicroseconds.coerceAtLeast(0)
}

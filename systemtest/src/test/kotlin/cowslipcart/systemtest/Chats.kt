package cowslipcart.systemtest

import cowslipcart.standins.engine.ChatMessage
import cowslipcart.standins.engine.ChatPrompt
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Body of a chat request with one message of [content]; [content] needs no escapes in JSON. */
internal fun chatBody(content: String, maxTokens: Int, isStream: Boolean = false): String =
    """{"model":"${SampleDeclarations.MODEL}","max_tokens":$maxTokens,"stream":$isStream,""" +
        """"messages":[{"role":"user","content":"$content"}]}"""

/** The answer that the engine stand-in makes to [content]. */
internal fun expectedAnswer(content: String, maxTokens: Int): String =
    ChatPrompt(listOf(ChatMessage("user", content))).answer(maxTokens)

/** Collects the lines of a chat stream as the caller receives them. */
internal class StreamAnswer {
    private val text = StringBuilder()
    private val sequences = mutableListOf<Int>()
    private val unexpectedLines = mutableListOf<String>()
    var status: Int = 0
    var isEnded: Boolean = false
        private set

    val eventCount: Int get() = sequences.size

    /** Adds one line of the event stream. */
    fun add(line: String) {
        if (line.isEmpty()) return
        val data = line.removePrefix("data: ")
        when {
            data == "[DONE]" -> isEnded = true
            data.startsWith("{") && data != line -> addEvent(data, line)
            else -> unexpectedLines += line
        }
    }

    private fun addEvent(data: String, line: String) {
        val event = Json.parseToJsonElement(data).jsonObject
        val sequence = event["sequence"]?.jsonPrimitive?.int
        if (sequence == null) {
            unexpectedLines += line
            return
        }
        sequences += sequence
        text.append(deltaContent(event).orEmpty())
    }

    private fun deltaContent(event: JsonObject) = event["choices"]?.jsonArray?.firstOrNull()
        ?.jsonObject?.get("delta")?.jsonObject?.get("content")?.jsonPrimitive?.contentOrNull

    /** Returns the first fault of the stream, or null if it is the complete answer. */
    fun findFault(content: String, maxTokens: Int): String? {
        val expected = expectedAnswer(content, maxTokens)
        return when {
            status != 200 -> "expected status 200, found $status: $unexpectedLines"

            unexpectedLines.isNotEmpty() -> "expected only chunks, found $unexpectedLines"

            sequences != sequences.indices.toList() ->
                "expected sequence numbers from 0 without gap or repeat, found $sequences"

            text.toString() != expected -> "expected '$expected', found '$text'"

            !isEnded -> "expected [DONE] at the end, found none"

            else -> null
        }
    }
}

/** Sends a chat as a stream; [onEvent] is called after each line. */
internal suspend fun DaemonHandle.streamChat(
    content: String,
    maxTokens: Int,
    tier: String = SampleDeclarations.TOP_TIER,
    onEvent: (StreamAnswer) -> Unit = {}
): StreamAnswer {
    val body = chatBody(content, maxTokens, isStream = true).encodeToByteArray()
    val answer = StreamAnswer()
    answer.status = HttpCaller.readLines(chatRequest(body, listOf("X-Tier" to tier))) {
        answer.add(it)
        onEvent(answer)
    }
    return answer
}

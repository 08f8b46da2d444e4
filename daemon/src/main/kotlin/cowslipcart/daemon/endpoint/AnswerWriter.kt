package cowslipcart.daemon.endpoint

import cowslipcart.daemon.session.AnswerRecorder
import cowslipcart.daemon.session.CallerOutput
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Writes the chunks of a model answer in the form that the caller asked for. */
internal sealed interface AnswerWriter {
    /** Handles one chunk; [data] is its JSON text. */
    suspend fun onChunk(chunk: ModelChunk, data: String, write: suspend (CallerOutput) -> Unit)

    /** Called once, after the last chunk of a complete answer. */
    suspend fun onEnd(write: suspend (CallerOutput) -> Unit)

    /** Writes server-sent events as they arrive. */
    class Streamed(private val recorder: AnswerRecorder?) : AnswerWriter {
        private var hasBegun = false

        override suspend fun onChunk(
            chunk: ModelChunk,
            data: String,
            write: suspend (CallerOutput) -> Unit
        ) {
            if (!hasBegun) {
                hasBegun = true
                recorder?.begin(200, EVENT_STREAM)
                write(CallerOutput.Head(200, EVENT_STREAM))
            }
            send("data: $data\n\n", write)
        }

        override suspend fun onEnd(write: suspend (CallerOutput) -> Unit) =
            send("data: [DONE]\n\n", write)

        private suspend fun send(text: String, write: suspend (CallerOutput) -> Unit) {
            recorder?.append(text)
            write(CallerOutput.Body(text.encodeToByteArray()))
        }
    }

    /** Collects the chunks and writes one JSON document when the answer is complete. */
    class Buffered(
        private val requestId: String,
        private val model: String,
        private val recorder: AnswerRecorder?
    ) : AnswerWriter {
        private val content = StringBuilder()
        private var usage: ModelChunk.Usage? = null
        private var finishReason: String? = null

        override suspend fun onChunk(
            chunk: ModelChunk,
            data: String,
            write: suspend (CallerOutput) -> Unit
        ) {
            val choice = chunk.choices.firstOrNull()
            choice?.delta?.content?.let { content.append(it) }
            choice?.finishReason?.let { finishReason = it }
            chunk.usage?.let { usage = it }
        }

        override suspend fun onEnd(write: suspend (CallerOutput) -> Unit) {
            val text = Json.encodeToString(JsonObject.serializer(), document())
            recorder?.begin(200, JSON_TYPE)
            recorder?.append(text)
            write(CallerOutput.Head(200, JSON_TYPE))
            write(CallerOutput.Body(text.encodeToByteArray()))
        }

        private fun document() = buildJsonObject {
            put("id", requestId)
            put("object", "chat.completion")
            put("model", model)
            putJsonArray("choices") { add(choice()) }
            putJsonObject("usage") {
                put("prompt_tokens", usage?.promptTokens ?: 0)
                put("cached_tokens", usage?.cachedTokens ?: 0)
                put("completion_tokens", usage?.completionTokens ?: 0)
            }
        }

        private fun choice() = buildJsonObject {
            put("index", 0)
            putJsonObject("message") {
                put("role", "assistant")
                put("content", content.toString())
            }
            put("finish_reason", JsonPrimitive(finishReason ?: "stop"))
        }
    }

    companion object {
        const val EVENT_STREAM = "text/event-stream"
        const val JSON_TYPE = "application/json"
    }
}

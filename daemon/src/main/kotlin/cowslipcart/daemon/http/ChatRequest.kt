package cowslipcart.daemon.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull

/** The parts of an OpenAI-compatible chat completion request that the scheduler reads. */
internal class ChatRequest(
    private val document: JsonObject,
    val model: String,
    val prompt: String,
    val isStream: Boolean,
    val maxTokens: Int?
) {
    /** Returns the body for the endpoint: as the caller sent it, but always with `stream` set. */
    fun toEndpointBody(): String =
        JsonObject(document + ("stream" to JsonPrimitive(true))).toString()

    companion object {
        private const val MAX_OUTPUT_TOKENS = 1_000_000

        /** Tool schemas nest about 20 levels; the recursive JSON writer fails at some thousands. */
        private const val MAX_DEPTH = 128

        /** Parses a body; the error names the field, what was expected and what was found. */
        fun parse(body: ByteArray): Either<HttpError.BadRequest, ChatRequest> {
            val text = decodeUtf8(body) ?: return bad("expected UTF-8, found other bytes")
            if (isNestedDeeper(text, MAX_DEPTH)) {
                return bad("expected at most $MAX_DEPTH nested values, found more")
            }
            val document = try {
                Json.parseToJsonElement(text) as? JsonObject
                    ?: return bad("expected a JSON object, found another JSON value")
            } catch (e: SerializationException) {
                return bad("expected JSON, found: ${e.message?.lineSequence()?.first()}")
            }
            findDuplicateKey(text)?.let { return bad("expected each key once, found '$it' twice") }
            return read(document)
        }

        private fun read(document: JsonObject): Either<HttpError.BadRequest, ChatRequest> {
            val model = (document["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content
                ?: return bad("model: expected a string")
            val messages = document["messages"] as? JsonArray
                ?: return bad("messages: expected an array")
            if (messages.isEmpty()) {
                return bad(
                    "messages: expected at least one message, found none"
                )
            }
            val prompt = messages.mapIndexed { index, message ->
                readContent(message) ?: return bad("messages[$index]: expected role and content")
            }.joinToString("\n")
            val stream = document["stream"]
            val isStream = when (stream) {
                null -> false
                else -> (stream as? JsonPrimitive)?.booleanOrNull
            } ?: return bad("stream: expected true or false, found $stream")
            val limit = document["max_completion_tokens"] ?: document["max_tokens"]
            val maxTokens = (limit as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull
            if (limit != null && (maxTokens == null || maxTokens !in 1..MAX_OUTPUT_TOKENS)) {
                return bad("max_tokens: expected 1 to $MAX_OUTPUT_TOKENS, found $limit")
            }
            return ChatRequest(document, model, prompt, isStream, maxTokens).right()
        }

        /** Content is a string or an array of parts; parts that are not text are kept as JSON. */
        private fun readContent(message: JsonElement): String? {
            val fields = message as? JsonObject ?: return null
            val role = (fields["role"] as? JsonPrimitive)?.takeIf { it.isString } ?: return null
            val content = when (val content = fields["content"]) {
                is JsonPrimitive -> content.takeIf { it.isString }?.content
                is JsonArray -> content.joinToString(" ") { readPart(it) }
                else -> null
            }
            return content?.let { "${role.content}: $it" }
        }

        private fun readPart(part: JsonElement): String {
            val text = (part as? JsonObject)?.get("text") as? JsonPrimitive
            return text?.content ?: part.toString()
        }

        private fun decodeUtf8(body: ByteArray): String? = try {
            Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString()
        } catch (_: CharacterCodingException) {
            null
        }

        private fun bad(detail: String) = HttpError.BadRequest(detail).left()
    }
}

package cowslipcart.daemon.endpoint

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The parts of a chat completion chunk that the scheduler reads. */
@Serializable
internal class ModelChunk(
    val sequence: Long? = null,
    val choices: List<Choice> = emptyList(),
    val usage: Usage? = null
) {
    @Serializable
    class Choice(
        val delta: Delta = Delta(),
        @SerialName("finish_reason") val finishReason: String? = null
    )

    @Serializable
    class Delta(val content: String? = null)

    @Serializable
    class Usage(
        @SerialName("prompt_tokens") val promptTokens: Int = 0,
        @SerialName("cached_tokens") val cachedTokens: Int = 0,
        @SerialName("completion_tokens") val completionTokens: Int = 0
    )

    companion object {
        private val JSON = Json { ignoreUnknownKeys = true }

        /** Parses the data of an event; throws `SerializationException` on malformed JSON. */
        fun parse(data: String): ModelChunk = JSON.decodeFromString(data)
    }
}

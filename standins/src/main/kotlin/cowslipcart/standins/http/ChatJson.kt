package cowslipcart.standins.http

import cowslipcart.core.model.RequestId
import cowslipcart.standins.engine.ChatMessage
import cowslipcart.standins.engine.ChatPrompt
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal data class MessageJson(val role: String, val content: String)

@Serializable
internal data class ChatRequestJson(
    val model: String = "",
    val messages: List<MessageJson>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int = DEFAULT_MAX_TOKENS
) {
    fun toPrompt() = ChatPrompt(messages.map { ChatMessage(it.role, it.content) })

    companion object {
        const val DEFAULT_MAX_TOKENS = 64
    }
}

@Serializable
internal data class UsageJson(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("cached_tokens") val cachedTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int
)

@Serializable
internal data class DeltaJson(val content: String? = null)

@Serializable
internal data class ChunkChoiceJson(
    val index: Int = 0,
    val delta: DeltaJson,
    @SerialName("finish_reason") val finishReason: String? = null
)

/** One server-sent event; [sequence] counts from 0 and also covers the chunk with the usage. */
@Serializable
internal data class ChunkJson(
    val id: String,
    @SerialName("object") val objectType: String = "chat.completion.chunk",
    val created: Long,
    val choices: List<ChunkChoiceJson>,
    val sequence: Int,
    val usage: UsageJson? = null
)

@Serializable
internal data class AnswerChoiceJson(
    val index: Int = 0,
    val message: MessageJson,
    @SerialName("finish_reason") val finishReason: String
)

/** Whole answer to a request without `stream`. */
@Serializable
internal data class AnswerJson(
    val id: String,
    @SerialName("object") val objectType: String = "chat.completion",
    val created: Long,
    val choices: List<AnswerChoiceJson>,
    val usage: UsageJson
)

internal fun StreamUsage.toJson() = UsageJson(promptTokens, cachedTokens, completionTokens)

/** Builds the chunks of one stream. */
internal class ChunkBuilder(
    private val id: RequestId,
    private val prompt: ChatPrompt,
    private val createdS: Long
) {
    /**
     * Returns null for a cancelled stream: it ends without a chunk, as an additional sequence
     * number would leave a gap between the last token and the first one after a resume.
     */
    fun build(item: StreamItem): ChunkJson? = when (item) {
        is StreamItem.Token -> ChunkJson(
            id = id.value,
            created = createdS,
            choices = listOf(ChunkChoiceJson(delta = DeltaJson(prompt.answerToken(item.sequence)))),
            sequence = item.sequence
        )

        is StreamItem.Finished -> ChunkJson(
            id = id.value,
            created = createdS,
            choices = listOf(ChunkChoiceJson(delta = DeltaJson(), finishReason = "stop")),
            sequence = item.usage.completionTokens,
            usage = item.usage.toJson()
        )

        StreamItem.Cancelled -> null
    }
}

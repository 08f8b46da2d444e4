package cowslipcart.standins.engine

import cowslipcart.core.capacity.CapacityRequest.Companion.PREFIX_BLOCK_TOKENS
import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.PrefixBlock

/** One message of a chat request. */
public data class ChatMessage(public val role: String, public val content: String)

/** The prompt of a chat request; each whitespace-separated word of the contents is one token. */
public class ChatPrompt(messages: List<ChatMessage>) {
    /** Words of all contents in order. */
    public val words: List<String> =
        messages.flatMap { it.content.split(WHITESPACE) }.filter { it.isNotEmpty() }

    /** Hash of roles and contents, 16 hex digits; the answer starts with it. */
    public val contentHash: String = hex(
        stableHash(messages.joinToString("\u0001") { "${it.role}\u0000${it.content}" })
    )

    /**
     * One hash a whole block of [PREFIX_BLOCK_TOKENS] words: the stable hash of the previous
     * block's hash in hex digits (none for the first block), a slash, and the words of the block
     * separated by spaces.
     */
    public val prefixBlocks: List<PrefixBlock> by lazy {
        var previous = ""
        words.chunked(PREFIX_BLOCK_TOKENS).filter { it.size == PREFIX_BLOCK_TOKENS }.map { block ->
            val hash = stableHash("$previous/${block.joinToString(" ")}")
            previous = hex(hash)
            PrefixBlock(hash)
        }
    }

    /** Returns the text of output token [sequence]: the content hash, then ` w0`, ` w1` and on. */
    public fun answerToken(sequence: Int): String =
        if (sequence == 0) contentHash else " w${sequence - 1}"

    /** Returns the whole answer of [outputTokens] tokens. */
    public fun answer(outputTokens: Int): String =
        (0 until outputTokens).joinToString("") { answerToken(it) }

    private companion object {
        val WHITESPACE = Regex("\\s+")

        fun hex(value: Long): String = value.toULong().toString(16).padStart(16, '0')
    }
}

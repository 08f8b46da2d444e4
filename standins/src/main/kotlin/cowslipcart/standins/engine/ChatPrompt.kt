package cowslipcart.standins.engine

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.PrefixBlock
import cowslipcart.wire.content.prefixBlocks

/** One message of a chat request. */
public data class ChatMessage(public val role: String, public val content: String)

/**
 * The prompt of a chat request. Its text is `role: content` of each message, one after the other;
 * each whitespace-separated word of the text is one token.
 */
public class ChatPrompt(messages: List<ChatMessage>) {
    /** Words of the text in order. */
    public val words: List<String> =
        messages.flatMap {
            "${it.role}: ${it.content}".split(WHITESPACE)
        }.filter { it.isNotEmpty() }

    /** Hash of roles and contents, 16 hex digits; the answer starts with it. */
    public val contentHash: String =
        stableHash(messages.joinToString("\u0001") { "${it.role}\u0000${it.content}" })
            .toULong().toString(16).padStart(16, '0')

    /**
     * Hashes of the text's prefixes. Callers of the engine compute the same hashes, so that they
     * can relate the engine's cache events to their prompts.
     */
    public val prefixBlocks: List<PrefixBlock> by lazy { prefixBlocks(words.asSequence()).toList() }

    /** Returns the text of output token [sequence]: the content hash, then ` w0`, ` w1` and on. */
    public fun answerToken(sequence: Int): String =
        if (sequence == 0) contentHash else " w${sequence - 1}"

    /** Returns the whole answer of [outputTokens] tokens. */
    public fun answer(outputTokens: Int): String =
        (0 until outputTokens).joinToString("") { answerToken(it) }

    private companion object {
        val WHITESPACE = Regex("\\s+")
    }
}

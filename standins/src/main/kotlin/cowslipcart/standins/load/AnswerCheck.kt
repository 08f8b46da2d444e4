package cowslipcart.standins.load

import cowslipcart.standins.engine.ChatPrompt

/** Why an answer is not the complete answer to its request. */
internal enum class AnswerFault(val label: String) {
    /** An event of the stream could not be parsed as a chunk. */
    MALFORMED("malformed"),

    /** The text differs from the expected answer. */
    WRONG_TEXT("wrong-text"),

    /** The text is only the beginning of the expected answer. */
    TRUNCATED("truncated"),

    /** A sequence number is missing, repeated or out of order. */
    SEQUENCE("sequence"),

    /** The stream did not end with `data: [DONE]`. */
    NOT_ENDED("not-ended")
}

/** Collects the chunks of one stream and compares them with the expected answer to [prompt]. */
internal class AnswerCheck(private val prompt: ChatPrompt, private val maxTokens: Int) {
    private val text = StringBuilder()
    private var nextSequence = 0
    private var isOutOfSequence = false
    private var isEnded = false
    private var isMalformed = false

    /** Adds one chunk; [sequence] is null if the server does not number its chunks. */
    fun add(sequence: Int?, content: String?) {
        if (sequence != null && sequence != nextSequence) isOutOfSequence = true
        nextSequence++
        content?.let { text.append(it) }
    }

    /** Adds an event that could not be parsed as a chunk. */
    fun addMalformed() {
        isMalformed = true
    }

    /** Records the end mark `data: [DONE]`. */
    fun end() {
        isEnded = true
    }

    /** Returns the first fault that applies, or null for a complete answer. */
    fun findFault(): AnswerFault? {
        val expected = prompt.answer(maxTokens)
        return when {
            isMalformed -> AnswerFault.MALFORMED
            !expected.startsWith(text) -> AnswerFault.WRONG_TEXT
            isOutOfSequence -> AnswerFault.SEQUENCE
            text.length < expected.length -> AnswerFault.TRUNCATED
            !isEnded -> AnswerFault.NOT_ENDED
            else -> null
        }
    }
}

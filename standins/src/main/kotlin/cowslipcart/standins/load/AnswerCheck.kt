package cowslipcart.standins.load

import cowslipcart.standins.engine.ChatPrompt

/** Why an answer is not the whole answer to its own request. */
internal enum class AnswerFault(val label: String) {
    /** An event of the stream is not a chunk. */
    MALFORMED("malformed"),

    /** The text differs from the one that belongs to the request. */
    WRONG_TEXT("wrong-text"),

    /** The text is the start of the right one. */
    TRUNCATED("truncated"),

    /** A sequence number is missing or repeated. */
    SEQUENCE("sequence"),

    /** The stream did not end with `data: [DONE]`. */
    NOT_ENDED("not-ended")
}

/** Collects the chunks of one stream and compares them with the answer that belongs to [prompt]. */
internal class AnswerCheck(private val prompt: ChatPrompt, private val maxTokens: Int) {
    private val text = StringBuilder()
    private var nextSequence = 0
    private var isOutOfSequence = false
    private var isEnded = false
    private var isMalformed = false

    /** Takes one chunk; [sequence] is null if the server does not number its chunks. */
    fun add(sequence: Int?, content: String?) {
        if (sequence != null && sequence != nextSequence) isOutOfSequence = true
        nextSequence++
        content?.let { text.append(it) }
    }

    /** Takes an event that is not a chunk. */
    fun addMalformed() {
        isMalformed = true
    }

    /** Takes the end mark of the stream. */
    fun end() {
        isEnded = true
    }

    /** Returns the first fault that applies, or null for a whole answer. */
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

package cowslipcart.daemon.session

import cowslipcart.core.origin.StoredAnswer

/**
 * Keeps a copy of the answer to a request with an idempotency key while it is sent to the caller,
 * so that it can be replayed. An answer longer than [maxBytes] is not kept.
 */
internal class AnswerRecorder(private val maxBytes: Int) {
    private var status = 0
    private var contentType = ""
    private val text = StringBuilder()
    private var isTooLarge = false

    /** Sets the head of the answer; the body follows in parts. */
    fun begin(status: Int, contentType: String) {
        this.status = status
        this.contentType = contentType
    }

    fun append(part: String) {
        if (isTooLarge) return
        if (text.length + part.length > maxBytes) {
            isTooLarge = true
            text.clear()
        } else {
            text.append(part)
        }
    }

    /** Returns the complete answer, or null if it was too large to keep. */
    fun answer(): StoredAnswer? =
        if (isTooLarge) null else StoredAnswer(status, contentType, text.toString())

    companion object {
        const val MAX_BYTES = 64 * 1024
    }
}

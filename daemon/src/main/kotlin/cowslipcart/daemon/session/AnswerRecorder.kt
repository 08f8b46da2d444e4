package cowslipcart.daemon.session

import cowslipcart.core.origin.StoredAnswer

/** Keeps the answer of a keyed request as it passes, up to a size. */
internal class AnswerRecorder(private val maxBytes: Int) {
    private var status = 0
    private var contentType = ""
    private val text = StringBuilder()
    private var isTooLarge = false

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

    /** The whole answer, or null if it was too large to keep. */
    fun answer(): StoredAnswer? =
        if (isTooLarge) null else StoredAnswer(status, contentType, text.toString())

    companion object {
        const val MAX_BYTES = 64 * 1024
    }
}

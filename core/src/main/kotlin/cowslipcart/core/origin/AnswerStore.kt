package cowslipcart.core.origin

import cowslipcart.core.model.RequestId

/**
 * Answers of finished requests, kept for [LIFETIME_MS]. Above [maxTotalBytes] the oldest are
 * evicted.
 */
internal class AnswerStore(private val maxTotalBytes: Long = MAX_TOTAL_BYTES) {
    private class Entry(val answer: StoredAnswer, val storedAtMs: Long)

    private val entries = LinkedHashMap<RequestId, Entry>()
    private var totalBytes = 0L

    /** Stores [answer]; one of more than [MAX_ANSWER_BYTES] is not stored. */
    fun put(requestId: RequestId, answer: StoredAnswer, nowMs: Long) {
        if (answer.body.length > MAX_ANSWER_BYTES) return
        remove(requestId)
        entries[requestId] = Entry(answer, nowMs)
        totalBytes += answer.body.length
        while (totalBytes > maxTotalBytes) remove(entries.keys.first())
    }

    fun find(requestId: RequestId): StoredAnswer? = entries[requestId]?.answer

    fun removeExpired(nowMs: Long) {
        while (true) {
            val (id, entry) = entries.entries.firstOrNull() ?: return
            if (nowMs - entry.storedAtMs <= LIFETIME_MS) return
            remove(id)
        }
    }

    private fun remove(requestId: RequestId) {
        entries.remove(requestId)?.let { totalBytes -= it.answer.body.length }
    }

    companion object {
        const val LIFETIME_MS = 600_000L
        const val MAX_ANSWER_BYTES = 64 * 1024
        const val MAX_TOTAL_BYTES = 16L * 1024 * 1024
    }
}

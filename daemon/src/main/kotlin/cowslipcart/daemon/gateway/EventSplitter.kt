package cowslipcart.daemon.gateway

import java.io.ByteArrayOutputStream

/** A server-sent event, including the empty line that ends it; [id] is null if it has none. */
internal class StreamEvent(val bytes: ByteArray, val id: Long?)

/** Splits the bytes of a stream into complete server-sent events. */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()

    /** Removes and returns the bytes after the last complete event. */
    fun takeRemainder(): ByteArray = pending.toByteArray().also { pending.reset() }

    /** Adds [bytes] and returns the events that they complete. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        pending.write(bytes)
        val all = pending.toByteArray()
        val events = mutableListOf<StreamEvent>()
        var start = 0
        for (index in 1 until all.size) {
            if (isEventEnd(all, start, index)) {
                val event = all.copyOfRange(start, index + 1)
                events += StreamEvent(event, idOf(event))
                start = index + 1
            }
        }
        if (start > 0) {
            pending.reset()
            pending.write(all, start, all.size - start)
        }
        return events
    }

    /** Whether the byte at [index] ends an empty line, and so the event from [start]. */
    private fun isEventEnd(bytes: ByteArray, start: Int, index: Int): Boolean {
        if (bytes[index] != LF) return false
        val before = if (bytes[index - 1] == CR) index - 2 else index - 1
        return before >= start && bytes[before] == LF
    }

    private fun idOf(event: ByteArray): Long? = String(event, Charsets.ISO_8859_1)
        .lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)
        ?.trim()
        ?.toLongOrNull()

    private companion object {
        const val CR = '\r'.code.toByte()
        const val LF = '\n'.code.toByte()
        const val ID_FIELD = "id:"
    }
}

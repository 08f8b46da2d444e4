package cowslipcart.daemon.gateway

import java.io.IOException

/** A server-sent event, including the empty line that ends it; [id] is null if it has none. */
internal class StreamEvent(val bytes: ByteArray, val id: Long?)

/** An event of a stream exceeds [maxBytes]. */
internal class EventTooLongException(maxBytes: Int) : IOException("event over $maxBytes bytes")

/** Splits the bytes of a stream into complete server-sent events. */
internal class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** Removes and returns the bytes after the last complete event. */
    fun takeRemainder(): ByteArray = buffer.copyOf(size).also { size = 0 }

    /**
     * Adds [bytes] and returns the events that they complete. Throws [EventTooLongException] if the
     * incomplete event after them exceeds [MAX_EVENT_BYTES].
     */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val searchedBytes = size
        append(bytes)
        val events = mutableListOf<StreamEvent>()
        var start = 0
        for (index in maxOf(1, searchedBytes) until size) {
            if (isEventEnd(buffer, start, index)) {
                val event = buffer.copyOfRange(start, index + 1)
                events += StreamEvent(event, idOf(event))
                start = index + 1
            }
        }
        if (start > 0) {
            buffer.copyInto(buffer, 0, start, size)
            size -= start
        }
        if (size > MAX_EVENT_BYTES) throw EventTooLongException(MAX_EVENT_BYTES)
        return events
    }

    private fun append(bytes: ByteArray) {
        val needed = size + bytes.size
        if (needed > buffer.size) buffer = buffer.copyOf(maxOf(needed, buffer.size * 2))
        bytes.copyInto(buffer, size)
        size = needed
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
        const val INITIAL_BYTES = 1_024

        /** An event holds a few tokens, some hundred bytes. */
        const val MAX_EVENT_BYTES = 262_144
        const val CR = '\r'.code.toByte()
        const val LF = '\n'.code.toByte()
        const val ID_FIELD = "id:"
    }
}

package cowslipcart.daemon.gateway

import java.io.ByteArrayOutputStream

/** A whole event of a stream, with the empty line that ends it. [id] is null if it has none. */
internal class StreamEvent(val bytes: ByteArray, val id: Long?)

/** Cuts the bytes of a stream into whole events. */
internal class EventSplitter {
    private val rest = ByteArrayOutputStream()

    /** Bytes after the last whole event. */
    fun takeRest(): ByteArray = rest.toByteArray().also { rest.reset() }

    /** Adds [bytes] and returns the events that are whole now. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        rest.write(bytes)
        val all = rest.toByteArray()
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
            rest.reset()
            rest.write(all, start, all.size - start)
        }
        return events
    }

    /** Whether [index] holds the last byte of an empty line after [start]. */
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

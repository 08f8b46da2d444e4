package cowslipcart.daemon.http1

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readAvailable
import java.io.EOFException
import java.io.IOException

/** A part of a message is longer than allowed. */
internal sealed class TooLongException(message: String) : IOException(message) {
    class OfHead(maxBytes: Int) : TooLongException("head over $maxBytes bytes")

    class OfBody(maxBytes: Int) : TooLongException("body over $maxBytes bytes")
}

/** Buffered bytes of a connection. Used by one coroutine at a time. */
internal class ByteSource(private val channel: ByteReadChannel) {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var end = 0

    /** Bytes that were received and not yet taken, or the end of the connection. */
    val isIdle: Boolean
        get() = start == end && channel.availableForRead == 0 && !channel.isClosedForRead

    private val bufferedCount: Int get() = end - start

    /** Waits for more bytes; returns false at the end of the connection. */
    suspend fun fill(): Boolean {
        channel.closedCause?.let { throw IOException("connection reset", it) }
        makeRoom()
        val count = channel.readAvailable(buffer, end, buffer.size - end)
        if (count < 0) {
            channel.closedCause?.let { throw IOException("connection reset", it) }
            return false
        }
        end += count
        return true
    }

    /** Waits for a byte to take; returns false if the connection ends first. */
    suspend fun awaitByte(): Boolean = bufferedCount > 0 || fill()

    /**
     * Returns when the peer has closed the connection, or when it has sent so much ahead that the
     * end can't be seen.
     */
    suspend fun awaitClose(): Boolean {
        while (bufferedCount < MAX_AHEAD_BYTES) {
            if (!fill()) return true
        }
        return false
    }

    /**
     * Takes a head up to its empty line, which is left out. Returns null if the connection ends
     * before its first byte.
     */
    suspend fun readHead(maxBytes: Int): ByteArray? {
        skipEmptyLines()
        var searched = 0
        while (true) {
            val length = indexOfHeadEnd(searched)
            if (length >= 0) {
                val head = buffer.copyOfRange(start, start + length)
                start += length + HEAD_END_BYTES
                return head
            }
            if (bufferedCount > maxBytes) throw TooLongException.OfHead(maxBytes)
            searched = maxOf(0, bufferedCount - HEAD_END_BYTES)
            if (!fill()) {
                if (bufferedCount == 0) return null
                throw EOFException("connection ended within a head")
            }
        }
    }

    /** Takes a line without its end; a line ends with CR and LF. */
    suspend fun readLine(): String {
        var index = start
        while (true) {
            while (index < end) {
                if (buffer[index] == LF) return takeLine(index)
                index++
            }
            if (bufferedCount > MAX_LINE_BYTES) throw TooLongException.OfHead(MAX_LINE_BYTES)
            val before = index - start
            if (!fill()) throw EOFException("connection ended within a line")
            index = start + before
        }
    }

    /** Takes between 1 and [maxBytes] bytes, or returns null at the end of the connection. */
    suspend fun readSome(maxBytes: Long): ByteArray? {
        if (bufferedCount == 0 && !fill()) return null
        val count = minOf(maxBytes, bufferedCount.toLong()).toInt()
        return buffer.copyOfRange(start, start + count).also { start += count }
    }

    private fun takeLine(lineFeed: Int): String {
        if (lineFeed == start || buffer[lineFeed - 1] != CR) {
            throw MalformedMessageException("line without CR LF")
        }
        val line = String(buffer, start, lineFeed - 1 - start, Charsets.ISO_8859_1)
        start = lineFeed + 1
        return line
    }

    /** Empty lines before a request are ignored, as the standard asks. */
    private suspend fun skipEmptyLines() {
        while (true) {
            if (bufferedCount == 0 && !fill()) return
            if (buffer[start] != CR) return
            if (bufferedCount < 2 && !fill()) return
            if (bufferedCount < 2 || buffer[start + 1] != LF) return
            start += 2
        }
    }

    private fun indexOfHeadEnd(from: Int): Int {
        for (index in start + from..end - HEAD_END_BYTES) {
            val isEnd = buffer[index] == CR && buffer[index + 1] == LF &&
                buffer[index + 2] == CR && buffer[index + 3] == LF
            if (isEnd) return index - start
        }
        return -1
    }

    private fun makeRoom() {
        if (start == end) {
            start = 0
            end = 0
        }
        if (end < buffer.size) return
        if (start > 0) {
            buffer.copyInto(buffer, 0, start, end)
            end -= start
            start = 0
        } else {
            buffer = buffer.copyOf(buffer.size * 2)
        }
    }

    private companion object {
        const val INITIAL_BYTES = 4_096
        const val MAX_LINE_BYTES = 4_096
        const val HEAD_END_BYTES = 4

        /** A caller that sends more than this before its answer is read later. */
        const val MAX_AHEAD_BYTES = 65_536
        const val CR = '\r'.code.toByte()
        const val LF = '\n'.code.toByte()
    }
}

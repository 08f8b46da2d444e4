package cowslipcart.daemon.http1

import io.ktor.utils.io.ByteReadChannel
import java.io.EOFException
import java.io.IOException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** The head or the body of a message exceeds its limit. */
internal sealed class TooLongException(message: String) : IOException(message) {
    class OfHead(maxBytes: Int) : TooLongException("head over $maxBytes bytes")

    class OfBody(maxBytes: Int) : TooLongException("body over $maxBytes bytes")
}

/** Buffered reader of the bytes of a connection. Not safe for concurrent use. */
internal class ByteSource(private val input: ByteInput) {
    constructor(channel: ByteReadChannel) : this(ChannelInput(channel))

    private var buffer = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var end = 0

    /** Whether received bytes wait to be read. */
    val hasBytes: Boolean get() = start != end || input.hasBytes

    /** Number of bytes received so far. */
    @Volatile
    var receivedBytes = 0L
        private set

    /** Whether bytes were discarded, so that the connection can't carry another message. */
    var isOverrun = false
        private set

    /** Whether the connection is open and no received bytes wait to be read. */
    val isIdle: Boolean get() = start == end && input.isIdle()

    private val bufferedCount: Int get() = end - start

    /**
     * Waits for more bytes; returns false at the end of the connection. Throws an IOException if
     * the connection was reset.
     */
    suspend fun fill(): Boolean {
        // A read does not suspend, and so is not cancelled, while the peer sends fast enough.
        currentCoroutineContext().ensureActive()
        ensureCapacity()
        val count = input.read(buffer, end, buffer.size - end)
        if (count < 0) return false
        end += count
        receivedBytes += count
        return true
    }

    /** Waits until a byte can be read; returns false if the connection ends first. */
    suspend fun awaitByte(): Boolean = bufferedCount > 0 || fill()

    /**
     * Waits until the peer closes the connection. Of the bytes that arrive meanwhile, more than
     * [MAX_PIPELINED_BYTES] are discarded: the end of the connection is found only behind them.
     */
    suspend fun awaitClose() {
        while (fill()) {
            if (bufferedCount <= MAX_PIPELINED_BYTES) continue
            isOverrun = true
            start = end
        }
    }

    /**
     * Reads a message head, without the empty line that ends it. Returns null if the connection
     * ends before its first byte. Throws [TooLongException] if the head exceeds [maxBytes], and
     * [MalformedMessageException] if more than [MAX_EMPTY_LINES] empty lines precede it.
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
                throw EOFException("connection closed within a head")
            }
        }
    }

    /** Reads a line, which must end with CR LF, and returns it without them. */
    suspend fun readLine(): String {
        var index = start
        while (true) {
            while (index < end) {
                if (buffer[index] == LF) return takeLine(index)
                index++
            }
            if (bufferedCount > MAX_LINE_BYTES) throw TooLongException.OfHead(MAX_LINE_BYTES)
            val before = index - start
            if (!fill()) throw EOFException("connection closed within a line")
            index = start + before
        }
    }

    /** Reads between 1 and [maxBytes] bytes, or returns null at the end of the connection. */
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

    /** Skips empty lines before a message, as the HTTP standard asks. */
    private suspend fun skipEmptyLines() {
        repeat(MAX_EMPTY_LINES + 1) {
            if (bufferedCount == 0 && !fill()) return
            if (buffer[start] != CR) return
            if (bufferedCount < 2 && !fill()) return
            if (bufferedCount < 2 || buffer[start + 1] != LF) return
            start += 2
        }
        throw MalformedMessageException("more than $MAX_EMPTY_LINES empty lines before a head")
    }

    private fun indexOfHeadEnd(from: Int): Int {
        for (index in start + from..end - HEAD_END_BYTES) {
            val isEnd = buffer[index] == CR && buffer[index + 1] == LF &&
                buffer[index + 2] == CR && buffer[index + 3] == LF
            if (isEnd) return index - start
        }
        return -1
    }

    private fun ensureCapacity() {
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

        /** Some peers send an empty line after a body; more of them are no message. */
        const val MAX_EMPTY_LINES = 8

        /** Limit on bytes buffered while a response is pending. */
        const val MAX_PIPELINED_BYTES = 65_536
        const val CR = '\r'.code.toByte()
        const val LF = '\n'.code.toByte()
    }
}

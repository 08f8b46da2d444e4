package cowslipcart.daemon.http1

import io.ktor.utils.io.ByteReadChannel
import java.io.EOFException
import java.io.IOException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
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

    /** Memory that the buffer takes beyond its initial size is reserved here; null for no limit. */
    var account: BufferAccount? = null

    private val bufferedCount: Int get() = end - start

    /**
     * Waits for more bytes; returns false at the end of the connection. Throws an IOException if
     * the connection was reset.
     */
    suspend fun fill(): Boolean {
        // A read does not suspend, and so is not cancelled, while the peer sends fast enough.
        currentCoroutineContext().ensureActive()
        if (!compact()) {
            account?.reserve(buffer.size)
            buffer = buffer.copyOf(buffer.size * 2)
        }
        return fillRest()
    }

    /** Reads into the rest of the buffer. */
    private suspend fun fillRest(): Boolean {
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
     * [MAX_PIPELINED_BYTES], or than there is room for, are discarded: the end of the connection is
     * found only behind them. After [maxDiscardBytes] they are read slowly.
     */
    suspend fun awaitClose(maxDiscardBytes: Long = Long.MAX_VALUE) {
        var discardedBytes = 0L
        do {
            currentCoroutineContext().ensureActive()
            if (bufferedCount > MAX_PIPELINED_BYTES || !ensureRoom()) {
                isOverrun = true
                discardedBytes += bufferedCount
                start = end
                compact()
                if (discardedBytes > maxDiscardBytes) delay(THROTTLE_MS)
            }
        } while (fillRest())
    }

    /**
     * Reads and drops what arrives until the end of the connection; returns false if that is more
     * than [maxBytes].
     */
    suspend fun discard(maxBytes: Long): Boolean {
        var discardedBytes = 0L
        isOverrun = true
        while (discardedBytes <= maxBytes) {
            discardedBytes += bufferedCount
            start = end
            if (!fill()) return true
        }
        return false
    }

    /** Gives memory back that a large message has needed. */
    fun trim() {
        if (buffer.size == INITIAL_BYTES || bufferedCount > INITIAL_BYTES) return
        buffer = buffer.copyInto(ByteArray(INITIAL_BYTES), 0, start, end)
        end -= start
        start = 0
    }

    /** Size of the buffer beyond its initial size. */
    val extraBytes: Int get() = buffer.size - INITIAL_BYTES

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

    /**
     * Reads up to [length] bytes into [target] from [offset] on, past the buffer if that is empty;
     * returns their number, or -1 at the end of the connection.
     */
    suspend fun read(target: ByteArray, offset: Int, length: Int): Int {
        if (bufferedCount > 0) {
            val count = minOf(length, bufferedCount)
            buffer.copyInto(target, offset, start, start + count)
            start += count
            return count
        }
        currentCoroutineContext().ensureActive()
        val count = input.read(target, offset, length)
        if (count > 0) receivedBytes += count
        return count
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

    /** Makes room at the end of the buffer; returns false if it is full. */
    private fun compact(): Boolean {
        if (start == end) {
            start = 0
            end = 0
        }
        if (end < buffer.size) return true
        if (start == 0) return false
        buffer.copyInto(buffer, 0, start, end)
        end -= start
        start = 0
        return true
    }

    /** Makes room at the end of the buffer; returns false if it is full and can't grow. */
    private fun ensureRoom(): Boolean {
        if (compact()) return true
        if (account?.tryReserve(buffer.size) == false) return false
        buffer = buffer.copyOf(buffer.size * 2)
        return true
    }

    private companion object {
        const val INITIAL_BYTES = 4_096
        const val MAX_LINE_BYTES = 4_096
        const val HEAD_END_BYTES = 4

        /** Some peers send an empty line after a body; more of them are no message. */
        const val MAX_EMPTY_LINES = 8

        /** Limit on bytes buffered while a response is pending. */
        const val MAX_PIPELINED_BYTES = 65_536

        /**
         * Pause after each buffer that is read from a peer that sends on without end, in ms: it
         * costs less than a hundredth of a processor, and its close is still found.
         */
        const val THROTTLE_MS = 10L
        const val CR = '\r'.code.toByte()
        const val LF = '\n'.code.toByte()
    }
}

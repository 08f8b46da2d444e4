package cowslipcart.daemon.http1

import java.io.EOFException
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

/** Reads one message body from [source] in pieces and removes its [framing]. */
internal class BodyReader(private val source: ByteSource, private val framing: BodyFraming) {
    /** Size of the body as its head states it; null if it states none. */
    val statedBytes: Long? = (framing as? BodyFraming.Length)?.bytes

    private var remainingBytes = statedBytes ?: 0

    /** Bytes of chunk extensions in the body so far. */
    private var extensionBytes = 0

    /** Whether the whole body was read. */
    var isComplete: Boolean = framing == BodyFraming.Length(0)
        private set

    /**
     * Returns the next bytes, or null at the end of the body. Throws an IOException if the
     * connection ends first or the framing is malformed.
     */
    suspend fun next(): ByteArray? {
        if (isComplete) return null
        if (framing == BodyFraming.Chunked && remainingBytes == 0L && !beginChunk()) return null
        val isUntilClose = framing == BodyFraming.UntilClose
        val maxBytes = if (isUntilClose) MAX_READ_BYTES else minOf(remainingBytes, MAX_READ_BYTES)
        val piece = source.readSome(maxBytes)
        if (piece != null) {
            endPiece(piece.size)
        } else {
            if (!isUntilClose) failOnEnd()
            isComplete = true
        }
        return piece
    }

    /**
     * Reads up to [length] bytes (at least one) of the body into [buffer] from [start] on; returns
     * their number, or -1 at the end of the body. Throws an IOException if the connection ends
     * first or the framing is malformed.
     */
    suspend fun read(buffer: ByteArray, start: Int, length: Int): Int {
        if (isComplete) return -1
        if (framing == BodyFraming.Chunked && remainingBytes == 0L && !beginChunk()) return -1
        val most = if (framing == BodyFraming.UntilClose) length.toLong() else remainingBytes
        val count = source.read(buffer, start, minOf(most, length.toLong()).toInt())
        if (count >= 0) {
            endPiece(count)
        } else {
            if (framing != BodyFraming.UntilClose) failOnEnd()
            isComplete = true
        }
        return count
    }

    /**
     * Reads the rest of the body. Throws [TooLongException] if it exceeds [maxBytes], and an
     * IOException if nothing arrives for [silenceMs]. [onRead] is called with the size of each
     * piece.
     */
    suspend fun readAll(
        maxBytes: Int,
        silenceMs: Long = Long.MAX_VALUE,
        onRead: (Int) -> Unit = {}
    ): ByteArray {
        val pieces = ArrayList<ByteArray>()
        var size = 0
        while (true) {
            val piece = nextWithin(silenceMs) ?: return joined(pieces, size)
            if (size + piece.size > maxBytes) throw TooLongException.OfBody(maxBytes)
            size += piece.size
            onRead(piece.size)
            pieces += piece
        }
    }

    private suspend fun nextWithin(silenceMs: Long): ByteArray? {
        var piece: ByteArray? = null
        withTimeoutOrNull(silenceMs) { piece = next() }
            ?: throw IOException("nothing of the body for $silenceMs ms")
        return piece
    }

    private fun joined(pieces: List<ByteArray>, size: Int): ByteArray {
        if (pieces.size == 1) return pieces.single()
        val bytes = ByteArray(size)
        var start = 0
        for (piece in pieces) {
            piece.copyInto(bytes, start)
            start += piece.size
        }
        return bytes
    }

    /**
     * Reads and drops the rest of the body. Throws [TooLongException] if it exceeds [maxBytes],
     * before it is read if its length is stated.
     */
    suspend fun skipAll(maxBytes: Int) {
        if (remainingBytes > maxBytes) throw TooLongException.OfBody(maxBytes)
        var skippedBytes = 0
        while (true) {
            skippedBytes += next()?.size ?: return
            if (skippedBytes > maxBytes) throw TooLongException.OfBody(maxBytes)
        }
    }

    /** Reads the size of the next chunk; returns false if the body ends with it. */
    private suspend fun beginChunk(): Boolean {
        remainingBytes = parseChunkSize(source.readLine())
        if (remainingBytes > 0L) return true
        skipTrailers()
        isComplete = true
        return false
    }

    /** Notes that [count] bytes of the body were read. */
    private suspend fun endPiece(count: Int) {
        if (framing == BodyFraming.UntilClose) return
        remainingBytes -= count
        if (remainingBytes > 0L) return
        if (framing != BodyFraming.Chunked) {
            isComplete = true
        } else if (source.readLine().isNotEmpty()) {
            throw MalformedMessageException("bytes after a chunk")
        }
    }

    private fun parseChunkSize(line: String): Long {
        val digits = line.substringBefore(';').trim(' ', '\t')
        extensionBytes += line.length - digits.length
        if (extensionBytes > MAX_EXTENSION_BYTES) {
            throw MalformedMessageException("over $MAX_EXTENSION_BYTES bytes of chunk extensions")
        }
        if (digits.length !in 1..MAX_SIZE_DIGITS || digits.any { it !in HEX_DIGITS }) {
            throw MalformedMessageException("chunk size")
        }
        return digits.toLong(HEX_RADIX)
    }

    private suspend fun skipTrailers() {
        repeat(MAX_TRAILERS) {
            if (source.readLine().isEmpty()) return
        }
        throw MalformedMessageException("more than $MAX_TRAILERS trailers")
    }

    private fun failOnEnd(): Nothing =
        throw EOFException("connection closed before the end of the body")

    private companion object {
        const val MAX_READ_BYTES = 65_536L
        const val MAX_TRAILERS = 32

        /** Extensions are ignored, so a body mostly of them is read for nothing. */
        const val MAX_EXTENSION_BYTES = 16_384

        /** Larger chunks exceed any limit on bodies. */
        const val MAX_SIZE_DIGITS = 8
        const val HEX_RADIX = 16
        const val HEX_DIGITS = "0123456789abcdefABCDEF"
    }
}

package cowslipcart.daemon.http1

/**
 * Reads the body of a request into pieces, each of which is reserved in [account] before it is
 * allocated. Pieces grow with what has arrived and not with the size that the caller has announced.
 */
internal class RequestBodyReader(
    private val reader: BodyReader,
    private val account: BufferAccount
) {
    private val pieces = ArrayList<ByteArray>()
    private var size = 0
    private var piece = EMPTY
    private var filledBytes = 0

    /** Reads the whole body. Throws [TooLongException] if it exceeds [maxBytes]. */
    suspend fun read(maxBytes: Int): RequestBody {
        if ((reader.statedBytes ?: 0) > maxBytes) throw TooLongException.OfBody(maxBytes)
        while (true) {
            if (filledBytes == piece.size && !startPiece(maxBytes)) break
            val count = reader.read(piece, filledBytes, piece.size - filledBytes)
            if (count < 0) break
            account.received(count)
            filledBytes += count
            size += count
            if (size > maxBytes) throw TooLongException.OfBody(maxBytes)
        }
        trimLastPiece()
        return RequestBody(pieces)
    }

    /** Adds a piece; returns false if the body is known to be complete. */
    private suspend fun startPiece(maxBytes: Int): Boolean {
        if (reader.isComplete) return false
        // One byte more than allowed shows that the body is too long.
        val mostBytes = (reader.statedBytes ?: (maxBytes + 1L)) - size
        val grownBytes = (piece.size * 2).coerceIn(MIN_PIECE_BYTES, MAX_PIECE_BYTES)
        val nextBytes = minOf(grownBytes.toLong(), mostBytes).toInt()
        account.reserve(nextBytes)
        piece = ByteArray(nextBytes)
        pieces += piece
        filledBytes = 0
        return true
    }

    private fun trimLastPiece() {
        if (filledBytes == piece.size) return
        pieces.removeLast()
        if (filledBytes > 0) pieces += piece.copyOf(filledBytes)
        account.giveBack(piece.size - filledBytes)
    }

    private companion object {
        val EMPTY = ByteArray(0)
        const val MIN_PIECE_BYTES = 4_096

        /** As much as one read or write of a socket takes. */
        const val MAX_PIECE_BYTES = 65_536
    }
}

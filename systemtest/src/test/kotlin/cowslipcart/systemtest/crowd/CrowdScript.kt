package cowslipcart.systemtest.crowd

import cowslipcart.systemtest.GatewayCluster

/** What a client of a crowd does when it has sent all its bytes. */
internal sealed interface Ending {
    /** Reads until the connection ends. */
    data object ReadsAnswers : Ending

    /** Leaves the connection open, sends nothing and reads nothing. */
    data object StaysOpen : Ending
}

/**
 * What one client of a crowd does on its connection.
 *
 * @property pieces what it sends, one write each
 * @property awaitsContinue whether it reads the head of a response after the first piece
 * @property receiveBufferBytes size of its receive buffer; null for that of the system
 */
internal class CrowdScript(
    val pieces: Sequence<ByteArray>,
    val ending: Ending,
    val awaitsContinue: Boolean = false,
    val receiveBufferBytes: Int? = null
)

/** Bytes of a request head with the lines in [framing], which end it. */
internal fun requestHead(id: String, framing: String, path: String = "/order/$id"): ByteArray {
    val head = "POST $path HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: $id\r\n" +
        "Deadline-Ms: 30000\r\nApi-Key: ${GatewayCluster.KEY}\r\n$framing\r\n"
    return head.toByteArray()
}

/** [totalBytes] of a body in pieces of [pieceBytes], which share their memory. */
internal fun bodyPieces(totalBytes: Long, pieceBytes: Int): Sequence<ByteArray> = sequence {
    val piece = filled(pieceBytes)
    repeat((totalBytes / pieceBytes).toInt()) { yield(piece) }
    val restBytes = (totalBytes % pieceBytes).toInt()
    if (restBytes > 0) yield(filled(restBytes))
}

/** A chunk of [dataBytes], framed, as often as it takes for [totalBytes] of data. */
internal fun chunks(totalBytes: Long, dataBytes: Int): Sequence<ByteArray> {
    val chunk = "%x\r\n".format(dataBytes).toByteArray() + filled(dataBytes) + "\r\n".toByteArray()
    val perPiece = maxOf(1, MAX_PIECE_BYTES / chunk.size)
    val count = totalBytes / dataBytes
    return sequence {
        val piece = repeated(chunk, perPiece)
        repeat((count / perPiece).toInt()) { yield(piece) }
        yield(repeated(chunk, (count % perPiece).toInt()))
    }
}

private fun filled(size: Int) = ByteArray(size) { 'x'.code.toByte() }

private fun repeated(bytes: ByteArray, count: Int) =
    ByteArray(bytes.size * count) { bytes[it % bytes.size] }

private const val MAX_PIECE_BYTES = 65_536

package cowslipcart.daemon.gateway

import cowslipcart.daemon.http1.CONNECTION_HEADERS
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.MessageWriter
import cowslipcart.daemon.http1.ResponseHead
import cowslipcart.daemon.http1.send
import io.ktor.utils.io.ByteWriteChannel
import java.io.IOException
import java.util.Locale

/** Tells a caller to come back after [afterMs]; the header counts in seconds. */
internal fun retryAfterHeader(afterMs: Long): Header =
    Header("Retry-After", String.format(Locale.ROOT, "%.3f", afterMs / MS_PER_S))

private const val MS_PER_S = 1_000.0

/** The caller closed its connection. */
internal class CallerLeftException : IOException("caller closed the connection")

/**
 * The answer to one request on the caller's connection. It is written once: whole, or as a stream
 * that is finished or broken off.
 */
internal class CallerAnswer(
    private val writer: ByteWriteChannel,
    private val isHeadRequest: Boolean,
    private val mustClose: () -> Boolean
) {
    /** Whether the first byte was written. */
    var isStarted = false
        private set

    /** Whether the answer is whole and the connection can carry another one. */
    var isKeptOpen = false
        private set

    /** Status that was written; 0 for none. */
    var status = 0
        private set

    /** Writes a whole answer of an endpoint. */
    suspend fun writeWhole(head: ResponseHead, body: ByteArray) {
        val isClosing = mustClose()
        val headers = passedOn(head) + Header("Content-Length", "${body.size}") +
            closeHeaders(isClosing)
        writeAll(head.status, head.reason, headers, body, isClosing)
    }

    /** Writes an answer of the gateway itself. */
    suspend fun writeOwn(status: Int, headers: List<Header> = emptyList(), close: Boolean = false) {
        val isClosing = close || mustClose()
        val all = headers + Header("Content-Length", "0") + closeHeaders(isClosing)
        writeAll(status, "", all, ByteArray(0), isClosing)
    }

    /** Writes [head] once and then [bytes] as a part of the body. */
    suspend fun writePart(head: ResponseHead, bytes: ByteArray) {
        var message = if (bytes.isEmpty()) bytes else MessageWriter.chunk(bytes)
        if (!isStarted) {
            isStarted = true
            status = head.status
            val headers = passedOn(head) + Header("Transfer-Encoding", "chunked") +
                closeHeaders(mustClose())
            message = MessageWriter.responseHead(head.status, head.reason, headers) + message
        }
        sendToCaller(message)
    }

    /** Ends a stream that is whole. */
    suspend fun finish() {
        sendToCaller(MessageWriter.LAST_CHUNK)
        isKeptOpen = !mustClose()
    }

    private suspend fun writeAll(
        status: Int,
        reason: String,
        headers: List<Header>,
        body: ByteArray,
        isClosing: Boolean
    ) {
        isStarted = true
        this.status = status
        val sent = if (isHeadRequest) ByteArray(0) else body
        sendToCaller(MessageWriter.responseHead(status, reason, headers) + sent)
        isKeptOpen = !isClosing
    }

    private suspend fun sendToCaller(message: ByteArray) {
        try {
            writer.send(message)
        } catch (_: IOException) {
            throw CallerLeftException()
        }
    }

    private fun passedOn(head: ResponseHead): List<Header> =
        head.headers.lines.filter { it.name.lowercase() !in CONNECTION_HEADERS }

    private fun closeHeaders(isClosing: Boolean): List<Header> =
        if (isClosing) listOf(Header("Connection", "close")) else emptyList()
}

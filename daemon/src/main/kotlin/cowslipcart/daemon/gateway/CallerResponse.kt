package cowslipcart.daemon.gateway

import cowslipcart.daemon.http1.ByteSink
import cowslipcart.daemon.http1.HOP_BY_HOP_HEADERS
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.MessageWriter
import cowslipcart.daemon.http1.ResponseHead
import java.io.IOException
import java.util.Locale
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** Returns a `Retry-After` header for [afterMs], in seconds with three decimals. */
internal fun retryAfterHeader(afterMs: Long): Header =
    Header("Retry-After", String.format(Locale.ROOT, "%.3f", afterMs / MS_PER_S))

private const val MS_PER_S = 1_000.0

/** The caller closed its connection. */
internal class CallerDisconnectedException : IOException("caller closed the connection")

/**
 * Writes the response to one request on the caller's connection, once: either complete, or as a
 * stream that is finished or aborted.
 *
 * @property isHeadRequest whether the body is left out, as for `HEAD`, with its chunks
 * @property mustClose whether the connection has to be closed after the response
 */
internal class CallerResponse(
    private val sink: ByteSink,
    private val isHeadRequest: Boolean,
    private val mustClose: () -> Boolean
) {
    /** Whether writing has begun, so that no other response can be sent. */
    var isStarted = false
        private set

    /** Whether the response is complete and the connection can carry another request. */
    var isConnectionReusable = false
        private set

    /** Status that was written; 0 if none. */
    var status = 0
        private set

    /** Writes a complete response of an endpoint. */
    suspend fun writeComplete(head: ResponseHead, body: ByteArray) {
        val isClosing = mustClose()
        val headers = endToEndHeaders(head) + Header("Content-Length", "${body.size}") +
            closeHeaders(isClosing)
        writeAll(head.status, head.reason, headers, body, isClosing)
    }

    /** Writes a response that the gateway itself produces, without a body. */
    suspend fun writeLocalReply(
        status: Int,
        headers: List<Header> = emptyList(),
        close: Boolean = false
    ) {
        val isClosing = close || mustClose()
        val all = headers + Header("Content-Length", "0") + closeHeaders(isClosing)
        writeAll(status, "", all, ByteArray(0), isClosing)
    }

    /** Writes [bytes] as a chunk of the body, after [head] if this is the first call. */
    suspend fun writeStreamed(head: ResponseHead, bytes: ByteArray) {
        val hasChunk = bytes.isNotEmpty() && !isHeadRequest
        var message = if (hasChunk) MessageWriter.chunk(bytes) else ByteArray(0)
        if (!isStarted) {
            isStarted = true
            status = head.status
            val headers = endToEndHeaders(head) + Header("Transfer-Encoding", "chunked") +
                closeHeaders(mustClose())
            message = MessageWriter.responseHead(head.status, head.reason, headers) + message
        }
        sendToCaller(message)
    }

    /** Ends a streamed response with its last chunk. */
    suspend fun finish() {
        if (!isHeadRequest) sendToCaller(MessageWriter.LAST_CHUNK)
        isConnectionReusable = !mustClose()
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
        isConnectionReusable = !isClosing
    }

    private suspend fun sendToCaller(message: ByteArray) {
        try {
            sink.send(message)
        } catch (_: IOException) {
            throw CallerDisconnectedException()
        } catch (_: CancellationException) {
            // A closed channel can throw this too, while the request itself is not cancelled.
            currentCoroutineContext().ensureActive()
            throw CallerDisconnectedException()
        }
    }

    private fun endToEndHeaders(head: ResponseHead): List<Header> =
        head.headers.lines.filter { it.name.lowercase() !in HOP_BY_HOP_HEADERS }

    private fun closeHeaders(isClosing: Boolean): List<Header> =
        if (isClosing) listOf(Header("Connection", "close")) else emptyList()
}

package cowslipcart.daemon.gateway

import cowslipcart.core.routing.CallerLimits
import cowslipcart.daemon.http1.BodyReader
import cowslipcart.daemon.http1.ByteSource
import cowslipcart.daemon.http1.HeadParser
import cowslipcart.daemon.http1.MalformedMessageException
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.TooLongException
import cowslipcart.daemon.http1.send
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

/** Serves the requests on one connection of a caller, one after the other. */
internal class CallerConnection(
    private val context: SessionContext,
    private val admission: CallAdmission,
    private val state: GatewayState
) {
    /** Serves [socket] until one side closes it. */
    suspend fun serve(socket: Socket) {
        val source = ByteSource(socket.openReadChannel())
        val writer = socket.openWriteChannel(autoFlush = false)
        try {
            while (serveNext(source, writer)) Unit
        } catch (_: CallerLeftException) {
            return
        } catch (e: IOException) {
            context.journal.event("caller-connection-lost", "reason" to e.message)
        } finally {
            closeQuietly(writer)
            socket.close()
        }
    }

    private suspend fun closeQuietly(writer: ByteWriteChannel) {
        try {
            writer.flushAndClose()
        } catch (e: IOException) {
            context.journal.event("caller-close-failed", "reason" to e.message)
        }
    }

    /** Serves one request; returns whether the connection can carry another. */
    private suspend fun serveNext(source: ByteSource, writer: ByteWriteChannel): Boolean {
        val limits = state.routing?.limits ?: DEFAULT_LIMITS
        if (!awaitRequest(source, limits)) return false
        val answer: CallerAnswer
        val request: ReceivedRequest
        try {
            val head = withTimeoutOrNull(limits.headerTimeoutMs) { readHead(source, limits) }
                ?: return rejectUnread(writer, REQUEST_TIMEOUT, "header-timeout")
            answer = CallerAnswer(writer, head.method == "HEAD") { mustClose(head) }
            request = ReceivedRequest(head, readBody(source, writer, head, limits))
        } catch (e: MalformedMessageException) {
            return rejectUnread(writer, BAD_REQUEST, e.message ?: "malformed")
        } catch (e: TooLongException) {
            val status = when (e) {
                is TooLongException.OfBody -> TOO_LARGE
                is TooLongException.OfHead -> HEADERS_TOO_LARGE
            }
            return rejectUnread(writer, status, e.message.orEmpty())
        }
        return answerTo(request, answer, source)
    }

    private suspend fun answerTo(
        request: ReceivedRequest,
        answer: CallerAnswer,
        source: ByteSource
    ): Boolean {
        state.activeRequests.incrementAndGet()
        try {
            state.awaitKnown()
            when (val admitted = admission.admit(request)) {
                is CallAdmission.Result.Rejected -> {
                    context.journal.rejected(
                        admitted.requestId,
                        admitted.status,
                        admitted.reason,
                        state.routing?.revision?.value
                    )
                    answer.writeOwn(admitted.status, admitted.headers)
                }

                is CallAdmission.Result.Admitted ->
                    CallSession(context, admitted.call, request, answer).serve(source)
            }
        } finally {
            state.activeRequests.decrementAndGet()
        }
        return answer.isKeptOpen
    }

    /** Waits for the first byte of a request for as long as the connection may be idle. */
    private suspend fun awaitRequest(source: ByteSource, limits: CallerLimits): Boolean {
        var isWaiting = true
        val isOpen = withTimeoutOrNull(limits.idleTimeoutMs) {
            source.awaitByte().also { isWaiting = false }
        }
        return !isWaiting && isOpen == true
    }

    private suspend fun readHead(source: ByteSource, limits: CallerLimits): RequestHead {
        val bytes = source.readHead(limits.headerBytes) ?: throw CallerLeftException()
        val head = HeadParser.parseRequest(bytes)
        if (head.headers.all("Host").size != 1) throw MalformedMessageException("malformed host")
        return head
    }

    private suspend fun readBody(
        source: ByteSource,
        writer: ByteWriteChannel,
        head: RequestHead,
        limits: CallerLimits
    ): ByteArray {
        val reader = BodyReader(source, HeadParser.requestFraming(head))
        if (head.headers.hasToken("Expect", "100-continue")) writer.send(CONTINUE)
        val body = withTimeoutOrNull(BODY_TIMEOUT_MS) { reader.readAll(limits.bodyBytes) }
        return body ?: throw IOException("body took over $BODY_TIMEOUT_MS ms")
    }

    private suspend fun rejectUnread(
        writer: ByteWriteChannel,
        status: Int,
        reason: String
    ): Boolean {
        context.journal.rejected(null, status, reason, state.routing?.revision?.value)
        CallerAnswer(writer, isHeadRequest = false) { true }.writeOwn(status, close = true)
        return false
    }

    private fun mustClose(head: RequestHead): Boolean =
        state.isStopping || head.headers.hasToken("Connection", "close")

    private companion object {
        const val REQUEST_TIMEOUT = 408
        const val BAD_REQUEST = 400
        const val TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431

        /** Longest time that a body may take to arrive, in ms. */
        const val BODY_TIMEOUT_MS = 30_000L
        val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()

        /** In force until the first configuration is known. */
        val DEFAULT_LIMITS = CallerLimits(16_384, 4_194_304, 3_000, 15_000)
    }
}

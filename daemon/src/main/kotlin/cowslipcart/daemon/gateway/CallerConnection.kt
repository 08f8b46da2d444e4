package cowslipcart.daemon.gateway

import cowslipcart.core.routing.CallerLimits
import cowslipcart.daemon.http1.BodyReader
import cowslipcart.daemon.http1.ByteSink
import cowslipcart.daemon.http1.ByteSource
import cowslipcart.daemon.http1.HeadParser
import cowslipcart.daemon.http1.MalformedMessageException
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.TooLongException
import io.ktor.network.sockets.Socket
import java.io.IOException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull

/** Serves the requests on one connection of a caller in sequence. */
internal class CallerConnection(
    private val context: SessionContext,
    private val admission: CallAdmission,
    private val state: GatewayState
) {
    /** Limits of the configuration in force. */
    private val limits: CallerLimits get() = state.routing?.limits ?: DEFAULT_LIMITS

    /** Serves [socket] until one side closes it. */
    suspend fun serve(socket: Socket) {
        val caller = CallerSocket(socket, context.openSink(socket), context.probe, context.clock)
        state.openConnections.incrementAndGet()
        try {
            while (serveNext(caller)) Unit
        } catch (_: CallerDisconnectedException) {
            return
        } catch (e: IOException) {
            context.eventLog.event("caller-connection-lost", "reason" to e.message)
        } finally {
            closeQuietly(caller.sink)
            caller.close()
            state.openConnections.decrementAndGet()
        }
    }

    private suspend fun closeQuietly(sink: ByteSink) {
        try {
            sink.finish()
        } catch (e: IOException) {
            context.eventLog.event("caller-close-failed", "reason" to e.message)
        }
    }

    /** Serves one request; returns whether the connection can carry another one. */
    private suspend fun serveNext(caller: CallerSocket): Boolean {
        val source = caller.source
        val sink = caller.sink
        if (!awaitRequest(caller)) return false
        val limits = limits
        val response: CallerResponse
        val request: BufferedRequest
        try {
            val head = withTimeoutOrNull(limits.headerTimeoutMs) { readHead(source, limits) }
                ?: return rejectAndClose(sink, REQUEST_TIMEOUT, "header-timeout")
            response = CallerResponse(sink, head.method == "HEAD") { mustClose(head, source) }
            request = BufferedRequest(head, readBody(source, sink, head, limits))
        } catch (e: MalformedMessageException) {
            return rejectAndClose(sink, BAD_REQUEST, e.message ?: "malformed")
        } catch (e: TooLongException) {
            val status = when (e) {
                is TooLongException.OfBody -> TOO_LARGE
                is TooLongException.OfHead -> HEADERS_TOO_LARGE
            }
            return rejectAndClose(sink, status, e.message.orEmpty())
        }
        return respond(request, response, caller) && !source.isOverrun
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun respond(
        request: BufferedRequest,
        response: CallerResponse,
        caller: CallerSocket
    ): Boolean {
        state.activeRequests.incrementAndGet()
        try {
            state.awaitSynced()
            admitAndServe(request, response, caller)
        } catch (e: RuntimeException) {
            currentCoroutineContext().ensureActive()
            val origin = e.stackTrace.firstOrNull()
            context.eventLog.event("request-failed", "reason" to "$e", "at" to "$origin")
            if (!response.isStarted) response.writeLocalReply(BAD_GATEWAY)
        } finally {
            state.activeRequests.decrementAndGet()
        }
        return response.isConnectionReusable
    }

    private suspend fun admitAndServe(
        request: BufferedRequest,
        response: CallerResponse,
        caller: CallerSocket
    ) = when (val admitted = admission.admit(request)) {
        is CallAdmission.Result.Rejected -> {
            val revision = state.routing?.revision?.value
            context.eventLog.rejected(
                admitted.requestId,
                admitted.status,
                admitted.reason,
                revision
            )
            response.writeLocalReply(admitted.status, admitted.headers)
        }

        is CallAdmission.Result.Admitted ->
            CallSession(context, admitted.call, request, response).serve(caller)
    }

    /**
     * Waits for the first byte of a request; returns false at the idle timeout, at the end or when
     * idle connections are closed. A longer timeout that comes into force meanwhile extends the
     * wait, since callers reuse a connection within the timeout that they know; a shorter one
     * applies to the next wait.
     */
    private suspend fun awaitRequest(caller: CallerSocket): Boolean {
        val source = caller.source
        val startMs = context.clock.nowMs()
        var timeoutMs = limits.idleTimeoutMs
        while (true) {
            val leftMs = startMs + timeoutMs - context.clock.nowMs()
            val isOpen = withTimeoutOrNull(leftMs) {
                state.readUnlessClosing { source.awaitByte() }
            }
            // Bytes that arrive with the timeout or the close are a request, whose caller waits.
            if (source.hasBytes) return true
            if (isOpen != null) return isOpen || awaitUnread(caller)
            if (limits.idleTimeoutMs <= timeoutMs) break
            timeoutMs = limits.idleTimeoutMs
        }
        if (awaitUnread(caller)) return true
        context.eventLog.event("caller-connection-idle", "idleMs" to timeoutMs)
        return false
    }

    /**
     * Reads what waits in the kernel before a connection is closed: its caller has sent a request,
     * and closing would reset the connection. Returns whether there was anything.
     */
    private suspend fun awaitUnread(caller: CallerSocket): Boolean {
        if (caller.isClosed || !caller.hasUnreadBytes()) return false
        return withTimeoutOrNull(UNREAD_MS) { caller.source.awaitByte() } ?: false
    }

    private suspend fun readHead(source: ByteSource, limits: CallerLimits): RequestHead {
        val bytes = source.readHead(limits.headerBytes) ?: throw CallerDisconnectedException()
        val head = HeadParser.parseRequest(bytes)
        if (head.headers.all("Host").size != 1) throw MalformedMessageException("malformed host")
        return head
    }

    private suspend fun readBody(
        source: ByteSource,
        sink: ByteSink,
        head: RequestHead,
        limits: CallerLimits
    ): ByteArray {
        val reader = BodyReader(source, HeadParser.requestFraming(head))
        if (head.headers.hasToken("Expect", "100-continue")) sink.send(CONTINUE)
        val body = withTimeoutOrNull(BODY_TIMEOUT_MS) { reader.readAll(limits.bodyBytes) }
        return body ?: throw IOException("body not received within $BODY_TIMEOUT_MS ms")
    }

    /** Rejects a request whose bytes can't be read to the end, so the connection must close. */
    private suspend fun rejectAndClose(sink: ByteSink, status: Int, reason: String): Boolean {
        context.eventLog.rejected(null, status, reason, state.routing?.revision?.value)
        CallerResponse(sink, isHeadRequest = false) { true }.writeLocalReply(status, close = true)
        return false
    }

    private fun mustClose(head: RequestHead, source: ByteSource): Boolean =
        state.isStopping || source.isOverrun || head.headers.hasToken("Connection", "close")

    private companion object {
        const val BAD_GATEWAY = 502
        const val REQUEST_TIMEOUT = 408
        const val BAD_REQUEST = 400
        const val TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431

        /** Time in which a busy host reads what has arrived in the kernel, in ms. */
        const val UNREAD_MS = 200L

        /** Time limit for receiving a body, in ms. */
        const val BODY_TIMEOUT_MS = 30_000L
        val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()

        /** Limits in force until the first configuration is loaded. */
        val DEFAULT_LIMITS = CallerLimits(16_384, 4_194_304, 3_000, 15_000)
    }
}

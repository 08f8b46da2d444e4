package cowslipcart.daemon.gateway

import cowslipcart.core.routing.CallerLimits
import cowslipcart.daemon.http1.BodyReader
import cowslipcart.daemon.http1.ByteSink
import cowslipcart.daemon.http1.ByteSource
import cowslipcart.daemon.http1.HeadParser
import cowslipcart.daemon.http1.MalformedMessageException
import cowslipcart.daemon.http1.RequestBody
import cowslipcart.daemon.http1.RequestBodyReader
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

    /** Takes [socket] in, or closes it and returns null if there are too many. */
    suspend fun open(socket: Socket): CallerIntake.ConnectionSlot? {
        var slot: CallerIntake.ConnectionSlot? = null
        try {
            slot = context.intake.openConnection()
            return slot
        } finally {
            if (slot == null) socket.close()
        }
    }

    /** Serves [socket] until one side closes it. */
    suspend fun serve(socket: Socket, slot: CallerIntake.ConnectionSlot) {
        try {
            serveRequests(socket, slot)
        } finally {
            slot.onClosed()
        }
    }

    private suspend fun serveRequests(socket: Socket, slot: CallerIntake.ConnectionSlot) {
        val caller = CallerSocket(
            socket,
            context.openSink(socket),
            context.openInput,
            context.probe,
            context.clock,
            context.intake.limits.discardBytes
        )
        state.openConnections.incrementAndGet()
        try {
            while (serveNext(caller, slot)) Unit
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
    private suspend fun serveNext(
        caller: CallerSocket,
        slot: CallerIntake.ConnectionSlot
    ): Boolean {
        if (!awaitRequest(caller, slot)) return false
        val hold = context.intake.openHold(caller.address)
        slot.onReading(hold)
        val refusal = try {
            when (val read = readRequest(caller, hold)) {
                is ReadRequest.Whole -> {
                    slot.onServing()
                    return respond(read, caller, slot) && !caller.source.isOverrun
                }

                is ReadRequest.Refused -> read
            }
        } finally {
            caller.source.account = null
            caller.source.trim()
            hold.release()
            slot.onIdle()
        }
        rejectAndClose(caller, slot, refusal)
        return false
    }

    /** What has become of the bytes of a request. */
    private sealed interface ReadRequest {
        class Whole(val request: BufferedRequest) : ReadRequest

        /** The request can't be read to its end, so the connection must close. */
        class Refused(val status: Int, val reason: String, val isForWantOfRoom: Boolean = false) :
            ReadRequest
    }

    private suspend fun readRequest(caller: CallerSocket, hold: IntakeHold): ReadRequest {
        val limits = limits
        val source = caller.source
        return try {
            // Bytes of this request may have come while the answer to the previous one was due.
            if (source.extraBytes > 0) hold.reserve(source.extraBytes)
            source.account = hold
            val head = hold.read(limits.headerTimeoutMs) { readHead(source, limits, hold) }
                ?: return ReadRequest.Refused(REQUEST_TIMEOUT, "header-timeout")
            val body = hold.read(BODY_TIMEOUT_MS) { readBody(caller, head, limits, hold) }
                ?: return ReadRequest.Refused(REQUEST_TIMEOUT, "body-timeout")
            hold.complete()
            ReadRequest.Whole(BufferedRequest(head, body))
        } catch (e: IntakeRefusedException) {
            ReadRequest.Refused(UNAVAILABLE, e.reason.text, isForWantOfRoom = true)
        } catch (e: MalformedMessageException) {
            ReadRequest.Refused(BAD_REQUEST, e.message ?: "malformed")
        } catch (e: TooLongException) {
            val status = when (e) {
                is TooLongException.OfBody -> TOO_LARGE
                is TooLongException.OfHead -> HEADERS_TOO_LARGE
            }
            ReadRequest.Refused(status, e.message.orEmpty())
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun respond(
        read: ReadRequest.Whole,
        caller: CallerSocket,
        slot: CallerIntake.ConnectionSlot
    ): Boolean {
        val request = read.request
        val head = request.head
        val response = CallerResponse(caller.sink, head.method == "HEAD") {
            slot.closing.isCompleted || mustClose(head, caller.source)
        }
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
    private suspend fun awaitRequest(
        caller: CallerSocket,
        slot: CallerIntake.ConnectionSlot
    ): Boolean {
        val source = caller.source
        val startMs = context.clock.nowMs()
        var timeoutMs = limits.idleTimeoutMs
        while (true) {
            val leftMs = startMs + timeoutMs - context.clock.nowMs()
            val isOpen = withTimeoutOrNull(leftMs) {
                state.readUnlessClosing(slot.closing) { source.awaitByte() }
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

    private suspend fun readHead(
        source: ByteSource,
        limits: CallerLimits,
        hold: IntakeHold
    ): RequestHead {
        val bytes = source.readHead(limits.headerBytes) ?: throw CallerDisconnectedException()
        hold.reserve(parsedBytes(bytes))
        val head = HeadParser.parseRequest(bytes)
        if (head.headers.all("Host").size != 1) throw MalformedMessageException("malformed host")
        return head
    }

    /**
     * Returns a bound on the memory of a parsed head: its text twice, and objects for each header
     * and for each entry of a list.
     */
    private fun parsedBytes(head: ByteArray): Int =
        2 * head.size + OBJECT_BYTES * head.count { it == LINE_FEED || it == COMMA }

    private suspend fun readBody(
        caller: CallerSocket,
        head: RequestHead,
        limits: CallerLimits,
        hold: IntakeHold
    ): RequestBody {
        val reader = BodyReader(caller.source, HeadParser.requestFraming(head))
        if (head.headers.hasToken("Expect", "100-continue")) caller.sink.send(CONTINUE)
        return RequestBodyReader(reader, hold).read(limits.bodyBytes)
    }

    /**
     * Rejects a request whose bytes can't be read to the end. Some of what its caller sends on is
     * dropped, since it would not get the answer if the connection were reset.
     */
    private suspend fun rejectAndClose(
        caller: CallerSocket,
        slot: CallerIntake.ConnectionSlot,
        refusal: ReadRequest.Refused
    ) {
        val status = refusal.status
        if (refusal.isForWantOfRoom) {
            // Logged once a second by the limit, since there may be thousands of them.
            context.metrics.countRejection(status, refusal.reason)
        } else {
            val revision = state.routing?.revision?.value
            context.eventLog.rejected(null, status, refusal.reason, revision)
        }
        val headers =
            if (refusal.isForWantOfRoom) listOf(retryAfterHeader(RETRY_AFTER_MS)) else emptyList()
        CallerResponse(caller.sink, isHeadRequest = false) { true }
            .writeLocalReply(status, headers, close = true)
        closeQuietly(caller.sink)
        if (caller.isClosed) return
        val maxBytes = context.intake.limits.discardBytes
        withTimeoutOrNull(DISCARD_MS) {
            state.readUnlessClosing(slot.closing) {
                if (!caller.source.discard(maxBytes)) context.intake.strike("discarded-bytes")
                true
            }
        }
    }

    private fun mustClose(head: RequestHead, source: ByteSource): Boolean =
        state.isStopping || source.isOverrun || head.headers.hasToken("Connection", "close")

    private companion object {
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val REQUEST_TIMEOUT = 408
        const val BAD_REQUEST = 400
        const val TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431

        /** Time in which a busy host reads what has arrived in the kernel, in ms. */
        const val UNREAD_MS = 200L

        /** Time limit for receiving a body, in ms. */
        const val BODY_TIMEOUT_MS = 30_000L

        /** Time in which a refused caller may read its answer and stop sending, in ms. */
        const val DISCARD_MS = 1_000L

        /** Time after which a request that found no room is welcome again, in ms. */
        const val RETRY_AFTER_MS = 500L

        /** A header or an entry of a list, with its texts. */
        const val OBJECT_BYTES = 160
        const val LINE_FEED = '\n'.code.toByte()
        const val COMMA = ','.code.toByte()
        val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()

        /** Limits in force until the first configuration is loaded. */
        val DEFAULT_LIMITS = CallerLimits(16_384, 4_194_304, 3_000, 15_000)
    }
}

package cowslipcart.daemon.gateway

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.DeclineReason
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.routing.WorkKind
import cowslipcart.core.routing.isRetryable
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.BodyFraming
import cowslipcart.daemon.http1.BodyReader
import cowslipcart.daemon.http1.HeadParser
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.MessageWriter
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.ResponseHead
import java.io.EOFException
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeoutOrNull

/** Wraps the result of a read, so that a null result differs from a timeout. */
private class ReadResult<T>(val value: T)

/** Runs attempts: sends a request to an endpoint and receives its response. */
internal class EndpointExchange(
    private val connections: EndpointConnections,
    private val headerCodec: HeaderCodec,
    private val clock: RuntimeClock,
    private val budget: BufferBudget = BufferBudget(MAX_BUFFERED_BYTES)
) {
    private val activity = EndpointActivity(clock)
    private val quietEndpoints = QuietEndpoints(clock)

    /** Returns the account for the responses to one request. */
    fun openBuffers(): BufferBudget.Owner = budget.Owner()

    /**
     * Runs one attempt. Events of a stream go to [relay] as they arrive; any other response is
     * returned, and counts in [buffers] until these are released. The connection to the endpoint is
     * closed before a replaced attempt returns. Throws [CallerDisconnectedException] if the caller
     * can't be written to; failures of the endpoint are returned as an outcome.
     */
    suspend fun run(
        call: ForwardedCall,
        request: BufferedRequest,
        dispatch: CallCommand.Send,
        relay: StreamRelay,
        caller: CallerMonitor,
        listener: AttemptListener,
        buffers: BufferBudget.Owner
    ): ExchangeResult {
        val endpoint = dispatch.endpoint
        val connection =
            connect(call, dispatch, listener).getOrElse { return ExchangeResult(it) }
        var isReusable = false
        val attempt = Attempt(call, request, dispatch, relay, listener, connection, buffers)
        val closing = caller.onClose { connection.abort() }
        try {
            caller.confirmOpen()
            if (clock.nowMs() > dispatch.validUntilMs || endpoint in quietEndpoints) {
                return ExchangeResult(AttemptOutcome.Withheld)
            }
            val result = attempt.run()
            closing.dispose()
            val reusableHead = attempt.reusableHead
            if (reusableHead != null && !caller.isClosed) {
                isReusable = true
                connections.release(endpoint, connection, reusableHead)
            }
            return result
        } catch (e: CallerDisconnectedException) {
            throw e
        } catch (_: CancellationException) {
            // A closed channel can throw this too, while the attempt itself is not cancelled.
            currentCoroutineContext().ensureActive()
            if (caller.isClosed) throw CallerDisconnectedException()
            return ExchangeResult(
                AttemptOutcome.Broken("connection cancelled", isConnectionLost = true)
            )
        } catch (e: AttemptReplacedException) {
            return ExchangeResult(AttemptOutcome.Replaced(e.message.orEmpty()))
        } catch (e: IOException) {
            if (caller.isClosed) throw CallerDisconnectedException()
            val reason = e.message ?: e.javaClass.simpleName
            return ExchangeResult(
                AttemptOutcome.Broken(reason, e.isConnectionLost, attempt.isAnswerBegun)
            )
        } finally {
            closing.dispose()
            if (!isReusable) connection.abort()
        }
    }

    /** Returns an idle or a new connection for [dispatch], by its relay if it names one. */
    private suspend fun connect(
        call: ForwardedCall,
        dispatch: CallCommand.Send,
        listener: AttemptListener
    ): Either<AttemptOutcome.NotSent, ServerConnection> {
        val maxIdleMs = if (call.route.kind.isRetryable) Long.MAX_VALUE else AT_MOST_ONCE_IDLE_MS
        val connection = try {
            connections.acquire(dispatch.endpoint, maxIdleMs, dispatch.relay)
        } catch (e: RelayLostException) {
            val reason = "relay ${dispatch.relay}: ${e.message}"
            return AttemptOutcome.NotSent(reason, isRelayLost = true).left()
        } ?: return AttemptOutcome.NotSent("no connection").left()
        if (connection.relay == null && connection.useCount == 0) listener.onConnected()
        return connection.right()
    }

    private inner class Attempt(
        private val call: ForwardedCall,
        private val request: BufferedRequest,
        private val dispatch: CallCommand.Send,
        private val relay: StreamRelay,
        private val listener: AttemptListener,
        private val connection: ServerConnection,
        private val buffers: BufferBudget.Owner
    ) {
        private val endpoint = dispatch.endpoint

        /** Head of the response if the connection can be reused; null otherwise. */
        var reusableHead: ResponseHead? = null
            private set

        /** Whether the head of the answer has arrived. */
        var isAnswerBegun = false
            private set

        private lateinit var sending: Job
        private var isSent = false

        suspend fun run(): ExchangeResult = coroutineScope {
            sending = launch(start = CoroutineStart.UNDISPATCHED) { send() }
            try {
                receive()
            } finally {
                sending.cancel()
            }
        }

        /**
         * Fails if the end of the connection does not show the end of an answer: the endpoint has
         * closed it before it had the whole request, which may have discarded a part of the answer.
         */
        private suspend fun confirmEnd(isFramed: Boolean) {
            if (isFramed) return
            withTimeoutOrNull(SEND_END_MS) { sending.join() }
            if (!isSent) throw EOFException("connection closed while the request was sent")
        }

        /** Closes the connection if sending fails, so that receiving fails too. */
        private suspend fun send() {
            try {
                val metadata = ForwardingMetadata(
                    endpoint,
                    call.organisation,
                    call.deadlineAtMs - clock.nowMs(),
                    relay.lastEventId
                )
                val headers = headerCodec.endpointHeaders(request.head, metadata) + lengthHeader()
                val head = MessageWriter.requestHead(
                    request.head.method,
                    request.head.target,
                    headers
                )
                connection.send(head, request.body)
                isSent = true
            } catch (_: IOException) {
                connection.abort()
            } catch (_: CancellationException) {
                currentCoroutineContext().ensureActive()
                connection.abort()
            }
        }

        private fun lengthHeader(): List<Header> {
            val isNeeded = request.body.size > 0 || request.head.method !in BODILESS_METHODS
            return if (isNeeded) {
                listOf(
                    Header("Content-Length", "${request.body.size}")
                )
            } else {
                emptyList()
            }
        }

        private suspend fun receive(): ExchangeResult {
            repeat(MAX_MISMATCHED_RESPONSES) {
                val head = withInactivityTimeout("no response") { readHead() }
                val metadata = headerCodec.decodeResponse(head)
                if (metadata.isLeaving) listener.onLeaving()
                listener.onLoadStated(metadata.load)
                metadata.declineLimitPerS?.let { listener.onDeclineLimit(it) }
                val framing = HeadParser.responseFraming(head, request.head.method)
                val reader = BodyReader(connection.source, framing)
                val isFirstOnConnection = it == 0 && connection.useCount == 0
                when (ResponseOwner.of(metadata.requestId, call.requestId, isFirstOnConnection)) {
                    ResponseOwner.OtherRequest -> skip(framing, reader)

                    ResponseOwner.Unknown -> fail("response without a request id")

                    ResponseOwner.ThisRequest -> {
                        isAnswerBegun = true
                        val isFramed = framing != BodyFraming.UntilClose
                        val result = receiveOwn(head, metadata, reader, isFramed)
                        if (isFramed && sending.isCompleted && it == 0) reusableHead = head
                        return result
                    }
                }
            }
            fail("only responses to other requests")
        }

        private suspend fun skip(framing: BodyFraming, reader: BodyReader) {
            if (framing == BodyFraming.UntilClose) {
                fail("response to another request without a length")
            }
            reader.skipAll(MAX_RESPONSE_BYTES)
        }

        private suspend fun receiveOwn(
            head: ResponseHead,
            metadata: ResponseMetadata,
            reader: BodyReader,
            isFramed: Boolean
        ): ExchangeResult = when {
            metadata.isDeclined -> receiveDecline(head, metadata, reader)
            head.headers["Content-Encoding"] != null -> fail("unsupported content encoding")
            isRelayed(head, metadata) -> receiveStream(head, reader, isFramed)
            else -> receiveComplete(head, metadata, reader, isFramed)
        }

        /**
         * Whether the events of the response are forwarded as they arrive. A request that may be
         * hedged gets its response from one of two attempts, so that has to be complete first.
         */
        private fun isRelayed(head: ResponseHead, metadata: ResponseMetadata): Boolean =
            call.route.kind != WorkKind.Idempotent && isEventStream(head) && isAuthentic(metadata)

        private fun isAuthentic(metadata: ResponseMetadata): Boolean =
            metadata.isSigned && metadata.requestId == call.requestId

        private suspend fun readHead(): ResponseHead {
            repeat(MAX_INTERIM_RESPONSES + 1) {
                val bytes = connection.source.readHead(MAX_HEAD_BYTES)
                    ?: throw EOFException("connection closed")
                val head = HeadParser.parseResponse(bytes)
                if (head.status >= FIRST_FINAL_STATUS) return head
            }
            fail("more than $MAX_INTERIM_RESPONSES interim responses")
        }

        private suspend fun receiveDecline(
            head: ResponseHead,
            metadata: ResponseMetadata,
            reader: BodyReader
        ): ExchangeResult {
            onBackoff(metadata.backoff)
            reader.skipAll(MAX_DECLINE_BYTES)
            val reason = when (head.status) {
                WRONG_ENDPOINT_STATUS -> DeclineReason.WRONG_ENDPOINT
                else -> DeclineReason.FULL
            }
            return ExchangeResult(AttemptOutcome.Declined(reason))
        }

        /** Control is told first, so that it has the wish before an attempt that is withheld. */
        private fun onBackoff(request: BackoffRequest) {
            listener.onBackoff(request)
            quietEndpoints.onAnswer(endpoint, request)
        }

        private suspend fun receiveComplete(
            head: ResponseHead,
            metadata: ResponseMetadata,
            reader: BodyReader,
            isFramed: Boolean
        ): ExchangeResult {
            onBackoff(metadata.backoff)
            val body = withInactivityTimeout("response stalled") { readBody(reader) }
            val isSuccess = head.status < FIRST_FAILURE_STATUS
            if (isSuccess && !isAuthentic(metadata)) fail("unsigned response")
            if (isSuccess) confirmEnd(isFramed)
            if (isSuccess && !isFramed && body.isEmpty()) fail("neither a body nor its length")
            if (relay.isStarted) fail("response is no stream although events were forwarded")
            if (head.status in NOT_EXECUTED_STATUSES) fail("status ${head.status} without decline")
            val response = BufferedResponse(head, body)
            if (!isSuccess && head.status >= FIRST_SERVER_ERROR) {
                return ExchangeResult(AttemptOutcome.Answered(isSuccess = false), response)
            }
            listener.onResponseStarted()
            return ExchangeResult(AttemptOutcome.Answered(isSuccess = true), response)
        }

        private suspend fun readBody(reader: BodyReader): ByteArray {
            val reservation = buffers.begin()
            var isWhole = false
            try {
                val body = reader.readAll(MAX_RESPONSE_BYTES) { reservation.add(it) }
                isWhole = true
                return body
            } finally {
                if (!isWhole) reservation.release()
            }
        }

        private suspend fun receiveStream(
            head: ResponseHead,
            reader: BodyReader,
            isFramed: Boolean
        ): ExchangeResult {
            listener.onAccepted()
            relay.begin(head, endpoint.version)
            var hasEvent = false
            while (withInactivityTimeout("stream stalled") { readEvents(reader) }) {
                relay.forward()
                if (!hasEvent) listener.onResponseStarted()
                hasEvent = true
            }
            confirmEnd(isFramed)
            relay.finish(isFramed)
            return ExchangeResult(AttemptOutcome.Answered(isSuccess = true))
        }

        /**
         * Reads until at least one event is complete; returns false at the end of the stream. Bytes
         * that complete no event are no progress.
         */
        private suspend fun readEvents(reader: BodyReader): Boolean {
            while (true) {
                val piece = reader.next() ?: return false
                if (relay.add(piece)) return true
            }
        }

        /**
         * Runs [read] and reports a stall if it takes too long. This needs another attempt to be
         * left. An endpoint that is active on other connections of this host has most likely only
         * queued the request, and a retry elsewhere would process its prompt twice; it gets more
         * time, but not for ever, since single connections can fall silent for good.
         */
        private suspend fun <T> withInactivityTimeout(failure: String, read: suspend () -> T): T {
            val limitMs = inactivityTimeoutMs()
            if (limitMs == null) return read().also { activity.onBytes(endpoint.id) }
            return supervisorScope {
                val reading = async { read() }
                var waitedMs: Long = limitMs
                var result = awaitOrReplace(reading, limitMs, failure)
                while (result == null) {
                    val isPatient = waitedMs < limitMs + limitMs / EXTENSION_DIVISOR
                    if (!isPatient || !activity.isActive(endpoint.id)) listener.onStalled()
                    result = awaitOrReplace(reading, STALL_REPEAT_MS, failure)
                    waitedMs += STALL_REPEAT_MS
                }
                activity.onBytes(endpoint.id)
                result.value
            }
        }

        /** Returns the result of [reading], or null after [waitMs]. */
        @OptIn(ExperimentalCoroutinesApi::class)
        private suspend fun <T> awaitOrReplace(
            reading: Deferred<T>,
            waitMs: Long,
            failure: String
        ): ReadResult<T>? = select {
            reading.onAwait { ReadResult(it) }
            listener.replaced.onJoin { throw AttemptReplacedException("$failure, replaced") }
            onTimeout(waitMs) { null }
        }

        /** Returns the longest time without bytes, in ms; null if the attempt has no limit. */
        private fun inactivityTimeoutMs(): Long? {
            if (dispatch.attempt >= call.route.maxAttempts) return null
            return when (val kind = call.route.kind) {
                WorkKind.AtMostOnce -> null
                WorkKind.Idempotent -> (call.deadlineAtMs - call.arrivedAtMs) / 2
                is WorkKind.EventStream -> if (kind.isResumable) STREAM_INACTIVITY_MS else null
            }
        }
    }

    private fun isEventStream(head: ResponseHead): Boolean = head.status == OK_STATUS &&
        head.headers["Content-Type"]?.startsWith("text/event-stream") == true

    private fun fail(message: String): Nothing = throw InvalidResponseException(message)

    companion object {
        /** Less than a quarter of the heap of a gateway, 72 MB. */
        const val MAX_BUFFERED_BYTES = 16L * 1_024 * 1_024

        private const val MAX_HEAD_BYTES = 16_384
        private const val MAX_RESPONSE_BYTES = 8 * 1_024 * 1_024

        /** A refusal has a short explanation at most. */
        private const val MAX_DECLINE_BYTES = 65_536
        private const val MAX_INTERIM_RESPONSES = 8
        private const val MAX_MISMATCHED_RESPONSES = 4
        private const val OK_STATUS = 200
        private const val FIRST_FINAL_STATUS = 200
        private const val FIRST_FAILURE_STATUS = 300
        private const val FIRST_SERVER_ERROR = 500
        private const val WRONG_ENDPOINT_STATUS = 421

        /**
         * Statuses that tell the caller that its request was not executed. Without a decline of the
         * endpoint that is not known, so they are not forwarded.
         */
        private val NOT_EXECUTED_STATUSES = setOf(408, 421, 429, 503)
        private val BODILESS_METHODS = setOf("GET", "HEAD", "DELETE", "OPTIONS")

        /**
         * Longest idle time of a connection for requests that may be executed at most once, in ms.
         * If the endpoint closes an older connection while the request is in flight, the request
         * fails, since it can't be retried.
         */
        private const val AT_MOST_ONCE_IDLE_MS = 3_000L

        /** The end of the last write may be noticed after the answer to it, in ms. */
        private const val SEND_END_MS = 100L

        /** Half of the gap after which callers abandon a stream, in ms. */
        private const val STREAM_INACTIVITY_MS = 1_300L

        /**
         * Interval at which a stall is reported again, since another endpoint may be free, in ms.
         */
        private const val STALL_REPEAT_MS = 200L

        /** An endpoint that is active on other connections gets a quarter more time. */
        private const val EXTENSION_DIVISOR = 4
    }
}

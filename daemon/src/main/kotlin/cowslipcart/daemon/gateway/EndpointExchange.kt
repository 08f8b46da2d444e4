package cowslipcart.daemon.gateway

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
import cowslipcart.daemon.http1.MalformedMessageException
import cowslipcart.daemon.http1.MessageWriter
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.ResponseHead
import cowslipcart.daemon.http1.TooLongException
import cowslipcart.daemon.http1.send
import io.ktor.utils.io.ClosedByteChannelException
import java.io.EOFException
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** A request of a caller with its whole body. */
internal class BufferedRequest(val head: RequestHead, val body: ByteArray)

/** A response of an endpoint that was read to its end and not yet forwarded. */
internal class BufferedResponse(val head: ResponseHead, val body: ByteArray)

/** How an attempt ended, with the response of the endpoint if it was not streamed. */
internal class ExchangeResult(val outcome: AttemptOutcome, val response: BufferedResponse? = null)

/** Wraps the result of a read, so that a null result differs from a timeout. */
private class ReadResult<T>(val value: T)

/** The response is incomplete, not authenticated or not valid for its request. */
private class InvalidResponseException(message: String) : IOException(message)

/** Runs attempts: sends a request to an endpoint and receives its response. */
internal class EndpointExchange(
    private val connections: EndpointConnections,
    private val headerCodec: HeaderCodec,
    private val clock: RuntimeClock
) {
    private val activity = EndpointActivity(clock)

    /**
     * Runs one attempt. Events of a stream go to [relay] as they arrive; any other response is
     * returned. [onResponseStarted] is called once the endpoint has sent the first event of a
     * stream, or the whole of another response.
     * Throws [CallerDisconnectedException] if the caller can't be written to; failures of the
     * endpoint are returned as an outcome.
     */
    suspend fun run(
        call: ForwardedCall,
        request: BufferedRequest,
        dispatch: CallCommand.Dispatch,
        relay: StreamRelay,
        onResponseStarted: () -> Unit
    ): ExchangeResult {
        val endpoint = dispatch.endpoint
        val maxIdleMs = if (call.route.kind.isRetryable) Long.MAX_VALUE else AT_MOST_ONCE_IDLE_MS
        val connection = connections.acquire(endpoint, maxIdleMs)
            ?: return ExchangeResult(AttemptOutcome.NotSent("no connection"))
        var isReusable = false
        val attempt = Attempt(call, request, dispatch, relay, onResponseStarted, connection)
        try {
            val result = attempt.run()
            attempt.reusableHead?.let { head ->
                isReusable = true
                connections.release(endpoint, connection, head)
            }
            return result
        } catch (e: CallerDisconnectedException) {
            throw e
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            val reason = e.message ?: e.javaClass.simpleName
            return ExchangeResult(
                AttemptOutcome.Broken(reason, isConnectionLost(e), attempt.isAnswerBegun)
            )
        } finally {
            if (!isReusable) connection.close()
        }
    }

    private inner class Attempt(
        private val call: ForwardedCall,
        private val request: BufferedRequest,
        private val dispatch: CallCommand.Dispatch,
        private val relay: StreamRelay,
        private val onResponseStarted: () -> Unit,
        private val connection: ServerConnection
    ) {
        private val endpoint = dispatch.endpoint

        /** Head of the response if the connection can be reused; null otherwise. */
        var reusableHead: ResponseHead? = null
            private set

        /** Whether the head of the answer has arrived. */
        var isAnswerBegun = false
            private set

        suspend fun run(): ExchangeResult = coroutineScope {
            val sending = launch { send() }
            try {
                receive(sending)
            } finally {
                sending.cancel()
            }
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
                connection.writer.send(head + request.body)
            } catch (_: IOException) {
                connection.close()
            } catch (_: ClosedByteChannelException) {
                connection.close()
            }
        }

        private fun lengthHeader(): List<Header> {
            val isNeeded = request.body.isNotEmpty() || request.head.method !in BODILESS_METHODS
            return if (isNeeded) {
                listOf(
                    Header("Content-Length", "${request.body.size}")
                )
            } else {
                emptyList()
            }
        }

        private suspend fun receive(sending: Job): ExchangeResult {
            repeat(MAX_MISMATCHED_RESPONSES) {
                val head = withInactivityTimeout("no response") { readHead() }
                val metadata = headerCodec.decodeResponse(head)
                val framing = HeadParser.responseFraming(head, request.head.method)
                val reader = BodyReader(connection.source, framing)
                if (metadata.requestId != null && metadata.requestId != call.requestId) {
                    if (framing ==
                        BodyFraming.UntilClose
                    ) {
                        fail("response to another request without a length")
                    }
                    reader.readAll(MAX_RESPONSE_BYTES)
                    return@repeat
                }
                isAnswerBegun = true
                val result = when {
                    metadata.isDeclined -> receiveDecline(head, reader)

                    head.headers["Content-Encoding"] != null -> fail("unsupported content encoding")

                    isEventStream(head) && isAuthentic(metadata) ->
                        receiveStream(head, reader, isFramed = framing != BodyFraming.UntilClose)

                    else -> receiveComplete(head, metadata, reader)
                }
                val canReuse = framing != BodyFraming.UntilClose && sending.isCompleted && it == 0
                if (canReuse) reusableHead = head
                return result
            }
            fail("only responses to other requests")
        }

        private fun isAuthentic(metadata: ResponseMetadata): Boolean =
            metadata.isSigned && metadata.requestId == call.requestId

        private suspend fun readHead(): ResponseHead {
            while (true) {
                val bytes = connection.source.readHead(MAX_HEAD_BYTES)
                    ?: throw EOFException("connection closed")
                val head = HeadParser.parseResponse(bytes)
                if (head.status >= FIRST_FINAL_STATUS) return head
            }
        }

        private suspend fun receiveDecline(head: ResponseHead, reader: BodyReader): ExchangeResult {
            reader.readAll(MAX_RESPONSE_BYTES)
            val reason = when (head.status) {
                WRONG_ENDPOINT_STATUS -> DeclineReason.WRONG_ENDPOINT
                else -> DeclineReason.FULL
            }
            return ExchangeResult(AttemptOutcome.Declined(reason))
        }

        private suspend fun receiveComplete(
            head: ResponseHead,
            metadata: ResponseMetadata,
            reader: BodyReader
        ): ExchangeResult {
            val body =
                withInactivityTimeout("response stalled") { reader.readAll(MAX_RESPONSE_BYTES) }
            val isSuccess = head.status < FIRST_FAILURE_STATUS
            if (isSuccess && !isAuthentic(metadata)) fail("unsigned response")
            if (relay.isStarted) fail("response is no stream although events were forwarded")
            if (head.status in NOT_EXECUTED_STATUSES) fail("status ${head.status} without decline")
            val response = BufferedResponse(head, body)
            if (!isSuccess && head.status >= FIRST_SERVER_ERROR) {
                return ExchangeResult(AttemptOutcome.Answered(isSuccess = false), response)
            }
            onResponseStarted()
            return ExchangeResult(AttemptOutcome.Answered(isSuccess = true), response)
        }

        private suspend fun receiveStream(
            head: ResponseHead,
            reader: BodyReader,
            isFramed: Boolean
        ): ExchangeResult {
            relay.begin(head)
            var hasEvent = false
            while (true) {
                val piece = withInactivityTimeout("stream stalled") { reader.next() } ?: break
                val isEventComplete = relay.onBytes(piece)
                if (isEventComplete && !hasEvent) onResponseStarted()
                hasEvent = hasEvent || isEventComplete
            }
            relay.finish(isFramed)
            return ExchangeResult(AttemptOutcome.Answered(isSuccess = true))
        }

        /**
         * Runs [read] and fails the attempt if the endpoint sends nothing for too long. This needs
         * another attempt to be left, and the endpoint to be inactive on all connections of this
         * host. An active endpoint has only queued the request; a retry elsewhere would process
         * its prompt twice.
         */
        private suspend fun <T> withInactivityTimeout(failure: String, read: suspend () -> T): T {
            val limitMs = inactivityTimeoutMs()
            if (limitMs == null) return read().also { activity.onBytes(endpoint.id) }
            return coroutineScope {
                val reading = async { read() }
                var result = withTimeoutOrNull(limitMs) { ReadResult(reading.await()) }
                while (result == null) {
                    if (!activity.isActive(endpoint.id)) fail("$failure for $limitMs ms")
                    result = withTimeoutOrNull(limitMs) { ReadResult(reading.await()) }
                }
                activity.onBytes(endpoint.id)
                result.value
            }
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

    /** Whether the endpoint ended the connection; otherwise it sent nothing or a wrong answer. */
    private fun isConnectionLost(failure: IOException): Boolean = when (failure) {
        is InvalidResponseException, is EventOrderException -> false
        is MalformedMessageException, is TooLongException -> false
        else -> true
    }

    private fun isEventStream(head: ResponseHead): Boolean = head.status == OK_STATUS &&
        head.headers["Content-Type"]?.startsWith("text/event-stream") == true

    private fun fail(message: String): Nothing = throw InvalidResponseException(message)

    private companion object {
        const val MAX_HEAD_BYTES = 16_384
        const val MAX_RESPONSE_BYTES = 8 * 1_024 * 1_024
        const val MAX_MISMATCHED_RESPONSES = 4
        const val OK_STATUS = 200
        const val FIRST_FINAL_STATUS = 200
        const val FIRST_FAILURE_STATUS = 300
        const val FIRST_SERVER_ERROR = 500
        const val WRONG_ENDPOINT_STATUS = 421

        /**
         * Statuses that tell the caller that its request was not executed. Without a decline of the
         * endpoint that is not known, so they are not forwarded.
         */
        val NOT_EXECUTED_STATUSES = setOf(408, 421, 429, 503)
        val BODILESS_METHODS = setOf("GET", "HEAD", "DELETE", "OPTIONS")

        /**
         * Longest idle time of a connection for requests that may be executed at most once, in ms.
         * If the endpoint closes an older connection while the request is in flight, the request
         * fails, since it can't be retried.
         */
        const val AT_MOST_ONCE_IDLE_MS = 3_000L

        /** Half of the gap after which callers abandon a stream, in ms. */
        const val STREAM_INACTIVITY_MS = 1_300L
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.DeclineReason
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.routing.WorkKind
import cowslipcart.core.routing.isRepeatable
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.BodyFraming
import cowslipcart.daemon.http1.BodyReader
import cowslipcart.daemon.http1.HeadParser
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.MessageWriter
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.ResponseHead
import cowslipcart.daemon.http1.send
import io.ktor.utils.io.ClosedByteChannelException
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** A request of a caller as it was read. */
internal class ReceivedRequest(val head: RequestHead, val body: ByteArray)

/** An answer that was read whole and not yet passed on. */
internal class HeldAnswer(val head: ResponseHead, val body: ByteArray)

/** How an attempt ended, with the endpoint's failure if it sent one. */
internal class ExchangeResult(val outcome: AttemptOutcome, val held: HeldAnswer? = null)

/** Tells a read of null from a timeout. */
private class ReadResult<T>(val value: T)

/** The answer cannot be trusted or is not whole. */
private class BrokenAnswerException(message: String) : IOException(message)

/** Sends one request to one endpoint and passes its answer on. */
internal class EndpointExchange(
    private val connections: EndpointConnections,
    private val dialect: EdgeDialect,
    private val clock: RuntimeClock
) {
    private val activity = EndpointActivity(clock)

    /** Runs one attempt; [relay] receives the events of a stream. */
    suspend fun run(
        call: ForwardedCall,
        request: ReceivedRequest,
        dispatch: CallCommand.Dispatch,
        relay: StreamRelay,
        onAnswering: () -> Unit
    ): ExchangeResult {
        val endpoint = dispatch.endpoint
        val maxIdleMs = if (call.route.kind.isRepeatable) Long.MAX_VALUE else MAX_IDLE_ONCE_MS
        val connection = connections.take(endpoint, maxIdleMs)
            ?: return ExchangeResult(AttemptOutcome.NotSent("no connection"))
        var isReusable = false
        try {
            val attempt = Attempt(call, request, dispatch, relay, onAnswering, connection)
            val result = attempt.run()
            attempt.reusableHead?.let { head ->
                isReusable = true
                connections.keep(endpoint, connection, head)
            }
            return result
        } catch (e: CallerLeftException) {
            throw e
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            return ExchangeResult(AttemptOutcome.Broken(e.message ?: e.javaClass.simpleName))
        } finally {
            if (!isReusable) connection.close()
        }
    }

    private inner class Attempt(
        private val call: ForwardedCall,
        private val request: ReceivedRequest,
        private val dispatch: CallCommand.Dispatch,
        private val relay: StreamRelay,
        private val onAnswering: () -> Unit,
        private val connection: ServerConnection
    ) {
        private val endpoint = dispatch.endpoint

        /** Head of the answer if the connection can be used again. */
        var reusableHead: ResponseHead? = null
            private set

        suspend fun run(): ExchangeResult = coroutineScope {
            val sending = launch { send() }
            try {
                receive(sending)
            } finally {
                sending.cancel()
            }
        }

        /** A failure to send shows as a failure to receive. */
        private suspend fun send() {
            try {
                val facts = SendingFacts(
                    endpoint,
                    call.organisation,
                    call.givenUpAtMs - clock.nowMs(),
                    relay.lastEventId
                )
                val headers = dialect.endpointHeaders(request.head, facts) + lengthHeader()
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
            repeat(MAX_FOREIGN_ANSWERS) {
                val head = withSilenceLimit("no answer") { readHead() }
                val facts = dialect.decodeAnswer(head)
                val framing = HeadParser.responseFraming(head, request.head.method)
                val reader = BodyReader(connection.source, framing)
                if (facts.requestId != null && facts.requestId != call.requestId) {
                    if (framing ==
                        BodyFraming.UntilClose
                    ) {
                        broken("unframed answer to another request")
                    }
                    reader.readAll(MAX_ANSWER_BYTES)
                    return@repeat
                }
                val result = when {
                    facts.isDeclined -> decline(head, reader)
                    head.headers["Content-Encoding"] != null -> broken("encoded answer")
                    isEventStream(head) && isOwn(facts) -> stream(head, reader)
                    else -> whole(head, facts, reader)
                }
                val isClean = framing != BodyFraming.UntilClose && sending.isCompleted && it == 0
                if (isClean) reusableHead = head
                return result
            }
            broken("only answers to other requests")
        }

        private fun isOwn(facts: AnswerFacts): Boolean =
            facts.isSigned && facts.requestId == call.requestId

        private suspend fun readHead(): ResponseHead {
            while (true) {
                val bytes =
                    connection.source.readHead(MAX_HEAD_BYTES) ?: broken("connection closed")
                val head = HeadParser.parseResponse(bytes)
                if (head.status >= FIRST_FINAL_STATUS) return head
            }
        }

        private suspend fun decline(head: ResponseHead, reader: BodyReader): ExchangeResult {
            reader.readAll(MAX_ANSWER_BYTES)
            val reason = when (head.status) {
                WRONG_ENDPOINT_STATUS -> DeclineReason.WRONG_ENDPOINT
                else -> DeclineReason.FULL
            }
            return ExchangeResult(AttemptOutcome.Declined(reason))
        }

        private suspend fun whole(
            head: ResponseHead,
            facts: AnswerFacts,
            reader: BodyReader
        ): ExchangeResult {
            val body = withSilenceLimit("answer broke off") { reader.readAll(MAX_ANSWER_BYTES) }
            val isSuccess = head.status < FIRST_FAILURE_STATUS
            if (isSuccess && !isOwn(facts)) broken("unsigned answer")
            if (relay.isStarted) broken("plain answer within a stream")
            if (head.status in PROMISING_STATUSES) broken("status ${head.status} after a run")
            val held = HeldAnswer(head, body)
            if (!isSuccess && head.status >= FIRST_SERVER_ERROR) {
                return ExchangeResult(AttemptOutcome.Answered(isSuccess = false), held)
            }
            onAnswering()
            return ExchangeResult(AttemptOutcome.Answered(isSuccess = true), held)
        }

        private suspend fun stream(head: ResponseHead, reader: BodyReader): ExchangeResult {
            relay.begin(head)
            var isFirst = true
            while (true) {
                val piece = withSilenceLimit("stream silent") { reader.next() } ?: break
                if (isFirst) onAnswering()
                isFirst = false
                relay.onBytes(piece)
            }
            relay.finish()
            return ExchangeResult(AttemptOutcome.Answered(isSuccess = true))
        }

        /**
         * Ends an attempt that is silent for long, but only while another endpoint may be asked
         * and this one is silent towards all requests of this host. An endpoint that answers others
         * has queued the request; sent elsewhere, its prompt would be read twice.
         */
        private suspend fun <T> withSilenceLimit(what: String, read: suspend () -> T): T {
            val limitMs = silenceLimitMs()
            if (limitMs == null) return read().also { activity.onBytes(endpoint.id) }
            return coroutineScope {
                val reading = async { read() }
                var result = withTimeoutOrNull(limitMs) { ReadResult(reading.await()) }
                while (result == null) {
                    if (!activity.isActive(endpoint.id)) broken("$what for $limitMs ms")
                    result = withTimeoutOrNull(limitMs) { ReadResult(reading.await()) }
                }
                activity.onBytes(endpoint.id)
                result.value
            }
        }

        private fun silenceLimitMs(): Long? {
            if (dispatch.attempt >= call.route.maxAttempts) return null
            return when (val kind = call.route.kind) {
                WorkKind.AtMostOnce -> null
                WorkKind.Idempotent -> (call.givenUpAtMs - call.arrivedAtMs) / 2
                is WorkKind.EventStream -> if (kind.isResumable) STREAM_SILENCE_MS else null
            }
        }
    }

    private fun isEventStream(head: ResponseHead): Boolean = head.status == OK_STATUS &&
        head.headers["Content-Type"]?.startsWith("text/event-stream") == true

    private fun broken(message: String): Nothing = throw BrokenAnswerException(message)

    private companion object {
        const val MAX_HEAD_BYTES = 16_384
        const val MAX_ANSWER_BYTES = 8 * 1_024 * 1_024
        const val MAX_FOREIGN_ANSWERS = 4
        const val OK_STATUS = 200
        const val FIRST_FINAL_STATUS = 200
        const val FIRST_FAILURE_STATUS = 300
        const val FIRST_SERVER_ERROR = 500
        const val WRONG_ENDPOINT_STATUS = 421

        /** Statuses that tell the caller that its request has not run. */
        val PROMISING_STATUSES = setOf(408, 421, 429, 503)
        val BODILESS_METHODS = setOf("GET", "HEAD", "DELETE", "OPTIONS")

        /**
         * A connection that was idle for longer may be closed by the endpoint while the request is
         * under way, which ends a request that may run once only, in ms.
         */
        const val MAX_IDLE_ONCE_MS = 3_000L

        /** Half of the gap after which callers abandon a stream, in ms. */
        const val STREAM_SILENCE_MS = 1_300L
    }
}

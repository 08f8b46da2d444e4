package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.readRequest
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.resetOnClose
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.send
import cowslipcart.daemon.http1.Headers
import cowslipcart.daemon.http1.RequestHead
import io.ktor.network.selector.SelectorManager
import io.ktor.utils.io.ByteChannel
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Guards against a request that ends without an answer, since its attempt ends by an exception. */
class EndpointExchangeTest {
    private val clock = RuntimeClock()
    private val selector = SelectorManager(Dispatchers.IO)
    private val exchange =
        EndpointExchange(EndpointConnections(selector, clock) { 1 }, BareHeaderCodec, clock)

    @AfterTest
    fun stop() = selector.close()

    /** Runs an attempt with [bodyBytes] at an endpoint that follows [script]. */
    private fun outcomeOf(
        kind: WorkKind,
        bodyBytes: Int,
        validUntilMs: Long = Long.MAX_VALUE,
        script: (Socket) -> Unit
    ): AttemptOutcome = ScriptedEndpoint(script).use { endpoint ->
        runBlocking(Dispatchers.IO) {
            val head = RequestHead("POST", "/a/", Headers(emptyList()))
            val request = BufferedRequest(head, ByteArray(bodyBytes))
            val response =
                CallerResponse(ChannelSink(ByteChannel()), isHeadRequest = false) { false }
            val dispatch = CallCommand.Dispatch(endpoint.entry("e"), 1, validUntilMs)
            val relay = StreamRelay(response, clock)
            val call = sampleCall(kind, clock.nowMs())
            val buffers = exchange.openBuffers()
            exchange.run(call, request, dispatch, relay, OpenCaller, SilentListener, buffers)
                .outcome
        }
    }

    /** Checks the outcome if [script] ends with a close or a reset, for each way of reading. */
    private fun assertBroken(bodyBytes: Int = 0, script: Socket.() -> Unit) {
        for (kind in listOf(WorkKind.AtMostOnce, WorkKind.Idempotent)) {
            for (isReset in listOf(false, true)) {
                repeat(REPETITIONS) {
                    val outcome = outcomeOf(kind, bodyBytes) { socket ->
                        if (isReset) socket.resetOnClose()
                        socket.script()
                    }
                    assertIs<AttemptOutcome.Broken>(outcome)
                }
            }
        }
    }

    @Nested
    inner class ConnectionLost {
        /** A reset that arrives first counts as a failed connection: no byte was sent. */
        @Test
        fun `before the request is read`() = repeat(REPETITIONS) {
            for (bodyBytes in listOf(0, LARGE_BYTES)) {
                val outcome = outcomeOf(WorkKind.Idempotent, bodyBytes) { it.resetOnClose() }
                assertTrue(
                    outcome is AttemptOutcome.Broken || outcome is AttemptOutcome.NotSent,
                    "found $outcome"
                )
            }
        }

        @Test
        fun `in the middle of the request`() = assertBroken(LARGE_BYTES) {
            readRequest(LARGE_BYTES / 2)
        }

        @Test
        fun `after the request`() = assertBroken { readRequest(0) }

        @Test
        fun `in the head of the response`() = assertBroken {
            readRequest(0)
            send("HTTP/1.1 200 O")
        }

        @Test
        fun `after the head of the response`() = assertBroken {
            readRequest(0)
            send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
        }

        @Test
        fun `in the body of the response`() = assertBroken {
            readRequest(0)
            send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
        }

        @Test
        fun `in a stream`() = assertBroken {
            readRequest(0)
            send("$STREAM_HEAD${chunk("id: 1\ndata: x\n\n")}${chunk("id: 2\n")}")
        }

        @Test
        fun `in a stream while the request is still being sent`() = assertBroken(LARGE_BYTES) {
            readRequest(LARGE_BYTES / 2)
            send("$STREAM_HEAD${chunk("id: 1\ndata: x\n\n")}")
        }
    }

    @Nested
    inner class OutOfDate {
        /** Guards against a request that a delayed host sends by an outdated decision. */
        @Test
        fun `a request whose decision is out of date is not sent`() {
            var receivedBytes = 0
            val outcome = outcomeOf(WorkKind.AtMostOnce, bodyBytes = 10, validUntilMs = -1) {
                receivedBytes = runCatching { it.getInputStream().readAllBytes().size }
                    .getOrDefault(0)
            }
            assertEquals(AttemptOutcome.Withheld, outcome)
            assertEquals(0, receivedBytes)
        }
    }

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private companion object {
        const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"

        /** Exceeds the buffers of the sockets, so that the sender waits. */
        const val LARGE_BYTES = 8 * 1_024 * 1_024

        /** Whether the sender or the receiver notices the loss first differs from run to run. */
        const val REPETITIONS = 5
    }
}

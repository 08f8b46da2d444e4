package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.gateway.TestHeaderCodec.DECLINED
import cowslipcart.daemon.gateway.TestHeaderCodec.REQUEST_ID
import cowslipcart.daemon.gateway.TestHeaderCodec.SIGNATURE
import java.io.OutputStream
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Nested

/** Guards against an endpoint that sends bytes without end and keeps its connection and memory. */
class EndlessResponseTest {
    private val stream = WorkKind.EventStream(isResumable = true, gapTargetMs = 250)

    private fun OutputStream.text(text: String) = write(text.toByteArray())

    private fun OutputStream.endless(text: String) {
        val bytes = text.repeat(maxOf(1, PIECE_BYTES / text.length)).toByteArray()
        while (true) write(bytes)
    }

    private fun signed(id: String) = "HTTP/1.1 200 OK\r\n$REQUEST_ID: $id\r\n$SIGNATURE: s\r\n"

    /** Expects a broken attempt and a closed connection although [respond] never ends. */
    private fun assertBroken(
        kind: WorkKind = WorkKind.Idempotent,
        respond: OutputStream.(ReceivedRequest) -> Unit
    ): Unit = ExchangeFixture(respond = respond).use { fixture ->
        runBlocking {
            val running = CoroutineScope(Dispatchers.IO).async { fixture.run("r1", kind) }
            val result = withTimeoutOrNull(BOUND_MS) { running.await() }
            assertIs<AttemptOutcome.Broken>(result?.outcome, "within $BOUND_MS ms")
            assertTrue(fixture.endpoint.awaitClosed(BOUND_MS), "connection is open")
        }
    }

    @Nested
    inner class Heads {
        @Test
        fun `an endless header line`() = assertBroken {
            text("HTTP/1.1 200 OK\r\nX: ")
            endless("a")
        }

        @Test
        fun `endless header lines`() = assertBroken {
            text("HTTP/1.1 200 OK\r\n")
            endless("X: a\r\n")
        }

        @Test
        fun `endless empty lines before a head`() = assertBroken { endless("\r\n") }

        @Test
        fun `endless interim responses`() = assertBroken { endless("HTTP/1.1 102 P\r\n\r\n") }

        @Test
        fun `endless responses to other requests`() = assertBroken {
            endless("HTTP/1.1 200 OK\r\n$REQUEST_ID: other\r\nContent-Length: 1\r\n\r\nx")
        }
    }

    @Nested
    inner class Bodies {
        @Test
        fun `a body without a length`() = assertBroken {
            text("${signed(it.id)}\r\n")
            endless("x")
        }

        @Test
        fun `an endless line with the size of a chunk`() = assertBroken {
            text("${signed(it.id)}Transfer-Encoding: chunked\r\n\r\n")
            endless("0")
        }

        @Test
        fun `endless chunk extensions`() = assertBroken {
            text("${signed(it.id)}Transfer-Encoding: chunked\r\n\r\n")
            endless("1;${"e".repeat(EXTENSION_BYTES)}\r\nx\r\n")
        }

        @Test
        fun `endless trailers`() = assertBroken {
            text("${signed(it.id)}Transfer-Encoding: chunked\r\n\r\n0\r\n")
            endless("X: a\r\n")
        }

        @Test
        fun `the body of a response to another request`() = assertBroken {
            text("HTTP/1.1 200 OK\r\n$REQUEST_ID: other\r\nContent-Length: 99999999999\r\n\r\n")
            endless("x")
        }

        @Test
        fun `the body of a refusal`() = assertBroken {
            text("HTTP/1.1 503 Full\r\n$REQUEST_ID: ${it.id}\r\n$DECLINED: 1\r\n\r\n")
            endless("x")
        }
    }

    @Nested
    inner class Streams {
        private val head = "Content-Type: text/event-stream\r\n\r\n"

        /** An event without an end filled the heap; each piece also copied all pieces before it. */
        @Test
        fun `an event without an end`() = assertBroken(stream) {
            text(signed(it.id) + head)
            endless("data: x\n")
        }

        /** Guards against reading on, for nobody, after the caller has left. */
        @Test
        fun `the connection is closed at once when the caller leaves`() {
            val fixture = ExchangeFixture {
                text(signed(it.id) + head)
                endless("id: 1\ndata: x\n\n")
            }
            fixture.use {
                runBlocking {
                    val running = launch(Dispatchers.IO) { fixture.run("r1", stream) }
                    delay(SETTLE_MS)
                    running.cancelAndJoin()
                    assertTrue(fixture.endpoint.awaitClosed(CLOSE_MS), "connection is open")
                }
            }
        }
    }

    @Nested
    inner class Callers {
        /** Guards against a request that is sent on, and runs, after its caller has left. */
        @Test
        fun `a body is not sent on when the caller leaves before the endpoint reads it`() {
            ExchangeFixture { }.use { fixture ->
                fixture.endpoint.pauseReading()
                runBlocking {
                    val running = launch(Dispatchers.IO) {
                        fixture.run("r1", body = ByteArray(BODY_BYTES))
                    }
                    delay(SETTLE_MS)
                    running.cancelAndJoin()
                    delay(SETTLE_MS)
                    val receivedBytes = fixture.endpoint.resumeReading()
                    assertTrue(receivedBytes < BODY_BYTES, "found $receivedBytes bytes")
                }
            }
        }
    }

    @Nested
    inner class Memory {
        /** Guards against endless bodies that together exceed the heap of a gateway. */
        @Test
        fun `many endless bodies at once stay within a common bound`() {
            val fixture = ExchangeFixture {
                text("${signed(it.id)}\r\n")
                endless("x")
            }
            fixture.use {
                runBlocking(Dispatchers.IO) {
                    val outcomes = (1..CONCURRENT).map { async { fixture.run("r$it").outcome } }
                        .awaitAll().map { assertIs<AttemptOutcome.Broken>(it).reason }
                    val expected = "responses over ${EndpointExchange.MAX_BUFFERED_BYTES} bytes"
                    assertTrue(outcomes.any { it.startsWith(expected) }, "found $outcomes")
                }
            }
        }
    }

    private companion object {
        const val BOUND_MS = 8_000L
        const val SETTLE_MS = 200L
        const val CLOSE_MS = 1_000L
        const val PIECE_BYTES = 4_096
        const val EXTENSION_BYTES = 1_000
        const val CONCURRENT = 13

        /** Far above what the buffers of two sockets hold. */
        const val BODY_BYTES = 40_000_000
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.ForwardingSettings
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.createForwardingController
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.readRequest
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.resetOnClose
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.send
import java.net.Socket
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against answers that break off and reach the caller as if they were whole. */
class BrokenAnswerTest {
    private val harness = SessionHarness()

    @AfterTest
    fun stop() = harness.close()

    /** Returns all bytes that the caller of a request of [kind] gets from [endpoints]. */
    private fun received(kind: WorkKind, vararg endpoints: ScriptedEndpoint): String {
        val host = HostId("host-1")
        val profile = HostProfile("a", 1.0)
        val settings = ForwardingSettings(host, IncarnationId(1), profile, true, 0.2, 100)
        val controller = createForwardingController(settings, Random(1))
        val entries = endpoints.mapIndexed { index, endpoint -> endpoint.entry("e$index") }
        controller.handle(ForwardingInput.EndpointsChanged(entries), 0)
        return harness.response(kind, controller)
    }

    /** Returns what the caller gets if the only endpoint sends [text] and closes or resets. */
    private fun receivedAfter(kind: WorkKind, text: String, isReset: Boolean): String {
        val script = { socket: Socket ->
            socket.readRequest(0)
            if (isReset) socket.resetOnClose()
            socket.send(text)
        }
        return ScriptedEndpoint(script).use { received(kind, it) }
    }

    private fun assertNotWhole(kind: WorkKind, answer: String, cuts: IntRange) {
        for (isReset in listOf(false, true)) {
            for (cut in cuts) {
                val received = receivedAfter(kind, answer.take(cut), isReset)
                val isSuccess = received.startsWith("HTTP/1.1 200")
                val description = "cut at $cut, reset $isReset: $received"
                assertTrue(received.isNotEmpty(), description)
                assertFalse(isSuccess && "content-length" in received.lowercase(), description)
                assertFalse(isSuccess && received.endsWith(LAST_CHUNK), description)
            }
        }
    }

    @Nested
    inner class EachByte {
        @Test
        fun `an answer with a length`() {
            val answer = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\nbody"
            assertNotWhole(WorkKind.AtMostOnce, answer, 0 until answer.length)
        }

        @Test
        fun `an answer in chunks`() {
            val answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "4\r\nbody\r\n$LAST_CHUNK"
            assertNotWhole(WorkKind.AtMostOnce, answer, 0 until answer.length)
        }

        /**
         * Behind the head the end of the connection is the end of the answer, unless it is empty.
         */
        @Test
        fun `an answer without a length`() {
            val head = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n"
            assertNotWhole(WorkKind.AtMostOnce, head + "body", 0..head.length)
        }

        @Test
        fun `a stream in chunks`() {
            val answer =
                STREAM_HEAD + CHUNKED + "\r\n" + chunk(event(1)) + chunk(event(2)) + LAST_CHUNK
            val kind = WorkKind.EventStream(isResumable = false, GAP_TARGET_MS)
            assertNotWhole(kind, answer, 0 until answer.length)
        }

        /** A stream without a length may end with its connection between two events only. */
        @Test
        fun `a stream without a length`() {
            val head = "$STREAM_HEAD\r\n"
            val kind = WorkKind.EventStream(isResumable = false, GAP_TARGET_MS)
            assertNotWhole(kind, head + event(1), 0 until head.length + event(1).length)
            val second = head.length + event(1).length
            assertNotWhole(
                kind,
                head + event(1) + event(2),
                second + 1 until second + event(2).length
            )
        }
    }

    /** The stream begins at one endpoint and breaks off; the next one sends no stream. */
    @Nested
    inner class NextEndpoint {
        private val kind = WorkKind.EventStream(isResumable = true, GAP_TARGET_MS)

        private fun receivedFrom(second: String): String {
            val first = { socket: Socket ->
                socket.readRequest(0)
                socket.send("$STREAM_HEAD$CHUNKED\r\n${chunk(event(1))}")
                Thread.sleep(SETTLE_MS)
            }
            val next = { socket: Socket ->
                socket.readRequest(0)
                socket.send(second)
            }
            // Whichever endpoint gets the request first begins the stream.
            var hasBegun = false
            val script = { socket: Socket ->
                if (hasBegun) {
                    next(socket)
                } else {
                    hasBegun = true
                    first(socket)
                }
            }
            return ScriptedEndpoint(script).use { one ->
                ScriptedEndpoint(script).use { other -> received(kind, one, other) }
            }
        }

        private fun assertOnlyFirstEvent(second: String) {
            val received = receivedFrom(second)
            val body = received.substringAfter("\r\n\r\n")
            assertTrue(received.startsWith("HTTP/1.1 200"), received)
            assertEquals(chunk(event(1)), body, "after '$second'")
        }

        @Test
        fun `an error of the next endpoint is not in the stream`() {
            val body = "an error of the next endpoint"
            for (status in listOf(400, 404, 429, 500, 502, 503, 504)) {
                assertOnlyFirstEvent(
                    "HTTP/1.1 $status Failed\r\nContent-Length: ${body.length}\r\n\r\n$body"
                )
            }
        }

        @Test
        fun `a complete answer of the next endpoint is not in the stream`() =
            assertOnlyFirstEvent("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")

        @Test
        fun `a head that breaks off ends the stream as broken`() {
            val head = "$STREAM_HEAD$CHUNKED\r\n"
            for (cut in 0 until head.length) assertOnlyFirstEvent(head.take(cut))
        }

        @Test
        fun `bytes that are no answer end the stream as broken`() =
            assertOnlyFirstEvent("no answer at all\r\n\r\n")

        @Test
        fun `the next events complete the stream`() {
            val received = receivedFrom("$STREAM_HEAD$CHUNKED\r\n${chunk(event(2))}$LAST_CHUNK")
            assertTrue(received.endsWith(chunk(event(2)) + LAST_CHUNK), received)
        }
    }

    private fun event(id: Int) = "id: $id\ndata: x\n\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private companion object {
        const val LAST_CHUNK = "0\r\n\r\n"
        const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        const val CHUNKED = "Transfer-Encoding: chunked\r\n"
        const val GAP_TARGET_MS = 250L

        /** Time in which the gateway forwards what it got before the connection ends, in ms. */
        const val SETTLE_MS = 20L
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.ForwardingSettings
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.createForwardingController
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.readRequest
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.send
import cowslipcart.daemon.http1.ResponseHead
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against streams that are cut off although their endpoint was only silent for a while. */
class StalledStreamTest {
    private val harness = SessionHarness()
    private val requestCount = AtomicInteger()

    @AfterTest
    fun stop() = harness.close()

    /** Sends event 1, and the rest after [silenceMs] if the endpoint has the first request. */
    private fun stream(socket: Socket, silenceMs: Long) {
        socket.readRequest(0)
        val isFirst = requestCount.incrementAndGet() == 1
        socket.send(STREAM_HEAD + event(1))
        if (isFirst) Thread.sleep(silenceMs)
        // The caller of the gateway may have closed the connection meanwhile.
        runCatching { socket.send(event(2) + event(END) + "0\r\n\r\n") }
    }

    /** Serves the first request as [stream] does, and declines the second after [delayMs]. */
    private fun streamOrDecline(socket: Socket, delayMs: Long = 0) {
        if (requestCount.get() == 0) return stream(socket, SILENCE_MS)
        socket.readRequest(0)
        requestCount.incrementAndGet()
        Thread.sleep(delayMs)
        socket.send("HTTP/1.1 $DECLINED_STATUS Status\r\nContent-Length: 0\r\n\r\n")
    }

    private val decliningCodec = object : HeaderCodec by BareHeaderCodec {
        override fun decodeResponse(head: ResponseHead) =
            ResponseMetadata(BareHeaderCodec.REQUEST_ID, true, head.status == DECLINED_STATUS)
    }

    private fun event(id: Int): String {
        val text = "id: $id\ndata: x\n\n"
        return "${text.length.toString(16)}\r\n$text\r\n"
    }

    /** Returns what the caller of a stream gets from [endpoints]. */
    private fun response(vararg endpoints: ScriptedEndpoint): String {
        val host = HostId("host-1")
        val profile = HostProfile("a", 1.0)
        val settings = ForwardingSettings(host, IncarnationId(1), profile, true, 0.2, 100)
        val controller = createForwardingController(settings, Random(1))
        val entries = endpoints.mapIndexed { index, endpoint -> endpoint.entry("e$index") }
        controller.handle(ForwardingInput.EndpointsChanged(entries), 0)
        return harness.response(
            WorkKind.EventStream(true, GAP_TARGET_MS),
            controller,
            decliningCodec
        )
    }

    private fun assertComplete(response: String) {
        val ids = Regex("id: (\\d+)").findAll(response).map { it.groupValues[1].toInt() }
        assertEquals((1..END).toList(), ids.toList())
        assertTrue(response.endsWith("0\r\n\r\n"), response)
    }

    @Nested
    inner class Silence {
        @Test
        fun `a stream goes on after a silence if no other endpoint can take over`() =
            ScriptedEndpoint({ stream(it, SILENCE_MS) }).use { assertComplete(response(it)) }

        @Test
        fun `a stream goes on after a silence if the other endpoint declines`() {
            val first = ScriptedEndpoint({ streamOrDecline(it) })
            val second = ScriptedEndpoint({ streamOrDecline(it) })
            first.use { second.use { assertComplete(response(first, second)) } }
            assertEquals(2, requestCount.get())
        }

        /** Guards against silence of the other endpoint that is taken for its acceptance. */
        @Test
        fun `a stream goes on after a silence if the other endpoint declines late`() {
            val first = ScriptedEndpoint({ streamOrDecline(it, LATE_DECLINE_MS) })
            val second = ScriptedEndpoint({ streamOrDecline(it, LATE_DECLINE_MS) })
            first.use { second.use { assertComplete(response(first, second)) } }
            assertEquals(2, requestCount.get())
        }

        @Test
        fun `another endpoint takes over a stream while its endpoint is silent`() {
            val first = ScriptedEndpoint({ stream(it, LONG_SILENCE_MS) })
            val second = ScriptedEndpoint({ stream(it, LONG_SILENCE_MS) })
            first.use { second.use { assertComplete(response(first, second)) } }
            assertEquals(2, requestCount.get())
        }
    }

    @Nested
    inner class Trickle {
        /** Sends event 1, and then the bytes of event 2 so slowly that it never ends. */
        private fun trickle(socket: Socket) {
            socket.readRequest(0)
            if (requestCount.incrementAndGet() > 1) return finish(socket)
            socket.send(STREAM_HEAD + event(1))
            val bytes = event(2)
            // The gateway closes the connection when another endpoint takes over.
            runCatching {
                for (index in 0 until LONG_SILENCE_MS / TRICKLE_GAP_MS) {
                    socket.send(bytes.substring(index.toInt() % bytes.length).take(1))
                    Thread.sleep(TRICKLE_GAP_MS)
                }
            }
        }

        private fun finish(socket: Socket) =
            socket.send(STREAM_HEAD + event(1) + event(2) + event(END) + "0\r\n\r\n")

        /** Guards against a stalled stream that counts as sound for a byte now and then. */
        @Test
        fun `another endpoint takes over a stream whose endpoint sends a byte now and then`() {
            val first = ScriptedEndpoint({ trickle(it) })
            val second = ScriptedEndpoint({ trickle(it) })
            first.use { second.use { assertComplete(response(first, second)) } }
            assertEquals(2, requestCount.get())
        }
    }

    private companion object {
        /** Time between two bytes of an event that never ends, in ms. */
        const val TRICKLE_GAP_MS = 200L

        /** Exceeds the time after which a stream counts as stalled, in ms. */
        const val SILENCE_MS = 2_000L

        /** Time that an endpoint queues a request before it declines it, in ms. */
        const val LATE_DECLINE_MS = 400L

        /** Exceeds the time that the request may take, in ms. */
        const val LONG_SILENCE_MS = 12_000L
        const val DECLINED_STATUS = 503
        const val GAP_TARGET_MS = 250L
        const val END = 3
        const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"
    }
}

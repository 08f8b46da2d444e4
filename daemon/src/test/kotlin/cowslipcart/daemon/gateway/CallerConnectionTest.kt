package cowslipcart.daemon.gateway

import cowslipcart.core.model.Revision
import cowslipcart.core.routing.CallerLimits
import cowslipcart.core.routing.RoutingTable
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.ChannelInput
import cowslipcart.daemon.http1.RequestHead
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Nested

@OptIn(ExperimentalCoroutinesApi::class)
class CallerConnectionTest {
    private val state = GatewayState().apply { areEndpointsLoaded = true }
    private val selector = SelectorManager(Dispatchers.IO)

    private var admissionCodec: HeaderCodec = BareHeaderCodec

    @AfterTest
    fun stop() = selector.close()

    /** Puts a configuration without routes in force. */
    private fun configure(idleTimeoutMs: Long, bodyBytes: Int = 10) {
        state.routing = RoutingTable(
            Revision((state.routing?.revision?.value ?: 0) + 1),
            emptyList(),
            emptyList(),
            emptyMap(),
            CallerLimits(16_384, bodyBytes, 1_000, idleTimeoutMs),
            requiresKey = false
        )
    }

    private fun TestScope.createConnection(): CallerConnection {
        val clock = RuntimeClock(testTimeSource)
        val metrics = GatewayMetrics()
        val eventLog = GatewayEventLog(clock, metrics)
        val loop = ForwardingLoop(IdleController(), clock, eventLog, metrics) { _, _ -> }
        val connections = EndpointConnections(selector, clock) { 1 }
        val exchange = EndpointExchange(connections, BareHeaderCodec, clock)
        val context = SessionContext(
            loop,
            exchange,
            eventLog,
            metrics,
            clock,
            { false },
            openInput = { socket, _ -> ChannelInput(socket.openReadChannel()) },
            openSink = { ChannelSink(it.openWriteChannel()) }
        )
        val admission = CallAdmission(admissionCodec, state, clock, Random(1))
        return CallerConnection(context, admission, state)
    }

    /** Returns the status line that a caller gets that does [actions] on a new connection. */
    private fun statusLine(actions: suspend (InMemorySocket) -> Unit): String {
        var received = ""
        runTest {
            val socket = InMemorySocket(backgroundScope)
            launch { actions(socket) }
            val connection = createConnection()
            connection.serve(socket, checkNotNull(connection.open(socket)))
            delay(1)
            received = socket.received
        }
        return received.lines().first()
    }

    @Nested
    inner class UnexpectedExceptions {
        private val failingCodec = object : HeaderCodec by BareHeaderCodec {
            override fun decodeRequest(head: RequestHead): RequestMetadata =
                throw IllegalStateException("unexpected")
        }

        /** Guards against a connection that closes without an answer, with no line in the log. */
        @Test
        fun `a request whose admission fails gets 502`() {
            configure(IDLE_MS)
            admissionCodec = failingCodec

            assertEquals("HTTP/1.1 502 Bad Gateway", statusLine { it.send(request()) })
        }
    }

    @Nested
    inner class IdleTimeout {
        /** Guards against a request that gets no answer, since it arrived with the idle timeout. */
        @Test
        fun `a request that was received at the moment of the idle timeout is answered`() {
            configure(IDLE_MS)

            assertEquals(
                NOT_FOUND,
                statusLine {
                    delay(IDLE_MS)
                    it.send(request())
                }
            )
        }

        /** Guards against connections that close before the idle timeout that callers know. */
        @Test
        fun `a longer idle timeout applies to connections that are idle already`() {
            configure(IDLE_MS)

            assertEquals(
                NOT_FOUND,
                statusLine {
                    delay(IDLE_MS / 2)
                    configure(IDLE_MS * 4)
                    delay(IDLE_MS * 2)
                    it.send(request())
                }
            )
        }

        @Test
        fun `a shorter idle timeout does not apply to connections that are idle already`() {
            configure(IDLE_MS)

            assertEquals(
                NOT_FOUND,
                statusLine {
                    configure(IDLE_MS / 4)
                    delay(IDLE_MS / 2)
                    it.send(request())
                }
            )
        }
    }

    @Nested
    inner class ChangedLimits {
        /** Guards against the rejection of a request that the configuration in force allows. */
        @Test
        fun `the limits in force when a request begins apply to it`() {
            configure(IDLE_MS, bodyBytes = 10)

            assertEquals(
                NOT_FOUND,
                statusLine {
                    delay(IDLE_MS / 2)
                    configure(IDLE_MS, bodyBytes = 20)
                    it.send(request(bodyBytes = 20))
                }
            )
        }
    }

    private fun request(bodyBytes: Int = 0) =
        "POST /x HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n" +
            "Content-Length: $bodyBytes\r\n\r\n" + "x".repeat(bodyBytes)

    private companion object {
        const val IDLE_MS = 1_000L
        const val NOT_FOUND = "HTTP/1.1 404 Not Found"
    }
}

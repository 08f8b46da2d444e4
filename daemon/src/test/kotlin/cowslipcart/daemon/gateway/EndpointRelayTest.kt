package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.daemon.control.RuntimeClock
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.toJavaAddress
import java.io.IOException
import java.net.InetSocketAddress
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Tests connections to endpoints that another host relays, over sockets on loopback. */
class EndpointRelayTest {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(Dispatchers.IO)
    private val clock = RuntimeClock()
    private val connections = EndpointConnections(selector, clock) { 2 }
    private val server = runBlocking { aSocket(selector).tcp().bind(LOOPBACK, 0) }
    private var hasEndpoints = true
    private var lastHost: Socket? = null
    private val listed = mutableMapOf<EndpointId, EndpointEntry>()
    private val relay = EndpointRelay(
        clock,
        GatewayMetrics(),
        connections,
        { listed[it] },
        { hasEndpoints },
        { _, _ -> }
    )
    private val intake = PeerIntake(selector, GatewayMetrics(), relay) { null }
    private val client =
        RelayClient(selector) { numeric(server.localAddress.toJavaAddress() as InetSocketAddress) }

    init {
        scope.launch {
            while (true) {
                val socket = server.accept()
                lastHost = socket
                launch { intake.serve(socket) }
            }
        }
    }

    @AfterTest
    fun stop() {
        scope.cancel()
        server.close()
        selector.close()
    }

    private suspend fun connect(endpoint: EndpointEntry): ServerConnection? {
        listed[endpoint.id] = endpoint
        return client.connect(HostId("relay"), endpoint.id)
    }

    private suspend fun ServerConnection.readAll(): String {
        val received = StringBuilder()
        while (true) received.append(source.readSome(MAX_BYTES)?.decodeToString() ?: break)
        return received.toString()
    }

    @Nested
    inner class Answers {
        @Test
        fun `bytes pass in both directions`(): Unit = runBlocking(Dispatchers.IO) {
            RespondingEndpoint { write("hello".toByteArray()) }.use { endpoint ->
                val connection = assertNotNull(connect(endpoint.entry))
                connection.send("GET / HTTP/1.1\r\n\r\n".toByteArray())
                assertEquals("hello", connection.source.readSome(MAX_BYTES)?.decodeToString())
                connection.abort()
                assertTrue(endpoint.awaitClosed(BOUND_MS), "connection to the endpoint stays open")
            }
        }

        /** Guards against an answer without a length that looks whole as its relay stops. */
        @Test
        fun `an answer whose relay stops does not end in good order`(): Unit =
            runBlocking(Dispatchers.IO) {
                RespondingEndpoint { write("part".toByteArray()) }.use { endpoint ->
                    val connection = assertNotNull(connect(endpoint.entry))
                    connection.send("GET / HTTP/1.1\r\n\r\n".toByteArray())
                    assertEquals("part", connection.source.readSome(MAX_BYTES)?.decodeToString())
                    lastHost?.close()
                    assertFailsWith<IOException> { connection.readAll() }
                }
            }

        @Test
        fun `the end of the endpoint's connection is passed on`(): Unit =
            runBlocking(Dispatchers.IO) {
                val raw = RawEndpoint(response = "all")
                val entry = RespondingEndpoint { }.use { it.entry }.copy(port = raw.port)
                val connection = assertNotNull(connect(entry))
                connection.send("x".toByteArray())
                assertEquals("all", connection.source.readSome(MAX_BYTES)?.decodeToString())
                raw.close()
                assertEquals("", connection.readAll())
            }
    }

    @Nested
    inner class Addresses {
        /** Guards against look-ups of names, which block where no name service answers. */
        @Test
        fun `the address of a relay is numeric although its name is known`() {
            val address = numeric(server.localAddress.toJavaAddress() as InetSocketAddress)
            assertEquals(LOOPBACK, address?.ip)
        }
    }

    @Nested
    inner class Refusals {
        /** Guards against relays that pass a connection on to a place that is no endpoint. */
        @Test
        fun `an endpoint that the relay does not list is declined`(): Unit =
            runBlocking(Dispatchers.IO) {
                assertFailsWith<RelayLostException> {
                    client.connect(HostId("relay"), EndpointId("unlisted"))
                }
            }

        @Test
        fun `a relay that has lost the endpoints declines`(): Unit = runBlocking(Dispatchers.IO) {
            hasEndpoints = false
            RespondingEndpoint { }.use { endpoint ->
                assertFailsWith<RelayLostException> { connect(endpoint.entry) }
            }
        }

        @Test
        fun `an endpoint that refuses the relay is not reached`(): Unit =
            runBlocking(Dispatchers.IO) {
                val gone = RespondingEndpoint { }.also { it.close() }.entry
                assertNull(connect(gone))
            }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val MAX_BYTES = 1_024L
        const val BOUND_MS = 5_000L
    }
}

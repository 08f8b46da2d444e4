package cowslipcart.daemon.gateway

import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StoreEra
import cowslipcart.core.store.StoreUpdate
import cowslipcart.core.store.TableRecord
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.control.RuntimeClock
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.toJavaAddress
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Asks a host for its configuration, over sockets on loopback. */
class ConfigurationClientTest {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(Dispatchers.IO)
    private val server = runBlocking { aSocket(selector).tcp().bind("127.0.0.1", 0) }
    private val client = ConfigurationClient(selector)
    private var held: StoreUpdate.Configuration? = null
    private val address: SocketAddressSetting =
        numeric(server.localAddress.toJavaAddress() as InetSocketAddress)!!

    @AfterTest
    fun stop() {
        scope.cancel()
        server.close()
        selector.close()
    }

    private fun serve() {
        val metrics = GatewayMetrics()
        val clock = RuntimeClock()
        val connections = EndpointConnections(selector, clock) { 2 }
        val relay =
            EndpointRelay(clock, metrics, connections, { null }, { true }, { _, _ -> })
        val intake = PeerIntake(selector, metrics, relay) { held }
        scope.launch {
            while (true) server.accept().let { launch { intake.serve(it) } }
        }
    }

    /** Serves the first connection with [answer], as another build may. */
    private fun serveOnce(answer: String) {
        scope.launch {
            val connection = ServerConnection(server.accept(), selector)
            connection.source.readLine()
            connection.send(answer.toByteArray())
            connection.close()
        }
    }

    @Nested
    inner class Given {
        @Test
        fun `a configuration of several datagrams arrives whole`(): Unit = runBlocking {
            val value = Random(1).nextBytes(200_000)
            val record = TableRecord("config", value, LogOffset(6))
            held = StoreUpdate.Configuration(LogOffset(7), 20, record, StoreEra(2))
            serve()
            val given = assertNotNull(client.ask(address))

            assertContentEquals(value, given.record?.value)
            assertEquals(LogOffset(7) to StoreEra(2), given.next to given.era)
        }
    }

    @Nested
    inner class NotGiven {
        @Test
        fun `a host without a configuration gives none`(): Unit = runBlocking {
            serve()
            assertNull(client.ask(address))
        }

        /** Hosts of earlier builds know relayed connections only. */
        @Test
        fun `a host that does not know the request gives none`(): Unit = runBlocking {
            serveOnce("declined\r\n")
            assertNull(client.ask(address))
        }

        @Test
        fun `an answer that breaks off gives none`(): Unit = runBlocking {
            serveOnce("500\r\nabc")
            assertNull(client.ask(address))
        }

        @Test
        fun `an answer that is no update gives none`(): Unit = runBlocking {
            serveOnce("3\r\nabc")
            assertNull(client.ask(address))
        }

        @Test
        fun `a host that is gone gives none`(): Unit = runBlocking {
            server.close()
            assertNull(client.ask(address))
        }
    }
}

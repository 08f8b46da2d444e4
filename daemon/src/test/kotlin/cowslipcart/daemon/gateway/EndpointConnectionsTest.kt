package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PoolId
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.Headers
import cowslipcart.daemon.http1.ResponseHead
import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Nested

class EndpointConnectionsTest {
    private val server = RawEndpoint()
    private val selector = SelectorManager(Dispatchers.IO)
    private val connections = EndpointConnections(selector, RuntimeClock()) { 2 }
    private val scope = CoroutineScope(Dispatchers.IO)
    private val endpoint = EndpointEntry(
        EndpointId("e1"),
        PoolId("pool"),
        SessionFixture.LOOPBACK,
        server.port,
        "a",
        1,
        isDraining = false
    )

    init {
        // Closes happen as the selector runs, which it does only while something waits on it. A
        // gateway always waits for connections.
        scope.launch { aSocket(selector).tcp().bind(SessionFixture.LOOPBACK, 0).accept() }
    }

    @AfterTest
    fun stop() {
        scope.cancel()
        server.close()
        selector.close()
    }

    private suspend fun acquire() = connections.acquire(endpoint, Long.MAX_VALUE)

    private fun awaitNoOpenConnection() {
        val isOpen = { server.connections.any { it.endAtNs == null } }
        var polls = 0
        while (isOpen() && polls++ < MAX_POLLS) Thread.sleep(POLL_MS)
        assertEquals(0, server.connections.count { it.endAtNs == null }, "open connections")
    }

    @Nested
    inner class Timeout {
        /** Guards against a connection that no request uses and that occupies its endpoint. */
        @Test
        fun `a connection that is established as its time is up is closed`(): Unit = runBlocking {
            val full = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
            val port = full.localPort
            val queued = List(QUEUED_COUNT) { Socket(SessionFixture.LOOPBACK, port) }
            thread(isDaemon = true) {
                Thread.sleep(STEP_MS)
                repeat(QUEUED_COUNT) { full.accept() }
            }
            val connection = withContext(Dispatchers.IO) {
                LateSelector(selector).connectTo(SessionFixture.LOOPBACK, port, CONNECT_MS)
            }

            assertNull(connection)
            val accepted = full.accept().also { it.soTimeout = LATE_MS.toInt() }
            assertTrue(hasEnded(accepted), "connection stays open")
            queued.forEach { it.close() }
            full.close()
        }

        private fun hasEnded(socket: Socket): Boolean = try {
            socket.getInputStream().read() < 0
        } catch (_: SocketTimeoutException) {
            false
        } catch (_: SocketException) {
            true
        }
    }

    @Nested
    inner class Cancellation {
        /**
         * Guards against a connection that is neither kept nor closed and occupies its endpoint.
         */
        @Test
        fun `a connection whose request is cancelled as it is returned is kept or closed`(): Unit =
            runBlocking {
                val head = ResponseHead(200, "OK", Headers(emptyList()))
                val (first, second) = List(2) { assertNotNull(acquire()) }
                connections.release(endpoint, first, head)
                val listed = BlockingSet()
                thread(isDaemon = true) { runBlocking { connections.evict(listed) } }
                listed.entered.await()
                val releasing = launch(Dispatchers.IO) {
                    connections.release(endpoint, second, head)
                }
                delay(STEP_MS)
                releasing.cancel()
                listed.left.countDown()
                releasing.cancelAndJoin()

                connections.evict(emptySet())
                awaitNoOpenConnection()
            }
    }

    /** Stops the thread after a connection was established, as a scheduler may on a busy host. */
    private class LateSelector(private val inner: SelectorManager) : SelectorManager by inner {
        override suspend fun select(selectable: Selectable, interest: SelectInterest) {
            inner.select(selectable, interest)
            if (interest == SelectInterest.CONNECT) Thread.sleep(LATE_MS)
        }
    }

    /** Contains everything, after [left] was counted down. */
    private class BlockingSet(private val inner: Set<EndpointId> = emptySet()) :
        Set<EndpointId> by inner {
        val entered = CountDownLatch(1)
        val left = CountDownLatch(1)

        override fun contains(element: EndpointId): Boolean {
            entered.countDown()
            left.await()
            return true
        }
    }

    private companion object {
        const val STEP_MS = 200L

        /** With a backlog of 1; the next connection is accepted when its SYN is sent again. */
        const val QUEUED_COUNT = 2

        /** Exceeds the first retransmission timeout of a SYN. */
        const val CONNECT_MS = 1_500L
        const val LATE_MS = 1_500L
        const val POLL_MS = 10L
        const val MAX_POLLS = 200
    }
}

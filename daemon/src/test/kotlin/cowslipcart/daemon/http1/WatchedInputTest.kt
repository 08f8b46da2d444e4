package cowslipcart.daemon.http1

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Nested

class WatchedInputTest {
    private val selector = SelectorManager(Dispatchers.IO)
    private val server =
        runBlocking { aSocket(selector).tcp().bind(InetSocketAddress("127.0.0.1", 0)) }
    private val ended = CountDownLatch(1)
    private val peer: Socket
    private val socket: io.ktor.network.sockets.Socket

    init {
        val (accepted, connected) = runBlocking(Dispatchers.IO) {
            val accepting = async { server.accept() }
            val connected = Socket("127.0.0.1", server.localAddress.port())
            accepting.await() to connected
        }
        socket = accepted
        peer = connected
    }

    private val input = WatchedInput(socket, selector) { ended.countDown() }

    @AfterTest
    fun close() {
        peer.close()
        socket.close()
        server.close()
        selector.close()
    }

    private suspend fun readFully(size: Int): ByteArray {
        val bytes = ByteArray(size)
        var count = 0
        while (count < size) count += input.read(bytes, count, size - count)
        return bytes
    }

    @Nested
    inner class Cancelled {
        /** Guards against a request that is lost with the timeout of an earlier read. */
        @Test
        fun `a read that is cancelled loses no byte`() = runBlocking(Dispatchers.IO) {
            val sent = ByteArray(10_000) { it.toByte() }
            repeat(20) {
                assertNull(withTimeoutOrNull(5) { input.read(ByteArray(10), 0, 10) })
            }
            peer.getOutputStream().write(sent)

            assertContentEquals(sent, readFully(sent.size))
        }

        /** Guards against bytes that were sent in the moment of a timeout. */
        @Test
        fun `reads that end with a timeout while bytes arrive lose none`() =
            runBlocking(Dispatchers.IO) {
                val sender = async {
                    repeat(200) {
                        peer.getOutputStream().write(it)
                        Thread.sleep(1)
                    }
                }
                var next = 0
                while (next < 200) {
                    val buffer = ByteArray(16)
                    var count = 0
                    withTimeoutOrNull(1) { count = input.read(buffer, 0, buffer.size) }
                    repeat(count) { assertEquals(next++.toByte(), buffer[it]) }
                }
                sender.await()
            }
    }

    @Nested
    inner class End {
        @Test
        fun `the end is found while a read waits, also after the read was cancelled`() =
            runBlocking(Dispatchers.IO) {
                withTimeoutOrNull(20) { input.read(ByteArray(10), 0, 10) }
                peer.close()

                assertTrue(ended.await(LIMIT_MS, TimeUnit.MILLISECONDS))
                assertEquals(-1, input.read(ByteArray(10), 0, 10))
            }

        @Test
        fun `a reset fails the read`(): Unit = runBlocking(Dispatchers.IO) {
            peer.setSoLinger(true, 0)
            peer.close()

            assertFailsWith<java.io.IOException> { readFully(1) }
        }

        @Test
        fun `a read ends when this side closes the socket`(): Unit = runBlocking(Dispatchers.IO) {
            val reading = async { runCatching { input.read(ByteArray(10), 0, 10) } }
            Thread.sleep(20)
            socket.close()

            assertTrue(reading.await().exceptionOrNull() is java.io.IOException)
        }
    }

    private companion object {
        const val LIMIT_MS = 5_000L
    }
}

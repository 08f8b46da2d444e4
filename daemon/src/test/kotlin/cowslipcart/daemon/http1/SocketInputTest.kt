package cowslipcart.daemon.http1

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Reads from a peer on loopback. */
class SocketInputTest {
    private val selector = SelectorManager(Dispatchers.IO)
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private lateinit var peer: Socket

    @AfterTest
    fun stop() {
        server.close()
        selector.close()
    }

    private suspend fun connect(): ByteSource {
        val address = InetSocketAddress("127.0.0.1", server.localPort)
        val socket = aSocket(selector).tcp().connect(address)
        peer = server.accept()
        return ByteSource(SocketInput(socket, selector))
    }

    @Nested
    inner class Reading {
        @Test
        fun `bytes that arrive in pieces are read to the end of the connection`(): Unit =
            runBlocking(Dispatchers.IO) {
                val source = connect()
                val reading = async { readAll(source) }
                repeat(PIECES) {
                    peer.getOutputStream().write(ByteArray(PIECE_BYTES))
                    delay(1)
                }
                peer.close()

                assertEquals(PIECES * PIECE_BYTES, reading.await())
            }

        private suspend fun readAll(source: ByteSource): Int {
            var count = 0
            while (true) count += source.readSome(Long.MAX_VALUE)?.size ?: return count
        }

        /** Guards against a reset that looks like the end of an answer. */
        @Test
        fun `a reset fails the read`(): Unit = runBlocking(Dispatchers.IO) {
            val source = connect()
            peer.setSoLinger(true, 0)
            peer.close()

            assertFailsWith<IOException> { source.readSome(1) }
        }
    }

    /** Guards against a request on a connection that its endpoint has closed or written to. */
    @Nested
    inner class Idle {
        @Test
        fun `an open connection without bytes is idle`() = runBlocking(Dispatchers.IO) {
            assertTrue(connect().isIdle)
        }

        @Test
        fun `a connection with bytes, or that was closed, is not`() = runBlocking(Dispatchers.IO) {
            for (isClosed in listOf(false, true)) {
                val source = connect()
                if (isClosed) peer.close() else peer.getOutputStream().write(1)
                delay(SETTLE_MS)

                assertFalse(source.isIdle, "closed: $isClosed")
            }
        }
    }

    private companion object {
        const val PIECES = 50
        const val PIECE_BYTES = 3_000
        const val SETTLE_MS = 100L
    }
}

package cowslipcart.daemon.http1

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Nested

/** Sends to a peer on loopback that reads when it is told to. */
class SocketSinkTest {
    private val selector = SelectorManager(Dispatchers.IO)
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())

    @AfterTest
    fun stop() {
        server.close()
        selector.close()
    }

    private suspend fun connect(): Socket =
        aSocket(selector).tcp().connect(InetSocketAddress("127.0.0.1", server.localPort))

    private fun message(size: Int) = ByteArray(size) { (it % PERIOD).toByte() }

    @Nested
    inner class SlowPeer {
        /** Guards against bytes that are left out or sent twice where the kernel took a part. */
        @Test
        fun `a peer that reads late gets all messages in order`() = runBlocking(Dispatchers.IO) {
            val sink = SocketSink(connect(), selector)
            val peer = server.accept()
            val sending = async {
                repeat(2) { sink.send(message(LARGE_BYTES)) }
                sink.finish()
            }
            val received = withContext(Dispatchers.IO) { peer.getInputStream().readAllBytes() }
            sending.await()

            val expected = message(LARGE_BYTES)
            assertEquals((expected + expected).toList(), received.toList())
        }
    }

    @Nested
    inner class SilentPeer {
        /** Guards against a connection that is held for ever for a peer that is gone. */
        @Test
        fun `a peer that takes nothing counts as lost after a time`(): Unit =
            runBlocking(Dispatchers.IO) {
                val sink = SocketSink(connect(), selector, stallMs = 200)

                assertFailsWith<IOException> { sink.send(message(LARGE_BYTES)) }
            }

        /** Guards against a response that follows a part of another one. */
        @Test
        fun `nothing is sent behind a message that was cut off`(): Unit =
            runBlocking(Dispatchers.IO) {
                val sink = SocketSink(connect(), selector)
                assertEquals(null, withTimeoutOrNull(200) { sink.send(message(LARGE_BYTES)) })

                assertFailsWith<IOException> { sink.send(message(1)) }
            }
    }

    private companion object {
        /** Exceeds what the kernel holds for a peer that reads nothing. */
        const val LARGE_BYTES = 16_000_000
        const val PERIOD = 251
    }
}

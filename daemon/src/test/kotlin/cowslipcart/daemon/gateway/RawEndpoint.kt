package cowslipcart.daemon.gateway

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * An endpoint that accepts connections on loopback. It reads nothing in the first [silenceMs] of a
 * connection, as an endpoint on a slow or stopped machine, and sends [response], if there is one,
 * [responseMs] after the first bytes.
 */
internal class RawEndpoint(
    private val silenceMs: Long = 0,
    private val response: String? = null,
    private val responseMs: Long = 0
) : AutoCloseable {
    /** What arrived on one connection, with times of `System.nanoTime`. */
    class Received(private val socket: Socket) : AutoCloseable {
        @Volatile
        var byteCount = 0L

        @Volatile
        var endAtNs: Long? = null

        override fun close() = socket.close()
    }

    private val server = ServerSocket()
    val connections = CopyOnWriteArrayList<Received>()

    val port: Int get() = server.localPort

    init {
        server.receiveBufferSize = RECEIVE_BUFFER_BYTES
        server.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG)
        thread(isDaemon = true) { acceptAll() }
    }

    private fun acceptAll() {
        while (true) {
            val socket = try {
                server.accept()
            } catch (_: IOException) {
                return
            }
            val received = Received(socket).also { connections += it }
            thread(isDaemon = true) { readAll(socket, received) }
        }
    }

    private fun readAll(socket: Socket, received: Received) {
        Thread.sleep(silenceMs)
        val buffer = ByteArray(RECEIVE_BUFFER_BYTES)
        try {
            while (true) {
                val count = socket.getInputStream().read(buffer)
                if (count < 0) break
                val isFirst = received.byteCount == 0L
                received.byteCount += count
                if (isFirst) respond(socket)
            }
        } catch (_: IOException) {
            // A reset ends the connection like an end of the stream does.
        }
        received.endAtNs = System.nanoTime()
    }

    private fun respond(socket: Socket) {
        if (response == null) return
        Thread.sleep(responseMs)
        socket.getOutputStream().write(response.toByteArray())
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 4_096
        const val BACKLOG = 50
    }
}

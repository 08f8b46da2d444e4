package cowslipcart.daemon.gateway

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * An endpoint that accepts connections on loopback and never responds. It reads nothing in the
 * first [silenceMs] of a connection, as an endpoint on a slow or stopped machine.
 */
internal class RawEndpoint(private val silenceMs: Long = 0) : AutoCloseable {
    /** What arrived on one connection, with times of `System.nanoTime`. */
    class Received(private val socket: Socket) : AutoCloseable {
        @Volatile
        var byteCount = 0L

        @Volatile
        var firstByteAtNs: Long? = null

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
                if (received.firstByteAtNs == null) received.firstByteAtNs = System.nanoTime()
                received.byteCount += count
            }
        } catch (_: IOException) {
            // A reset ends the connection like an end of the stream does.
        }
        received.endAtNs = System.nanoTime()
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

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PoolId
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Endpoint on loopback that serves each connection with the next [scripts], then closes it. */
internal class ScriptedEndpoint(private vararg val scripts: (Socket) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    val port: Int get() = server.localPort

    /** Entry of this endpoint as [id], with one slot. */
    fun entry(id: String) =
        EndpointEntry(EndpointId(id), PoolId("pool"), "127.0.0.1", port, "a", 1, false)

    init {
        thread(isDaemon = true, name = "endpoint") {
            for (script in scripts) server.accept().use { script(it) }
        }
    }

    override fun close() = server.close()

    companion object {
        private const val BACKLOG = 50

        /** Reads a request of [bodyBytes] bytes, or the first part of it. */
        fun Socket.readRequest(bodyBytes: Int) {
            val input = getInputStream()
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = input.read()
                if (byte < 0) return
                head.append(byte.toChar())
            }
            input.readNBytes(bodyBytes)
        }

        fun Socket.send(text: String) = getOutputStream().run {
            write(text.toByteArray())
            flush()
        }

        /** Makes closing send a reset. */
        fun Socket.resetOnClose() = setSoLinger(true, 0)
    }
}

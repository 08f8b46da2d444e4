package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PoolId
import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.Collections
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * A request that reached a [RespondingEndpoint]; [number] counts those on its connection from 1.
 */
internal class ReceivedRequest(val id: String, val number: Int)

/**
 * Endpoint on loopback that writes whatever [respond] writes to each request, and counts what it
 * could send before the gateway closed the connection.
 */
internal class RespondingEndpoint(private val respond: OutputStream.(ReceivedRequest) -> Unit) :
    AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = Collections.synchronizedList(mutableListOf<Socket>())
    private val closed = CountDownLatch(1)

    @Volatile
    private var resumed = CountDownLatch(0)

    @Volatile
    private var receivedBytes = 0L

    /** Ids of the requests that were received, in order. */
    val received: MutableList<String> = Collections.synchronizedList(mutableListOf())

    val entry = EndpointEntry(
        id = EndpointId("endpoint-1"),
        pool = PoolId("pool"),
        ip = "127.0.0.1",
        port = server.localPort,
        domain = "domain-a",
        slotCount = 4,
        isDraining = false
    )

    init {
        thread(isDaemon = true, name = "endpoint") { accept() }
    }

    /** Waits until the gateway has closed a connection; returns false after [timeoutMs]. */
    fun awaitClosed(timeoutMs: Long): Boolean = closed.await(timeoutMs, TimeUnit.MILLISECONDS)

    /** Lets connections of the gateway open without reading from them. */
    fun pauseReading() {
        resumed = CountDownLatch(1)
    }

    /** Reads to the end of the connection and returns the number of bytes. */
    fun resumeReading(): Long {
        resumed.countDown()
        closed.await()
        return receivedBytes
    }

    override fun close() {
        server.close()
        synchronized(sockets) { sockets.forEach { it.close() } }
    }

    private fun accept() {
        while (!server.isClosed) {
            val socket = try {
                server.accept()
            } catch (_: IOException) {
                return
            }
            sockets += socket
            thread(isDaemon = true) { serve(socket) }
        }
    }

    private fun serve(socket: Socket) = socket.use {
        val input = BufferedInputStream(socket.getInputStream())
        try {
            if (resumed.count > 0) {
                resumed.await()
                readToEnd(input)
            }
            var number = 0
            while (true) {
                val id = readRequestId(input) ?: break
                received += id
                socket.getOutputStream().respond(ReceivedRequest(id, ++number))
                socket.getOutputStream().flush()
            }
        } catch (_: IOException) {
            return@use
        } finally {
            closed.countDown()
        }
    }

    private fun readToEnd(input: InputStream) {
        val piece = ByteArray(PIECE_BYTES)
        while (true) {
            val count = input.read(piece)
            if (count < 0) return
            receivedBytes += count
        }
    }

    /** Reads the head of a request without a body; returns null at the end of the connection. */
    private fun readRequestId(input: InputStream): String? {
        val lines = generateSequence { input.line()?.takeIf { it.isNotEmpty() } }.toList()
        if (lines.isEmpty()) return null
        return lines.firstOrNull { it.startsWith(TestHeaderCodec.REQUEST_ID) }
            ?.substringAfter(": ").orEmpty()
    }

    private fun InputStream.line(): String? {
        val text = StringBuilder()
        while (true) {
            val byte = read()
            if (byte < 0) return null
            if (byte == '\n'.code) return text.toString().removeSuffix("\r")
            text.append(byte.toChar())
        }
    }

    private companion object {
        const val BACKLOG = 64
        const val PIECE_BYTES = 65_536
    }
}

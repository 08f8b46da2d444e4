package cowslipcart.systemtest.crowd

import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.Collections
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Plays [scripts] against [port], each on a connection of its own, on a bounded set of threads. */
internal class Crowd(private val port: Int, private val scripts: List<CrowdScript>) :
    AutoCloseable {
    private val sockets = Collections.synchronizedList(mutableListOf<Socket>())
    private val nextScript = AtomicInteger()
    private val movedBytes = AtomicLong()

    @Volatile
    private var isClosed = false
    private val threads = List(minOf(MAX_THREADS, scripts.size)) {
        thread(isDaemon = true, name = "crowd-$it") { playAll() }
    }

    /**
     * Waits until each client has done its part, or none of them gets on, since the gateway reads
     * or sends nothing.
     */
    fun awaitSettled() {
        var quietCount = 0
        while (threads.any { it.isAlive } && quietCount < QUIET_LIMIT) {
            val knownBytes = movedBytes.get()
            Thread.sleep(QUIET_INTERVAL_MS)
            quietCount = if (movedBytes.get() == knownBytes) quietCount + 1 else 0
        }
    }

    private fun playAll() {
        while (!isClosed) {
            val script = scripts.getOrNull(nextScript.getAndIncrement()) ?: return
            try {
                play(script)
            } catch (_: IOException) {
                // The gateway refused the connection or closed it, as it may.
                continue
            }
        }
    }

    private fun play(script: CrowdScript) {
        val socket = Socket().also { sockets += it }
        script.receiveBufferBytes?.let { socket.receiveBufferSize = it }
        socket.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        var mustAwait = script.awaitsContinue
        for (piece in script.pieces) {
            socket.getOutputStream().write(piece)
            movedBytes.addAndGet(piece.size.toLong())
            if (mustAwait) readHead(socket.getInputStream())
            mustAwait = false
        }
        when (script.ending) {
            Ending.ReadsAnswers -> readToEnd(socket)
            Ending.StaysOpen -> return
        }
    }

    private fun readHead(input: InputStream) {
        var lineBytes = 0
        while (true) {
            val byte = input.read()
            if (byte < 0) return
            if (byte == '\n'.code && lineBytes == 0) return
            lineBytes = if (byte == '\n'.code) 0 else lineBytes + if (byte == '\r'.code) 0 else 1
        }
    }

    private fun readToEnd(socket: Socket) {
        val buffer = ByteArray(READ_BYTES)
        while (true) {
            val size = socket.getInputStream().read(buffer)
            if (size < 0) break
            movedBytes.addAndGet(size.toLong())
        }
        socket.close()
    }

    override fun close() {
        isClosed = true
        // A thread that is connecting adds its socket before, so a second round closes it.
        while (threads.any { it.isAlive }) {
            closeSockets()
            threads.forEach { it.join(JOIN_MS) }
        }
        closeSockets()
    }

    private fun closeSockets() = synchronized(sockets) { sockets.forEach { it.close() } }

    private companion object {
        const val MAX_THREADS = 64
        const val READ_BYTES = 16_384
        const val JOIN_MS = 20L
        const val QUIET_INTERVAL_MS = 500L

        /** Pauses in a row in which no client sent or received anything. */
        const val QUIET_LIMIT = 6
    }
}

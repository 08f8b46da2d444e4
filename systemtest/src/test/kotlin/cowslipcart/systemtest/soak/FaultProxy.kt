package cowslipcart.systemtest.soak

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.BindException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

/** Fault that a [FaultProxy] applies to its connections. */
internal sealed interface LinkFault {
    data object None : LinkFault

    /** Delays each block of bytes that was read by [delayMs]. */
    data class Delay(val delayMs: Long) : LinkFault

    /** Drops bytes sent to the server; bytes from the server still pass. */
    data object CutOneWay : LinkFault

    /** Drops all bytes in both directions; connections stay open. */
    data object Silent : LinkFault

    /** Holds all bytes in both directions, and passes them on when the fault ends. */
    data object Hold : LinkFault

    /** Closes each new connection at once, and an open one when bytes arrive on it. */
    data object Refuse : LinkFault
}

/** TCP proxy to [serverPort] on loopback; its [fault] can be changed at any time. */
internal class FaultProxy(private val serverPort: Int) : AutoCloseable {
    private val loopback: InetAddress = InetAddress.getLoopbackAddress()

    @Volatile
    private var listener = ServerSocket(0, BACKLOG, loopback)

    /** Connections that fill the queue of [stallListener]. */
    private val queued = mutableListOf<Socket>()
    private val openSockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    private val lock = ReentrantLock()
    private val faultChanged = lock.newCondition()

    @Volatile
    var fault: LinkFault = LinkFault.None
        set(value) = lock.withLock {
            field = value
            faultChanged.signalAll()
        }

    val port: Int = listener.localPort

    init {
        thread(isDaemon = true, name = "proxy-$port") { acceptConnections(listener) }
    }

    /** New connections are refused from now on; open ones stay. */
    fun closeListener() = listener.close()

    /** New connections get no answer from now on, as behind a partition; open ones stay. */
    fun stallListener() {
        listener.close()
        listener = bindAgain(1)
        repeat(STALLING_COUNT) {
            val socket = Socket()
            try {
                socket.connect(InetSocketAddress(loopback, port), STALL_TIMEOUT_MS)
            } catch (_: SocketTimeoutException) {
                // The queue is full.
            }
            queued += socket
        }
    }

    /** Binds [port] once the thread that accepted there has left. */
    private fun bindAgain(backlog: Int): ServerSocket {
        repeat(MAX_BIND_TRIES) {
            try {
                return ServerSocket(port, backlog, loopback)
            } catch (_: BindException) {
                TimeUnit.MILLISECONDS.sleep(BIND_PAUSE_MS)
            }
        }
        return ServerSocket(port, backlog, loopback)
    }

    /** Accepts new connections again. */
    fun openListener() {
        listener.close()
        queued.forEach { close(it) }
        queued.clear()
        listener = bindAgain(BACKLOG)
        thread(isDaemon = true, name = "proxy-$port") { acceptConnections(listener) }
    }

    /** Resets all open connections. */
    fun reset() {
        for (socket in openSockets) {
            try {
                socket.setSoLinger(true, 0)
            } catch (_: SocketException) {
                // The socket was closed in the meantime.
            }
            close(socket)
        }
    }

    override fun close() {
        listener.close()
        queued.forEach { close(it) }
        openSockets.forEach { close(it) }
    }

    private fun acceptConnections(listener: ServerSocket) {
        while (!listener.isClosed) {
            val caller = try {
                listener.accept()
            } catch (_: IOException) {
                return
            }
            if (fault == LinkFault.Refuse) close(caller) else connect(caller)
        }
    }

    private fun connect(caller: Socket) {
        val server = try {
            Socket(loopback, serverPort)
        } catch (_: IOException) {
            return close(caller)
        }
        openSockets += caller
        openSockets += server
        thread(isDaemon = true) { relay(caller, server, isToServer = true) }
        thread(isDaemon = true) { relay(server, caller, isToServer = false) }
    }

    private fun relay(from: Socket, to: Socket, isToServer: Boolean) {
        try {
            relayBytes(from.getInputStream(), to.getOutputStream(), isToServer)
        } catch (_: IOException) {
            // One side closed; both sockets are closed below.
        } finally {
            close(from)
            close(to)
            openSockets -= from
            openSockets -= to
        }
    }

    private fun relayBytes(input: InputStream, output: OutputStream, isToServer: Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) return
            when (val current = fault) {
                LinkFault.None -> Unit
                is LinkFault.Delay -> TimeUnit.MILLISECONDS.sleep(current.delayMs)
                LinkFault.CutOneWay -> if (isToServer) continue
                LinkFault.Silent -> continue
                LinkFault.Hold -> awaitOtherFault()
                LinkFault.Refuse -> return
            }
            output.write(buffer, 0, count)
            output.flush()
        }
    }

    private fun awaitOtherFault() = lock.withLock {
        while (fault == LinkFault.Hold) faultChanged.await()
    }

    private fun close(socket: Socket) {
        try {
            socket.close()
        } catch (_: IOException) {
            // The socket is already closed.
        }
    }

    private companion object {
        const val BACKLOG = 128

        /** A queue of one takes two connections; the next gets no answer. */
        const val STALLING_COUNT = 3
        const val STALL_TIMEOUT_MS = 200
        const val MAX_BIND_TRIES = 100
        const val BIND_PAUSE_MS = 10L
        const val BUFFER_BYTES = 16_384
    }
}

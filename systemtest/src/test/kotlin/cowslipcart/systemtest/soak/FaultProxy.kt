package cowslipcart.systemtest.soak

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** How a [FaultProxy] treats its connections. */
internal sealed interface LinkFault {
    data object None : LinkFault

    /** Holds every part back for [delayMs]. */
    data class Delay(val delayMs: Long) : LinkFault

    /** Swallows what goes towards the server; answers still pass. */
    data object CutOneWay : LinkFault

    /** Swallows everything; connections stay open. */
    data object Silent : LinkFault

    /** Closes connections at once. */
    data object Refuse : LinkFault
}

/** Passes connections on loopback to [serverPort], with a fault that can change at any time. */
internal class FaultProxy(private val serverPort: Int) : AutoCloseable {
    private val loopback: InetAddress = InetAddress.getLoopbackAddress()
    private val listener = ServerSocket(0, BACKLOG, loopback)
    private val open: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    @Volatile
    var fault: LinkFault = LinkFault.None

    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true, name = "proxy-$port") { accept() }
    }

    /** Resets all open connections. */
    fun reset() {
        for (socket in open) {
            try {
                socket.setSoLinger(true, 0)
            } catch (_: SocketException) {
                // It was closed meanwhile.
            }
            close(socket)
        }
    }

    override fun close() {
        listener.close()
        open.forEach { close(it) }
    }

    private fun accept() {
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
        open += caller
        open += server
        thread(isDaemon = true) { pass(caller, server, isTowardsServer = true) }
        thread(isDaemon = true) { pass(server, caller, isTowardsServer = false) }
    }

    private fun pass(from: Socket, to: Socket, isTowardsServer: Boolean) {
        try {
            copy(from.getInputStream(), to.getOutputStream(), isTowardsServer)
        } catch (_: IOException) {
            // A side closed; the other one learns it below.
        } finally {
            close(from)
            close(to)
            open -= from
            open -= to
        }
    }

    private fun copy(input: InputStream, output: OutputStream, isTowardsServer: Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) return
            when (val current = fault) {
                LinkFault.None -> Unit
                is LinkFault.Delay -> TimeUnit.MILLISECONDS.sleep(current.delayMs)
                LinkFault.CutOneWay -> if (isTowardsServer) continue
                LinkFault.Silent -> continue
                LinkFault.Refuse -> return
            }
            output.write(buffer, 0, count)
            output.flush()
        }
    }

    private fun close(socket: Socket) {
        try {
            socket.close()
        } catch (_: IOException) {
            // The other side has closed it already.
        }
    }

    private companion object {
        const val BACKLOG = 128
        const val BUFFER_BYTES = 16_384
    }
}

package cowslipcart.systemtest

import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/**
 * A runner that answers each request with [start], in which `ID` stands for the id of the request,
 * and then with [repeated] again and again until the connection is closed.
 */
internal class EndlessRunner(private val start: String, private val repeated: String) :
    AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().let { thread(isDaemon = true) { serve(it) } }
            } catch (_: IOException) {
                return@thread
            }
        }
    }

    private fun serve(socket: Socket) = try {
        socket.use {
            val lines = generateSequence { socket.getInputStream().readLine() }
            val id = lines.takeWhile { it.isNotEmpty() }
                .first { it.startsWith(ID_HEADER, ignoreCase = true) }
                .substring(ID_HEADER.length)
            socket.getOutputStream().write(start.replace("ID", id).toByteArray())
            val piece = repeated.repeat(PIECE_BYTES / repeated.length).toByteArray()
            while (true) socket.getOutputStream().write(piece)
        }
    } catch (_: IOException) {
        // The gateway has closed the connection.
    }

    private fun InputStream.readLine(): String? {
        val line = StringBuilder()
        while (true) {
            val byte = read()
            if (byte < 0) return null
            if (byte == '\n'.code) return line.toString().trimEnd('\r')
            line.append(byte.toChar())
        }
    }

    override fun close() = server.close()

    private companion object {
        const val BACKLOG = 200
        const val PIECE_BYTES = 65_536
        const val ID_HEADER = "Attempt-Id: "
    }
}

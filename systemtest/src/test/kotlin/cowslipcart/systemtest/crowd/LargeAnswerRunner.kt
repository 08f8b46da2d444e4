package cowslipcart.systemtest.crowd

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** A runner that answers each request with a body of [answerBytes], as large as it states. */
internal class LargeAnswerRunner(private val answerBytes: Int) : AutoCloseable {
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
            val input = BufferedInputStream(socket.getInputStream())
            while (serveNext(input, socket)) Unit
        }
    } catch (_: IOException) {
        // The gateway has closed the connection.
    }

    /** Answers the next request, which has no body; returns false at the end. */
    private fun serveNext(input: InputStream, socket: Socket): Boolean {
        val lines = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        val id = lines.firstOrNull { it.startsWith(ID_HEADER, ignoreCase = true) } ?: return false
        val head = "HTTP/1.1 200 OK\r\n$ID_HEADER${id.substring(ID_HEADER.length)}\r\n" +
            "Response-Seal: seal\r\nContent-Length: $answerBytes\r\n\r\n"
        socket.getOutputStream().write(head.toByteArray())
        bodyPieces(answerBytes.toLong(), PIECE_BYTES).forEach { socket.getOutputStream().write(it) }
        return true
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

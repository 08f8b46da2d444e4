package cowslipcart.daemon.endpoint

import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/** Takes one request, sends [answer] as it is, and closes the connection. */
internal class OneAnswerEndpoint(private val answer: String) : AutoCloseable {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    val port: Int get() = server.localPort

    /** The request: its head, an empty line, its body. */
    var received = ""
        private set

    private val answering = thread {
        server.accept().use { socket ->
            received = readRequest(socket.getInputStream().bufferedReader())
            socket.getOutputStream().write(answer.toByteArray())
        }
    }

    private fun readRequest(reader: BufferedReader): String {
        val lines = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        val size = lines.find { it.startsWith("Content-Length: ") }?.substringAfter(' ')?.toInt()
        val body = CharArray(size ?: 0).also { if (it.isNotEmpty()) reader.read(it) }
        return lines.joinToString("\n") + "\n\n" + String(body)
    }

    /** Waits until the answer is sent. */
    override fun close() {
        answering.join()
        server.close()
    }
}

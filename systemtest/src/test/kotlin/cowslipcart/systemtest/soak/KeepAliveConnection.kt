package cowslipcart.systemtest.soak

import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import java.net.SocketTimeoutException

/** Result of one request as the caller sees it. */
internal sealed interface CallerOutcome {
    /** A complete answer; [isKeptAlive] if the connection may be used again. */
    data class Complete(
        val status: Int,
        val seal: String?,
        val body: String,
        val isKeptAlive: Boolean
    ) : CallerOutcome

    /**
     * The connection ended before the answer was complete. [isRequestSent] if the whole request was
     * written, [hasStatus] if the status line of the answer was read.
     */
    data class ConnectionLost(val isRequestSent: Boolean, val hasStatus: Boolean) : CallerOutcome

    /** No bytes arrived within the timeout of the connection. */
    data object TimedOut : CallerOutcome
}

/** A client connection with HTTP keep-alive; reads time out after [timeoutMs]. */
internal class KeepAliveConnection(port: Int, timeoutMs: Int) : AutoCloseable {
    private val socket = Socket(InetAddress.getLoopbackAddress(), port).apply {
        soTimeout = timeoutMs
    }
    private val input = BufferedInputStream(socket.getInputStream())

    /** Sends an encoded request and waits for its answer. */
    fun exchange(request: ByteArray): CallerOutcome {
        try {
            socket.getOutputStream().write(request)
            socket.getOutputStream().flush()
        } catch (_: IOException) {
            return CallerOutcome.ConnectionLost(isRequestSent = false, hasStatus = false)
        }
        var hasStatus = false
        return try {
            val status = readLine().split(' ')[1].toInt()
            hasStatus = true
            readAnswer(status)
        } catch (_: SocketTimeoutException) {
            CallerOutcome.TimedOut
        } catch (_: IOException) {
            CallerOutcome.ConnectionLost(isRequestSent = true, hasStatus)
        }
    }

    override fun close() = socket.close()

    private fun readAnswer(status: Int): CallerOutcome.Complete {
        val headers = generateSequence { readLine().takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = if (headers["transfer-encoding"] == "chunked") {
            readChunks()
        } else {
            readBytes(headers["content-length"]?.toInt() ?: 0)
        }
        val isKeptAlive = headers["connection"] != "close"
        return CallerOutcome.Complete(status, headers["response-seal"], body, isKeptAlive)
    }

    private fun readChunks(): String {
        val body = StringBuilder()
        while (true) {
            val size = readLine().toInt(HEX_RADIX)
            body.append(readBytes(size))
            readLine()
            if (size == 0) return body.toString()
        }
    }

    private fun readBytes(count: Int): String {
        val bytes = input.readNBytes(count)
        if (bytes.size < count) throw EOFException("expected $count bytes, found ${bytes.size}")
        return bytes.decodeToString()
    }

    private fun readLine(): String = input.readLineOrFail()

    private fun InputStream.readLineOrFail(): String {
        val text = StringBuilder()
        while (true) {
            val byte = read()
            if (byte < 0) throw EOFException("expected a line, found the end")
            if (byte == '\n'.code) return text.toString().removeSuffix("\r")
            text.append(byte.toChar())
        }
    }

    private companion object {
        const val HEX_RADIX = 16
    }
}

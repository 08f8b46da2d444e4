package cowslipcart.systemtest.soak

import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import java.net.SocketTimeoutException

/** What a caller got for one request. */
internal sealed interface CallerOutcome {
    /** A whole answer. */
    data class Whole(val status: Int, val seal: String?, val body: String, val keeps: Boolean) :
        CallerOutcome

    /** The connection ended before the answer was whole; [wasSent] if all of the request was. */
    data class Broken(val wasSent: Boolean, val hasBegun: Boolean) : CallerOutcome

    /** The caller gave up waiting. */
    data object TimedOut : CallerOutcome
}

/** A connection of a caller that is used for many requests, until the other side closes it. */
internal class KeptConnection(port: Int, timeoutMs: Int) : AutoCloseable {
    private val socket = Socket(InetAddress.getLoopbackAddress(), port).apply {
        soTimeout = timeoutMs
    }
    private val input = BufferedInputStream(socket.getInputStream())

    fun exchange(request: ByteArray): CallerOutcome {
        try {
            socket.getOutputStream().write(request)
            socket.getOutputStream().flush()
        } catch (_: IOException) {
            return CallerOutcome.Broken(wasSent = false, hasBegun = false)
        }
        var hasBegun = false
        return try {
            val status = readLine().split(' ')[1].toInt()
            hasBegun = true
            readAnswer(status)
        } catch (_: SocketTimeoutException) {
            CallerOutcome.TimedOut
        } catch (_: IOException) {
            CallerOutcome.Broken(wasSent = true, hasBegun)
        }
    }

    override fun close() = socket.close()

    private fun readAnswer(status: Int): CallerOutcome.Whole {
        val headers = generateSequence { readLine().takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = if (headers["transfer-encoding"] == "chunked") {
            readChunks()
        } else {
            readBytes(headers["content-length"]?.toInt() ?: 0)
        }
        val keeps = headers["connection"] != "close"
        return CallerOutcome.Whole(status, headers["response-seal"], body, keeps)
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

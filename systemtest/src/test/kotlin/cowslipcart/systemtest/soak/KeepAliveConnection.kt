package cowslipcart.systemtest.soak

import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

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

    /** The caller closed its connection; [isRequestSent] if the whole request was written. */
    data class Left(val isRequestSent: Boolean) : CallerOutcome
}

/** A client connection with HTTP keep-alive; reads time out after [timeoutMs]. */
internal class KeepAliveConnection(port: Int, private val timeoutMs: Long) : AutoCloseable {
    private val socket = Socket(InetAddress.getLoopbackAddress(), port)
    private var leaveAt: TimeSource.Monotonic.ValueTimeMark? = null
    private val input = BufferedInputStream(TimedInput(socket.getInputStream()))

    /** Sends [bytes]; returns false if the connection is closed. */
    fun send(bytes: ByteArray): Boolean = try {
        socket.getOutputStream().write(bytes)
        socket.getOutputStream().flush()
        true
    } catch (_: IOException) {
        false
    }

    /** Whether the connection can carry another request, as far as the caller can know. */
    fun isOpen(): Boolean = try {
        leaveAt = TimeSource.Monotonic.markNow() + 1.milliseconds
        input.mark(1)
        val isEnded = input.read() < 0
        // Bytes that belong to no request stay, so that they spoil the next answer.
        if (!isEnded) input.reset()
        !isEnded
    } catch (_: SocketTimeoutException) {
        true
    } catch (_: IOException) {
        false
    }

    /** Waits for the answer, but for [leaveAfterMs] at most if that is not null. */
    fun receive(leaveAfterMs: Long?): CallerOutcome {
        leaveAt = leaveAfterMs?.let { TimeSource.Monotonic.markNow() + it.milliseconds }
        var hasStatus = false
        return try {
            val status = readLine().split(' ')[1].toInt()
            hasStatus = true
            readAnswer(status)
        } catch (_: SocketTimeoutException) {
            val isLeaving = leaveAfterMs != null
            if (isLeaving) CallerOutcome.Left(isRequestSent = true) else CallerOutcome.TimedOut
        } catch (_: IOException) {
            CallerOutcome.ConnectionLost(isRequestSent = true, hasStatus)
        }
    }

    /** Closes the connection with a reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        close()
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

    /** Input of the socket whose reads end at [leaveAt]. */
    private inner class TimedInput(private val source: InputStream) : InputStream() {
        override fun read(): Int = throw UnsupportedOperationException("reads are buffered")

        override fun read(bytes: ByteArray, offset: Int, length: Int): Int {
            val leftMs = leaveAt?.let { -it.elapsedNow().inWholeMilliseconds }
            if (leftMs != null && leftMs < 0) throw SocketTimeoutException("time to leave")
            socket.soTimeout = minOf(timeoutMs, leftMs ?: timeoutMs).toInt().coerceAtLeast(1)
            return source.read(bytes, offset, length)
        }
    }

    private companion object {
        const val HEX_RADIX = 16
    }
}

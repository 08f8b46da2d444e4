package cowslipcart.standins.platform

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.Collections
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.TimeSource

/** How a runner treats the next request. */
public sealed interface RunnerFault {
    public data object None : RunnerFault

    /** Declines it as full. */
    public data object Full : RunnerFault

    /** Runs it and never answers. */
    public data object Hang : RunnerFault

    /** Runs it and closes the connection without an answer. */
    public data object AnswerLost : RunnerFault

    /** Answers it and then sends a second answer that belongs to nothing. */
    public data object ExtraAnswer : RunnerFault

    /** Breaks its stream off in the middle of event [event]. */
    public data class BreakAt(public val event: Int) : RunnerFault

    /** Answers a failure of its own. */
    public data object Fails : RunnerFault
}

/** A request that a runner began to run. */
public class RunRequest(
    public val id: String,
    public val firstLine: String,
    public val headers: Map<String, String>,
    public val body: String
) {
    /** When the runner had read it. */
    public val startedAt: TimeSource.Monotonic.ValueTimeMark = TimeSource.Monotonic.markNow()
}

/**
 * A runner of the platform: answers plain requests, and requests that state a number of tokens
 * with a stream of events. It declines requests that expect another runner.
 */
public class RunnerServer(private val id: String, private val eventGapMs: Long = 0) :
    AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))

    /** Requests that ran, in order. */
    public val runs: MutableList<RunRequest> = Collections.synchronizedList(mutableListOf())

    /** Faults of the next requests, first in first out. */
    public val faults: ArrayDeque<RunnerFault> = ArrayDeque()

    /** IP and port. */
    public val address: String = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true, name = "runner-$id") { accept() }
    }

    override fun close(): Unit = server.close()

    private fun accept() {
        while (!server.isClosed) {
            val socket = try {
                server.accept()
            } catch (_: IOException) {
                return
            }
            thread(isDaemon = true) { socket.use { serve(it) } }
        }
    }

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        try {
            while (answerNext(input, socket.getOutputStream())) Unit
        } catch (_: IOException) {
            return
        }
    }

    private fun answerNext(input: InputStream, output: OutputStream): Boolean {
        val request = readRequest(input) ?: return false
        val fault = synchronized(faults) { faults.removeFirstOrNull() } ?: RunnerFault.None
        val expected = request.headers["expect-instance"]
        if (expected != id) {
            output.answer(421, "Instance-Id: $id\r\n", "")
            return true
        }
        if (fault == RunnerFault.Full) {
            output.answer(503, "Not-Executed: 1\r\n", "")
            return true
        }
        runs += request
        val signed = "Attempt-Id: ${request.id}\r\nResponse-Seal: seal-$id-${request.id}\r\n"
        if (fault == RunnerFault.AnswerLost) return false
        if (fault == RunnerFault.Hang) {
            input.read()
            return false
        }
        if (fault == RunnerFault.Fails) {
            output.answer(500, signed, "failed")
            return true
        }
        if ("token-count" in request.headers) return stream(request, signed, fault, output)
        output.answer(200, signed, "answer of $id to ${request.id}")
        if (fault == RunnerFault.ExtraAnswer) {
            output.answer(200, "Attempt-Id: other\r\nResponse-Seal: seal-other\r\n", "other")
        }
        return true
    }

    private fun stream(
        request: RunRequest,
        signed: String,
        fault: RunnerFault,
        output: OutputStream
    ): Boolean {
        val first = (request.headers["last-event-id"]?.toInt() ?: 0) + 1
        output.write(
            (
                "HTTP/1.1 200 OK\r\n${signed}Content-Type: text/event-stream\r\n" +
                    "Transfer-Encoding: chunked\r\n\r\n"
                ).toByteArray()
        )
        for (event in first..EVENT_COUNT) {
            val text = "id: $event\ndata: $event of ${request.id}\n\n"
            if (fault is RunnerFault.BreakAt && fault.event == event) {
                output.chunk(text.take(text.length / 2))
                return false
            }
            output.chunk(text)
            if (eventGapMs > 0) TimeUnit.MILLISECONDS.sleep(eventGapMs)
        }
        output.write("0\r\n\r\n".toByteArray())
        output.flush()
        return true
    }

    private fun readRequest(input: InputStream): RunRequest? {
        val firstLine = input.line() ?: return null
        val headers = generateSequence { input.line()?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val length = headers["content-length"]?.toInt() ?: 0
        val body = input.readNBytes(length).decodeToString()
        return RunRequest(headers["attempt-id"].orEmpty(), firstLine, headers, body)
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

    private fun OutputStream.answer(status: Int, headers: String, body: String) {
        write(
            "HTTP/1.1 $status Status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"
                .toByteArray()
        )
        flush()
    }

    private fun OutputStream.chunk(text: String) {
        write("${text.length.toString(HEX_RADIX)}\r\n$text\r\n".toByteArray())
        flush()
    }

    public companion object {
        /** Events of a whole stream. */
        public const val EVENT_COUNT: Int = 12
        private const val BACKLOG = 64
        private const val HEX_RADIX = 16
    }
}

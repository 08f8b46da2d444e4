package cowslipcart.standins.platform

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

/** Fault that a runner injects into one request. */
public sealed interface RunnerFault {
    public data object None : RunnerFault

    /** Refuses the request with status 503 and `Not-Executed`, for want of a free slot. */
    public data object Full : RunnerFault

    /**
     * Refuses the request like [Full] and asks its caller to send nothing for a while.
     *
     * @property retryAfter value of the header `Retry-After`, in seconds
     */
    public data class AsksBackoff(public val retryAfter: String) : RunnerFault

    /** Runs the request and sends nothing until the caller closes the connection or sends more. */
    public data object Hang : RunnerFault

    /** Runs the request and closes the connection without an answer. */
    public data object AnswerLost : RunnerFault

    /** Answers the request, then sends a second answer that belongs to no request. */
    public data object ExtraAnswer : RunnerFault

    /**
     * Runs the request and sends the refusal of an earlier request again, then the answer. The
     * refusal names the request [id]; without an id it takes the place of the answer.
     */
    public data class RepeatedRefusal(public val id: String?) : RunnerFault

    /** Closes the connection in the middle of event [event] of the stream. */
    public data class BreakAt(public val event: Int) : RunnerFault

    /** Runs the request and sends its answer so slowly that it never ends. */
    public data object Trickle : RunnerFault

    /** Runs the request and answers with status 500. */
    public data object Fails : RunnerFault

    /**
     * Sends an answer or a stream without length or chunks, which ends with its connection: after
     * its end, or in the middle of event [brokenEvent].
     */
    public data class Unframed(public val brokenEvent: Int? = null) : RunnerFault

    /** Sends a stream without length or chunks and resets its connection before event [event]. */
    public data class UnframedReset(public val event: Int) : RunnerFault
}

/** How the run of a request ended. */
public sealed interface RunEnd {
    /** The whole answer was sent, with [status]. */
    public data class Answered(public val status: Int) : RunEnd

    /** The caller closed the connection before the answer was sent. */
    public data object CallerLeft : RunEnd

    /** A fault of the runner broke off the answer. */
    public data object Broken : RunEnd
}

/** Ends a connection with a reset. */
private class ConnectionResetException : IOException("connection reset on purpose")

/** Request that a runner executes; [id] is its `Attempt-Id`. Names of [headers] are lower case. */
public class RunRequest(
    public val id: String,
    public val firstLine: String,
    public val headers: Map<String, String>,
    public val body: String
) {
    /** When the runner had read the whole request. */
    public val startedAt: TimeSource.Monotonic.ValueTimeMark = TimeSource.Monotonic.markNow()

    /** When the run ended; null while it goes on. */
    @Volatile
    public var endedAt: TimeSource.Monotonic.ValueTimeMark? = null
        private set

    /** How the run ended; null while it goes on. */
    @Volatile
    public var end: RunEnd? = null
        private set

    internal fun end(how: RunEnd) {
        endedAt = TimeSource.Monotonic.markNow()
        end = how
    }
}

/** A runner refused the request [id] and asked for no more for [retryAfter] seconds. */
public class BackoffRefusal(public val id: String, public val retryAfter: String) {
    /** When the runner had read the request. */
    public val at: TimeSource.Monotonic.ValueTimeMark = TimeSource.Monotonic.markNow()
}

/**
 * Stand-in for a runner of the platform, on a free loopback port. Requests with a `Token-Count`
 * header get a stream of events, other requests a plain answer. `Work-Ms` states how long a run
 * takes. Requests whose `Expect-Instance` is not [id] are refused with status 421.
 */
public class RunnerServer(private val id: String, private val eventGapMs: Long = 0) :
    AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))

    /** Requests that were executed, in order of arrival. */
    public val runs: MutableList<RunRequest> = Collections.synchronizedList(mutableListOf())

    /** Requests that were refused by [RunnerFault.AsksBackoff], in order of arrival. */
    public val backoffs: MutableList<BackoffRefusal> = Collections.synchronizedList(mutableListOf())

    /** Faults of the next requests, oldest first; lock this object to access it. */
    public val faults: ArrayDeque<RunnerFault> = ArrayDeque()

    /** Whether all answers state that the runner is about to leave. */
    @Volatile
    public var isLeaving: Boolean = false

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
        val connection = RunnerConnection(socket)
        try {
            while (answerNext(connection)) Unit
        } catch (_: ConnectionResetException) {
            socket.setSoLinger(true, 0)
        } catch (_: IOException) {
            return
        }
    }

    /** Returns whether the connection stays open for another request. */
    private fun answerNext(connection: RunnerConnection): Boolean {
        val request = readRequest(connection.input) ?: return false
        val fault = synchronized(faults) { faults.removeFirstOrNull() } ?: RunnerFault.None
        if (request.headers["expect-instance"] != id) {
            val headers = "Attempt-Id: ${request.id}\r\nNot-Executed: 1\r\nInstance-Id: $id\r\n" +
                leavingHeader()
            connection.output.answer(WRONG_INSTANCE, headers, "")
            return true
        }
        if (fault == RunnerFault.Full) {
            connection.output.refuse(request.id)
            return true
        }
        if (fault is RunnerFault.AsksBackoff) {
            backoffs += BackoffRefusal(request.id, fault.retryAfter)
            connection.output.refuse(request.id, "Retry-After: ${fault.retryAfter}\r\n")
            return true
        }
        runs += request
        val end = try {
            run(request, fault, connection)
        } catch (e: ConnectionResetException) {
            request.end(RunEnd.Broken)
            throw e
        } catch (e: IOException) {
            request.end(RunEnd.CallerLeft)
            throw e
        }
        request.end(end)
        return end is RunEnd.Answered && fault !is RunnerFault.Unframed
    }

    private fun run(request: RunRequest, fault: RunnerFault, connection: RunnerConnection): RunEnd {
        val sealHeaders = "Attempt-Id: ${request.id}\r\nResponse-Seal: seal-$id-${request.id}\r\n" +
            leavingHeader()
        if (fault == RunnerFault.AnswerLost) return RunEnd.Broken
        if (fault == RunnerFault.Hang) {
            connection.input.read()
            return RunEnd.CallerLeft
        }
        if (fault is RunnerFault.RepeatedRefusal) {
            connection.output.refuse(fault.id)
            if (fault.id == null) return RunEnd.Answered(UNAVAILABLE)
        }
        if (fault == RunnerFault.Trickle) {
            connection.output.trickle(
                "HTTP/1.1 200 OK\r\n${sealHeaders}Content-Length: $TRICKLE_BYTES\r\n\r\n"
            )
        }
        if (fault == RunnerFault.Fails) {
            connection.output.answer(FAILURE, sealHeaders, "failed")
            return RunEnd.Answered(FAILURE)
        }
        if ("token-count" in request.headers) {
            return stream(request, sealHeaders, fault, connection)
        }
        connection.work(request.workMs)
        val body = "answer of $id to ${request.id}"
        if (fault is RunnerFault.Unframed) {
            connection.output.write("HTTP/1.1 200 OK\r\n$sealHeaders\r\n$body".toByteArray())
        } else {
            connection.output.answer(OK, sealHeaders, body)
        }
        if (fault == RunnerFault.ExtraAnswer) {
            val otherHeaders = "Attempt-Id: other\r\nResponse-Seal: seal-other\r\n"
            connection.output.answer(OK, otherHeaders, "other")
        }
        return RunEnd.Answered(OK)
    }

    /** Sends the events after `Last-Event-Id`. */
    private fun stream(
        request: RunRequest,
        sealHeaders: String,
        fault: RunnerFault,
        connection: RunnerConnection
    ): RunEnd {
        val output = connection.output
        val first = (request.headers["last-event-id"]?.toInt() ?: 0) + 1
        val isFramed = fault !is RunnerFault.Unframed && fault !is RunnerFault.UnframedReset
        val framing = if (isFramed) "Transfer-Encoding: chunked\r\n" else ""
        output.write(
            (
                "HTTP/1.1 200 OK\r\n${sealHeaders}Content-Type: text/event-stream\r\n" +
                    "$framing\r\n"
                ).toByteArray()
        )
        for (event in first..EVENT_COUNT) {
            val text = "id: $event\ndata: $event of ${request.id}\n\n"
            if (isBrokenAt(fault, event)) {
                output.piece(text.take(text.length / 2), isFramed)
                return RunEnd.Broken
            }
            if (fault is RunnerFault.UnframedReset && fault.event == event) {
                TimeUnit.MILLISECONDS.sleep(BEFORE_RESET_MS)
                throw ConnectionResetException()
            }
            output.piece(text, isFramed)
            connection.work(maxOf(eventGapMs, request.workMs / EVENT_COUNT))
        }
        if (isFramed) output.write("0\r\n\r\n".toByteArray())
        output.flush()
        return RunEnd.Answered(OK)
    }

    private fun isBrokenAt(fault: RunnerFault, event: Int): Boolean =
        (fault is RunnerFault.BreakAt && fault.event == event) ||
            (fault is RunnerFault.Unframed && fault.brokenEvent == event)

    private val RunRequest.workMs: Long get() = headers["work-ms"]?.toLong() ?: 0

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

    /** Sends [head] and a body of [TRICKLE_BYTES], one byte at a time, until the caller closes. */
    private fun OutputStream.trickle(head: String) {
        write(head.toByteArray())
        repeat(TRICKLE_BYTES) {
            write('x'.code)
            flush()
            TimeUnit.MILLISECONDS.sleep(TRICKLE_GAP_MS)
        }
    }

    /** Refuses the request [id] as the runner is full; null leaves the id out. */
    private fun OutputStream.refuse(id: String?, headers: String = "") {
        val idHeader = id?.let { "Attempt-Id: $it\r\n" }.orEmpty()
        val all = "${idHeader}Not-Executed: 1\r\n$headers${leavingHeader()}"
        answer(UNAVAILABLE, all, "")
    }

    private fun leavingHeader(): String = if (isLeaving) "Server-Leaving: 1\r\n" else ""

    private fun OutputStream.answer(status: Int, headers: String, body: String) {
        write(
            "HTTP/1.1 $status Status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"
                .toByteArray()
        )
        flush()
    }

    private fun OutputStream.piece(text: String, isChunk: Boolean) {
        val bytes = if (isChunk) "${text.length.toString(HEX_RADIX)}\r\n$text\r\n" else text
        write(bytes.toByteArray())
        flush()
    }

    public companion object {
        /** Number of events in a complete stream. */
        public const val EVENT_COUNT: Int = 12
        private const val OK = 200
        private const val WRONG_INSTANCE = 421
        private const val FAILURE = 500
        private const val UNAVAILABLE = 503
        private const val BACKLOG = 64
        private const val TRICKLE_BYTES = 10_000
        private const val TRICKLE_GAP_MS = 200L
        private const val HEX_RADIX = 16

        /** Time in which the receiver reads what was sent, since a reset discards the rest. */
        private const val BEFORE_RESET_MS = 100L
    }
}

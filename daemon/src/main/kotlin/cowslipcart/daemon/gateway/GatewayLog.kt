package cowslipcart.daemon.gateway

import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Level of a log line. */
public enum class LogLevel { INFO, WARN, ERROR }

/**
 * Writes log lines as JSON objects to [output], on a thread of its own. Lines are dropped when the
 * output does not keep up, so that logging never blocks a request.
 *
 * This is no logging library, since starting one takes a third of the start of a gateway.
 */
public class JsonLineLog(private val output: OutputStream) {
    private val lines = ArrayBlockingQueue<String>(QUEUE_CAPACITY)
    private val dropped = AtomicLong()
    private val writer by lazy { thread(isDaemon = true, name = "log") { writeLines() } }

    /** Number of lines that were dropped. */
    public val droppedCount: Long get() = dropped.get()

    /**
     * Queues a line; never blocks.
     *
     * @param atMs wall-clock time, in ms since the Unix epoch
     */
    public fun write(
        atMs: Long,
        level: LogLevel,
        logger: String,
        message: String,
        fields: List<Pair<String, Any?>>,
        throwable: Throwable? = null
    ) {
        writer
        val text = StringBuilder(LINE_LENGTH)
        text.append("{\"timestamp\":").append(atMs)
        text.append(",\"level\":").appendQuoted(level.name)
        text.append(",\"loggerName\":").appendQuoted(logger)
        text.append(",\"kvpList\": [")
        fields.forEachIndexed { index, (key, value) ->
            text.append(if (index == 0) "{" else ",{").appendQuoted(key)
            text.append(':').appendQuoted(value.toString()).append('}')
        }
        text.append("],\"message\":").appendQuoted(message).append(",\"throwable\":")
        if (throwable == null) text.append("null") else text.appendQuoted(describe(throwable))
        text.append("}\n")
        if (!lines.offer(text.toString())) dropped.incrementAndGet()
    }

    /** Writes the queued lines, for [timeoutMs] at most; no further lines are written. */
    public fun stop(timeoutMs: Long) {
        if (lines.offer(END, timeoutMs, TimeUnit.MILLISECONDS)) writer.join(timeoutMs)
    }

    private fun describe(throwable: Throwable): String =
        throwable.stackTrace.take(MAX_FRAMES).joinToString(" < ", "$throwable at ")

    /** Writes what has gathered with one call, as each call has its cost. */
    private fun writeLines() {
        val batch = mutableListOf<String>()
        while (END !in batch) {
            batch.clear()
            batch += lines.take()
            lines.drainTo(batch, MAX_BATCH)
            try {
                output.write(batch.filter { it != END }.joinToString("").toByteArray())
                output.flush()
            } catch (_: IOException) {
                // There is no other place to report this; the count is a metric.
                dropped.addAndGet(batch.size.toLong())
            }
        }
    }

    public companion object {
        /** Log of this process, on standard output. */
        public val ofProcess: JsonLineLog by lazy {
            JsonLineLog(FileOutputStream(FileDescriptor.out))
        }

        /** Log lines that wait for the output. */
        private const val QUEUE_CAPACITY = 1_024
        private const val MAX_BATCH = 64
        private const val LINE_LENGTH = 512
        private const val MAX_FRAMES = 8

        /** Ends the thread that writes; no line is empty. */
        private const val END = ""
    }
}

/** Appends [text] as a JSON string. */
private fun StringBuilder.appendQuoted(text: String): StringBuilder {
    append('"')
    for (char in text) {
        when {
            char == '"' -> append("\\\"")

            char == '\\' -> append("\\\\")

            char == '\n' -> append("\\n")

            char < ' ' -> append(
                "\\u"
            ).append(char.code.toString(HEX_RADIX).padStart(CODE_LENGTH, '0'))

            else -> append(char)
        }
    }
    return append('"')
}

private const val HEX_RADIX = 16
private const val CODE_LENGTH = 4

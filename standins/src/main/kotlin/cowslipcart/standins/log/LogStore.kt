package cowslipcart.standins.log

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.log.LogPage
import cowslipcart.core.log.LogRecord
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StreamName

/**
 * Limits of a [LogStore].
 *
 * @property retentionMs age in milliseconds beyond which records are removed
 * @property retentionRecords records that a stream keeps at most
 * @property appendsPerS rate of the token bucket for appends to all streams together; its
 * capacity is one second's worth
 */
public data class LogStoreSettings(
    public val retentionMs: Long = 7_200_000,
    public val retentionRecords: Int = 1_000_000,
    public val appendsPerS: Double = 300.0
)

/** Refusal of a call to a [LogStore]; nothing was written. */
public sealed interface LogStoreError {
    /** More appends than the limit allows. */
    public data class RateExceeded(public val appendsPerS: Double) : LogStoreError
}

/**
 * Streams of records with limited retention, without input or output. `nowMs` is milliseconds since
 * 1970. If it jumps back, new records get the time stamp of the record before. Not thread-safe.
 */
public class LogStore(private val settings: LogStoreSettings) {
    private class Stream {
        val records = ArrayDeque<LogRecord>()
        var endOffset = 0L
        var lastAppendMs = Long.MIN_VALUE
    }

    private val streams = HashMap<StreamName, Stream>()
    private var appendTokens = settings.appendsPerS
    private var refilledAtMs: Long? = null

    /** Appends one record and returns it with its offset and time stamp. */
    public fun append(
        name: StreamName,
        payload: ByteArray,
        nowMs: Long
    ): Either<LogStoreError, LogRecord> {
        if (!takeAppendToken(nowMs)) return LogStoreError.RateExceeded(settings.appendsPerS).left()
        val stream = streams.getOrPut(name) { Stream() }
        stream.lastAppendMs = maxOf(stream.lastAppendMs, nowMs)
        val record = LogRecord(LogOffset(stream.endOffset), stream.lastAppendMs, payload)
        stream.records.addLast(record)
        stream.endOffset++
        trim(stream, nowMs)
        return record.right()
    }

    /**
     * Returns at most [maxCount] kept records from [from] on. The newest [hiddenCount] records of
     * the stream are left out, as by a replica that lags.
     */
    public fun read(
        name: StreamName,
        from: LogOffset,
        maxCount: Int,
        nowMs: Long,
        hiddenCount: Int = 0
    ): LogPage {
        val stream = streams[name] ?: return LogPage(emptyList(), LogOffset(0), LogOffset(0))
        trim(stream, nowMs)
        val firstKept = stream.endOffset - stream.records.size
        val visibleEnd = (stream.endOffset - hiddenCount).coerceAtLeast(0)
        val start = from.value.coerceAtLeast(firstKept)
        val end = minOf(visibleEnd, start + maxCount)
        val records = (start until end).map { stream.records[(it - firstKept).toInt()] }
        return LogPage(records, LogOffset(minOf(firstKept, visibleEnd)), LogOffset(visibleEnd))
    }

    /** Refills the token bucket and takes one token; returns false if there is none. */
    private fun takeAppendToken(nowMs: Long): Boolean {
        val passedMs = (nowMs - (refilledAtMs ?: nowMs)).coerceAtLeast(0)
        refilledAtMs = nowMs
        appendTokens = (appendTokens + passedMs * settings.appendsPerS / MS_PER_S)
            .coerceAtMost(settings.appendsPerS)
        if (appendTokens < 1.0) return false
        appendTokens -= 1.0
        return true
    }

    private fun trim(stream: Stream, nowMs: Long) {
        val records = stream.records
        while (records.size > settings.retentionRecords ||
            records.firstOrNull()?.let { nowMs - it.appendedAtMs > settings.retentionMs } == true
        ) {
            records.removeFirst()
        }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}

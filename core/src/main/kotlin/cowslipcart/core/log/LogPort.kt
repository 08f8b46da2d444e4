package cowslipcart.core.log

import arrow.core.Either
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StreamName

/**
 * Port to the platform's append-only log service. Implemented by an HTTP adapter in the daemon and
 * by fakes in tests.
 */
public interface LogPort {
    /**
     * Appends one record and returns its offset. After [LogError.Unknown] the record may have been
     * written; only a read can tell.
     */
    public suspend fun append(stream: StreamName, payload: ByteArray): Either<LogError, LogOffset>

    /**
     * Returns at most [maxCount] records from [from] on. If there are none, waits up to [waitMs]
     * for one and then returns an empty page.
     */
    public suspend fun read(
        stream: StreamName,
        from: LogOffset,
        maxCount: Int,
        waitMs: Long
    ): Either<LogError, LogPage>
}

/**
 * A page of records of one stream.
 *
 * @property firstKeptOffset offset of the oldest record that retention has not removed
 * @property endOffset offset that the next append will get
 */
public data class LogPage(
    public val records: List<LogRecord>,
    public val firstKeptOffset: LogOffset,
    public val endOffset: LogOffset
)

/**
 * A record of a stream.
 *
 * @property appendedAtMs time stamp of the log service, milliseconds since 1970; it does not
 * decrease within a stream
 */
public class LogRecord(
    public val offset: LogOffset,
    public val appendedAtMs: Long,
    public val payload: ByteArray
)

/** Failure of a call to the log. */
public sealed interface LogError {
    /** The log refused the call or could not be reached; nothing was written. */
    public data class Unavailable(public val detail: String) : LogError

    /** The response was lost; an append may have taken effect. */
    public data class Unknown(public val detail: String) : LogError
}

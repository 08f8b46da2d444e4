package cowslipcart.core.store

import arrow.core.Either
import cowslipcart.core.model.LogOffset

/** Tables of the platform's store that the gateway reads. */
public enum class StoreTable { CONFIGURATION, ENDPOINTS, HOSTS }

/**
 * The platform's store of keyed records, as the gateway sees it. Every change has an offset; the
 * newest record of each key is kept, older ones may be dropped at any time.
 */
public interface KeyedStore {
    /** Reads the newest record of each key. */
    public suspend fun newest(table: StoreTable): Either<StoreError, TableSnapshot>

    /**
     * Reads the changes from [from] on; waits up to [waitMs] for one if there is none, and up to
     * [answerMs] more for the answer.
     */
    public suspend fun changes(
        table: StoreTable,
        from: LogOffset,
        waitMs: Long,
        answerMs: Long
    ): Either<StoreError, TableChanges>

    /** Writes one record; on [StoreError.Unavailable] it may have been written all the same. */
    public suspend fun put(
        table: StoreTable,
        key: String,
        value: ByteArray
    ): Either<StoreError, Unit>
}

/** A record of a table; [value] is null if the key was dropped. */
public class TableRecord(
    public val key: String,
    public val value: ByteArray?,
    public val offset: LogOffset
)

/**
 * The newest record of each key.
 *
 * @property end offset that the next change will get, as of the begin of the read
 */
public class TableSnapshot(public val records: List<TableRecord>, public val end: LogOffset)

/** Changes in order; [next] is the offset to go on from. */
public class TableChanges(public val records: List<TableRecord>, public val next: LogOffset)

/** Why a call to the store failed. */
public sealed interface StoreError {
    /** No answer, a refusal, or an answer that can't be read. */
    public data class Unavailable(public val reason: String) : StoreError

    /** The changes asked for have been dropped; a snapshot tells the present state. */
    public data object Trimmed : StoreError
}

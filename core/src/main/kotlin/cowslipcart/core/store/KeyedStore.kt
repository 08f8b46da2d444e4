package cowslipcart.core.store

import arrow.core.Either
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StoreEra

/** Tables of the platform's store that the gateway reads. */
public enum class StoreTable {
    CONFIGURATION,
    ENDPOINTS,
    HOSTS,
    ROLLOUTS,
    QUARANTINES,
    VERSIONS,
    STREAMS
}

/**
 * The platform's store of keyed records, as the gateway sees it. It is a compacted log: every
 * change has an offset; the newest record of each key is kept, older ones may be removed at any
 * time.
 */
public interface KeyedStore {
    /** Reads the newest record of each key. */
    public suspend fun newest(table: StoreTable): Either<StoreError, TableSnapshot>

    /**
     * Reads the changes from [from] on. Without a change the store waits up to [waitMs] for one;
     * the answer may take [responseTimeoutMs] longer.
     */
    public suspend fun changes(
        table: StoreTable,
        from: LogOffset,
        waitMs: Long,
        responseTimeoutMs: Long
    ): Either<StoreError, TableChanges>

    /** Writes one record; after [StoreError.Unavailable] it may have been written nevertheless. */
    public suspend fun put(
        table: StoreTable,
        key: String,
        value: ByteArray
    ): Either<StoreError, Unit>

    /**
     * Writes one record if the table ends at [expectedEnd], else returns [StoreError.Conflict].
     * After [StoreError.Unavailable] it may have been written nevertheless, or may be later, as
     * long as the table still ends there.
     */
    public suspend fun putAt(
        table: StoreTable,
        key: String,
        value: ByteArray,
        expectedEnd: LogOffset
    ): Either<StoreError, Unit>
}

/** A record of a table; [value] is null if the key was deleted. */
public class TableRecord(
    public val key: String,
    public val value: ByteArray?,
    public val offset: LogOffset
)

/**
 * The newest record of each key.
 *
 * @property end offset of the next change, as of the start of the read
 * @property era era of the offsets
 */
public class TableSnapshot(
    public val records: List<TableRecord>,
    public val end: LogOffset,
    public val era: StoreEra = StoreEra.UNSTATED
)

/**
 * Changes in log order; [next] is the offset from which to continue, in [era]. In another era than
 * that of the offset from which they were read, there may be changes before them.
 */
public class TableChanges(
    public val records: List<TableRecord>,
    public val next: LogOffset,
    public val era: StoreEra = StoreEra.UNSTATED
)

/** Why a call to the store failed. */
public sealed interface StoreError {
    /** No answer, a refusal, or an answer that can't be read. */
    public data class Unavailable(public val reason: String) : StoreError

    /** The requested changes have been trimmed from the log; a snapshot has to be read instead. */
    public data object Trimmed : StoreError

    /** The table has another end than the condition of a write named. */
    public data object Conflict : StoreError
}

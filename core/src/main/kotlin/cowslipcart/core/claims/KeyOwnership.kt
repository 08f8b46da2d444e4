package cowslipcart.core.claims

import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/** A record of the stream `epochs`. */
public sealed interface EpochEntry {
    /** Starts epoch [number] over the key times from [fromKeyTimeMs] to below [untilKeyTimeMs]. */
    public data class Epoch(
        public val number: Long,
        public val hosts: List<AttemptOrigin>,
        public val fromKeyTimeMs: Long,
        public val untilKeyTimeMs: Long
    ) : EpochEntry

    /** Moves the end of epoch [number], which must be the last one, forward. */
    public data class ExtendEpoch(public val number: Long, public val untilKeyTimeMs: Long) :
        EpochEntry

    /**
     * Repeats the [epochs] that were valid up to [throughOffset], for readers that find the stream
     * trimmed. Valid only if it lies directly behind [throughOffset]: a trimmed stream does not
     * show which of two racing epochs came first.
     */
    public data class Checkpoint(
        public val throughOffset: LogOffset,
        public val epochs: List<Epoch>
    ) : EpochEntry
}

/**
 * A record of the stream `epochs` with its place in the log.
 *
 * @property appendedAtMs time stamp of the log service, milliseconds since 1970
 * @property entry null if no version can read the record; it is void on every host
 */
public data class EpochRecord(
    public val offset: LogOffset,
    public val appendedAtMs: Long,
    public val entry: EpochEntry?
)

/** Who decides about a key. */
public sealed interface KeyOwner {
    /** This host process, for all time. */
    public data class Known(public val owner: AttemptOrigin) : KeyOwner

    /** The key's time lies after the last epoch that is known. */
    public data object NotYetCovered : KeyOwner

    /** The key's time lies before the first epoch that is known. */
    public data object BeforeHistory : KeyOwner
}

/** Replay of the stream `epochs`: maps each key to the one process that decides about it. */
public interface KeyEpochs {
    /** Offset of the first record that is not applied. */
    public val nextOffset: LogOffset

    /**
     * Applies a record; a void one and one below [nextOffset] change nothing. After a gap the
     * epochs that are known stay in force, and no others are accepted before a valid checkpoint.
     */
    public fun apply(record: EpochRecord)

    /** Returns the owner of [key]. */
    public fun ownerOf(key: RequestKey): KeyOwner

    /**
     * Returns the record to append so that key times up to [wallNowMs] plus the horizon are
     * covered by the hosts in [live], or null if nothing is due. A change of [live] starts a new
     * epoch at the end of the last one, when that end is due for renewal; it could not take effect
     * earlier.
     */
    public fun proposeEntry(live: List<AttemptOrigin>, wallNowMs: Long): EpochEntry?
}

/** Claims that this process decides as a key owner; kept in memory for 1 h of key time. */
public interface SoftClaims {
    /**
     * Decides a claim. Answers [ClaimVerdict.Undecided] if [epochs] does not name this process as
     * owner of the key.
     *
     * @param wallNowMs wall clock of this host, only used to drop old entries and refuse old keys
     */
    public fun claim(claim: ClaimItem.Claim, epochs: KeyEpochs, wallNowMs: Long): ClaimVerdict

    /** Frees the key of [attempt] if it holds it; the attempt id stays released. */
    public fun release(key: RequestKey, attempt: AttemptId)

    /** Number of keys held. */
    public val size: Int
}

/** Where to send a claim. */
public sealed interface ClaimRoute {
    /** To the batcher of a partition, now [host]. */
    public data class Batcher(public val partition: Int, public val host: HostId) : ClaimRoute

    /** To the key owner. */
    public data class Owner(public val owner: AttemptOrigin) : ClaimRoute

    /** Nobody can decide now; the request is not run. */
    public data class Nobody(public val detail: String) : ClaimRoute
}

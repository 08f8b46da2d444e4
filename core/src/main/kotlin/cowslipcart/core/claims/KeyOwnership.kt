package cowslipcart.core.claims

import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/** A record of the stream `epochs`. */
public sealed interface EpochEntry {
    /**
     * Starts epoch [number], in which [hosts] own the keys with times from [fromKeyTimeMs] to below
     * [untilKeyTimeMs].
     */
    public data class Epoch(
        public val number: Long,
        public val hosts: List<ProcessId>,
        public val fromKeyTimeMs: Long,
        public val untilKeyTimeMs: Long
    ) : EpochEntry

    /** Moves the end of epoch [number], which must be the last one, to a later key time. */
    public data class ExtendEpoch(public val number: Long, public val untilKeyTimeMs: Long) :
        EpochEntry

    /**
     * Snapshot of the valid [epochs] after the record at [throughOffset], for readers that find the
     * stream trimmed. Valid only in the record directly after [throughOffset]: in a trimmed stream,
     * a reader cannot tell which of two concurrent epochs came first.
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
 * @property entry null if no version can read the record; every host ignores it
 */
public data class EpochRecord(
    public val offset: LogOffset,
    public val appendedAtMs: Long,
    public val entry: EpochEntry?
)

/** The host process that decides the claims of a key, if it is known. */
public sealed interface KeyOwner {
    /** [owner] decides the claims; this never changes for a key. */
    public data class Known(public val owner: ProcessId) : KeyOwner

    /** The key's time lies after the last known epoch. */
    public data object NotYetCovered : KeyOwner

    /** The key's time lies before the first known epoch. */
    public data object BeforeHistory : KeyOwner
}

/**
 * Replica of the stream `epochs`: maps each key to the one host process that decides its claims.
 */
public interface KeyEpochs {
    /** Offset of the first record that is not applied yet. */
    public val nextOffset: LogOffset

    /**
     * Applies a record; an invalid one and one below [nextOffset] change nothing. After a gap the
     * known epochs stay valid, and no others are accepted before a valid checkpoint.
     */
    public fun apply(record: EpochRecord)

    /** Returns the owner of [key]. */
    public fun ownerOf(key: RequestKey): KeyOwner

    /**
     * Returns the record to append so that key times up to [wallNowMs] plus the horizon are
     * covered by the hosts in [live], or null if nothing is due. After a change of [live], a new
     * epoch is proposed when the last one is due for renewal; it starts at the end of the last one
     * and could not take effect earlier.
     */
    public fun proposeEntry(live: List<ProcessId>, wallNowMs: Long): EpochEntry?
}

/** Claims that this process decides as key owner; kept in memory only, for 1 h of key time. */
public interface OwnerClaims {
    /**
     * Decides a claim. Returns [ClaimVerdict.Undecided] if [epochs] does not name this process as
     * owner of the key.
     *
     * @param wallNowMs wall clock of this host, only used to drop old entries and refuse old keys
     */
    public fun claim(claim: ClaimItem.Claim, epochs: KeyEpochs, wallNowMs: Long): ClaimVerdict

    /** Releases [key] if [attempt] holds it; the attempt can never win afterwards. */
    public fun release(key: RequestKey, attempt: AttemptId)

    /** Number of keys held. */
    public val size: Int
}

/** Destination of a claim. */
public sealed interface ClaimRoute {
    /** The batcher of [partition], which runs on [host] now. */
    public data class Batcher(public val partition: Int, public val host: HostId) : ClaimRoute

    /** The key owner. */
    public data class Owner(public val owner: ProcessId) : ClaimRoute

    /** No destination can decide the claim now; the request is not run. */
    public data class Nobody(public val detail: String) : ClaimRoute
}

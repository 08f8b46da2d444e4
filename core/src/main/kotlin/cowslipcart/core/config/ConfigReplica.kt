package cowslipcart.core.config

import cowslipcart.core.model.LogOffset

/** Replay of the stream `config`. The state moves forward only. */
public interface ConfigReplica {
    /** Configuration and the offset it stands for. */
    public val state: ConfigState

    /**
     * Offset to read from next. It is above [ConfigState.nextOffset] while the replica looks for a
     * checkpoint behind a trimmed gap.
     */
    public val readFrom: LogOffset

    /**
     * Applies records in the order of their offsets and returns a verdict for each. Records below
     * [ConfigState.nextOffset] change nothing; those that a peer's state has overtaken still get their
     * verdict. If records before the first one are
     * gone ([firstKeptOffset] is above `nextOffset`), records up to the first valid checkpoint
     * are skipped. Records behind a gap that was not trimmed are ignored.
     */
    public fun apply(records: List<ConfigRecord>, firstKeptOffset: LogOffset): List<ConfigVerdict>

    /** Takes the state of a peer if it is ahead of this one; returns whether it was taken. */
    public fun adopt(peerState: ConfigState): Boolean

    /**
     * Returns a checkpoint to append if the oldest record needed for a replay is older than a third
     * of [retentionMs] at [logNowMs], or if its age is not known because the state came from a
     * peer; else null.
     */
    public fun proposeCheckpoint(logNowMs: Long, retentionMs: Long): ConfigEntry.Checkpoint?
}

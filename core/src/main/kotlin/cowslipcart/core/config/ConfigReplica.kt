package cowslipcart.core.config

import cowslipcart.core.model.LogOffset

/**
 * Replica of the configuration, made by replaying the stream `config`. Its state never goes back to
 * an earlier offset.
 */
public interface ConfigReplica {
    /** Configuration, and the offset up to which it includes the log. */
    public val state: ConfigState

    /**
     * Offset to read from next. It is above [ConfigState.nextOffset] while the replica looks for a
     * checkpoint because records that it needs were trimmed.
     */
    public val readFrom: LogOffset

    /**
     * Applies [records], sorted by offset, and returns the verdict of each record that it decides.
     *
     * Records below [ConfigState.nextOffset] change nothing, but those that the replica skipped by
     * adopting the state of a peer still get their verdicts. If records from `nextOffset` on were
     * trimmed ([firstKeptOffset] is above `nextOffset`), records before the first valid checkpoint
     * are skipped. Records after a gap that was not trimmed are ignored.
     */
    public fun apply(records: List<ConfigRecord>, firstKeptOffset: LogOffset): List<ConfigVerdict>

    /** Replaces the state by that of a peer if it is ahead; returns whether it was replaced. */
    public fun adopt(peerState: ConfigState): Boolean

    /**
     * Returns a checkpoint to append if one is due, else null. One is due if the oldest record that
     * a replay needs is older than a third of [retentionMs] at [logNowMs], or if the age of that
     * record is unknown because the state came from a peer.
     */
    public fun checkpointIfDue(logNowMs: Long, retentionMs: Long): ConfigEntry.Checkpoint?
}

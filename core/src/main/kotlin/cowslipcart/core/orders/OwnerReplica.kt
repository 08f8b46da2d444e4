package cowslipcart.core.orders

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.ShardId

/** Replica of the stream `owners`, which tells the process that took over each shard last. */
public interface OwnerReplica {
    /** Offset of the next record to apply. */
    public val nextOffset: LogOffset

    /** Applies the record at [offset]; a record below [nextOffset] is ignored. */
    public fun apply(offset: LogOffset, entry: OwnerEntry)

    /** Continues at [offset], as the records before it were trimmed or cannot be read. */
    public fun skipTo(offset: LogOffset)

    /** Returns the owner in the last record of [shard] that was applied, or null without one. */
    public fun findOwner(shard: ShardId): RecordedOwner?
}

/** A process that took over a shard, and the offset of its record. */
public data class RecordedOwner(public val process: ProcessId, public val offset: LogOffset)

/** Creates a replica that expects the record at offset 0 first. */
public fun createOwnerReplica(): OwnerReplica = ReplayedOwnerReplica()

private class ReplayedOwnerReplica : OwnerReplica {
    private val owners = HashMap<ShardId, RecordedOwner>()

    override var nextOffset: LogOffset = LogOffset(0)
        private set

    override fun apply(offset: LogOffset, entry: OwnerEntry) {
        if (offset < nextOffset) return
        nextOffset = offset.next()
        when (entry) {
            is OwnerEntry.TakeOver -> owners[entry.shard] = RecordedOwner(entry.process, offset)
        }
    }

    override fun skipTo(offset: LogOffset) {
        nextOffset = maxOf(nextOffset, offset)
    }

    override fun findOwner(shard: ShardId): RecordedOwner? = owners[shard]
}

package cowslipcart.core.orders

import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.ShardId

/** Replay of the stream `owners`: the last process that took over each shard. */
public interface OwnerStream {
    /** Offset of the first record that is not applied. */
    public val nextOffset: LogOffset

    /** Applies a record; one below [nextOffset] changes nothing. */
    public fun apply(offset: LogOffset, entry: OwnerEntry)

    /** Continues at [offset]; the records before it were removed or cannot be read. */
    public fun skipTo(offset: LogOffset)

    /** Returns the last take-over of [shard] that was read, or null if there was none. */
    public fun lastOf(shard: ShardId): RecordedOwner?
}

/** A process that took over a shard, and the offset of its record. */
public data class RecordedOwner(public val process: AttemptOrigin, public val offset: LogOffset)

/** Creates a replay that expects the record at offset 0 first. */
public fun createOwnerStream(): OwnerStream = ReplayedOwnerStream()

private class ReplayedOwnerStream : OwnerStream {
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

    override fun lastOf(shard: ShardId): RecordedOwner? = owners[shard]
}

package cowslipcart.core.claims

import cowslipcart.core.log.LogError
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/**
 * Appends claims of one key partition to its log stream in batches and decides them by log order.
 * Several batchers of one partition may run at once without harm. `nowMs` is monotonic time in
 * milliseconds.
 */
public interface ClaimBatcher {
    /** Takes a claim for [replyTo]. A repeated attempt id is answered again, not claimed again. */
    public fun claim(claim: ClaimItem.Claim, replyTo: HostId, nowMs: Long): List<BatcherEffect>

    /** Takes a release or an outcome; it is appended with the next batch and has no reply. */
    public fun record(item: ClaimItem, nowMs: Long): List<BatcherEffect>

    /** The append of batch [batch] was acknowledged at [offset]. */
    public fun onAppended(batch: Long, offset: LogOffset, nowMs: Long): List<BatcherEffect>

    /** The append of batch [batch] failed, or its answer was lost. */
    public fun onAppendFailed(batch: Long, error: LogError, nowMs: Long): List<BatcherEffect>

    /** Takes records in offset order, as far as they were read. */
    public fun onRecords(
        records: List<ClaimRecord>,
        firstKeptOffset: LogOffset,
        endOffset: LogOffset,
        nowMs: Long
    ): List<BatcherEffect>

    /** A read failed. */
    public fun onReadFailed(error: LogError, nowMs: Long): List<BatcherEffect>

    /** Sends due batches, repeats failed ones, gives up claims that are too late. */
    public fun tick(nowMs: Long): List<BatcherEffect>
}

/** Effect of a [ClaimBatcher]; [partition] names its stream. */
public sealed interface BatcherEffect {
    /** Partition of the batcher. */
    public val partition: Int

    /** Append [items] as one record. */
    public data class Append(
        override val partition: Int,
        public val batch: Long,
        public val items: List<ClaimItem>
    ) : BatcherEffect

    /** Read records from [from] on without waiting for new ones. */
    public data class Read(override val partition: Int, public val from: LogOffset) :
        BatcherEffect

    /** Tell [to] the result of its attempt. */
    public data class Reply(
        override val partition: Int,
        public val to: HostId,
        public val attempt: AttemptId,
        public val verdict: ClaimVerdict
    ) : BatcherEffect
}

package cowslipcart.core.claims

import cowslipcart.core.log.LogError
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/**
 * Appends claims of one key partition to its log stream in batches and decides them by log order.
 * Several batchers of one partition may run at once: the log order alone decides. `nowMs` is
 * monotonic time in milliseconds. Every function returns the effects to carry out.
 */
public interface ClaimBatcher {
    /** Queues a claim of [replyTo]. A repeated attempt id is answered again, not claimed again. */
    public fun claim(claim: ClaimItem.Claim, replyTo: HostId, nowMs: Long): List<BatcherEffect>

    /** Queues a release or an outcome for the next batch; it has no reply. */
    public fun enqueue(item: ClaimItem, nowMs: Long): List<BatcherEffect>

    /** Handles the acknowledgement that the batch [batchId] was appended at [offset]. */
    public fun onAppended(batchId: Long, offset: LogOffset, nowMs: Long): List<BatcherEffect>

    /** Handles a failed append of the batch [batchId], or the loss of its acknowledgement. */
    public fun onAppendFailed(batchId: Long, error: LogError, nowMs: Long): List<BatcherEffect>

    /** Applies a page of records in offset order; the other offsets are those of the page read. */
    public fun onRecords(
        records: List<ClaimRecord>,
        firstKeptOffset: LogOffset,
        endOffset: LogOffset,
        nowMs: Long
    ): List<BatcherEffect>

    /** Handles a failed read. */
    public fun onReadFailed(error: LogError, nowMs: Long): List<BatcherEffect>

    /** Starts due appends and reads, and answers claims that timed out as undecided. */
    public fun tick(nowMs: Long): List<BatcherEffect>
}

/** What a [ClaimBatcher] asks its caller to do. */
public sealed interface BatcherEffect {
    /** Partition whose stream `claims-P` is meant. */
    public val partition: Int

    /** Append [items] as one record and report the result with the id [batchId]. */
    public data class Append(
        override val partition: Int,
        public val batchId: Long,
        public val items: List<ClaimItem>
    ) : BatcherEffect

    /** Read records from [from] on and do not wait for new ones. */
    public data class Read(override val partition: Int, public val from: LogOffset) :
        BatcherEffect

    /** Send [verdict] on [attempt] to the host [to]. */
    public data class Reply(
        override val partition: Int,
        public val to: HostId,
        public val attempt: AttemptId,
        public val verdict: ClaimVerdict
    ) : BatcherEffect
}

package cowslipcart.core.capacity

import cowslipcart.core.model.GrantId
import kotlin.math.max

/**
 * Request that runs under a grant, from the issue or adoption of the grant to its end.
 *
 * @property sequence number in the order of grants
 * @property uncachedTokens prompt tokens that the endpoint was not expected to cache
 * @property cachedTokens prompt tokens that the endpoint was expected to cache
 * @property aheadTokens prompt tokens of earlier grants that the endpoint processes first
 * @property outputTokens expected output tokens, corrected by [OutputEstimator]
 * @property expectedFirstTokenMs time from the grant to the first token, estimated at the grant
 * @property isAdopted whether an earlier owner issued the grant; [request] then estimates only
 *   the rest of the answer
 * @property isConfirmed whether the origin has reported that the grant is running
 */
internal class RunningWork(
    val grantId: GrantId,
    val request: CapacityRequest,
    val endpoint: EndpointState,
    val sequence: Long,
    val grantedAtMs: Long,
    val uncachedTokens: Int,
    val cachedTokens: Int,
    val aheadTokens: Double,
    val outputTokens: Int,
    val expectedFirstTokenMs: Double,
    val isAdopted: Boolean,
    var isConfirmed: Boolean
) {
    /** Tokens counted against the endpoint's budget; constant while the grant runs. */
    val reservedTokens: Long = request.prefillTokens.toLong() + outputTokens

    // A copy, so that a changed declaration does not break the order of [GrantTable.interruptible].
    private val canResume = endpoint.spec.canResume

    /** Output tokens by the last progress report. */
    var sentTokens: Int = 0
        private set

    /** Time of the last progress report, or of the grant. */
    var progressAtMs: Long = grantedAtMs
        private set

    /** Expected output tokens still to come. */
    var remainingTokens: Int = outputTokens
        private set

    /** When the origin was last told to preempt the request; null if it was not. */
    var preemptedAtMs: Long? = null

    /** Records a progress report and returns the change of [remainingTokens]. */
    fun recordProgress(sentTokens: Int, nowMs: Long): Int {
        val before = remainingTokens
        this.sentTokens = max(sentTokens, this.sentTokens)
        progressAtMs = nowMs
        isConfirmed = true
        remainingTokens = max(outputTokens - this.sentTokens, MIN_REMAINING_TOKENS)
        return remainingTokens - before
    }

    companion object {
        // Kept for a stream past its estimate, since it still occupies its slot for a while.
        private const val MIN_REMAINING_TOKENS = 8

        /**
         * Order in which running work is preempted: lowest tier, then streams that can be resumed,
         * then the least prefill lost, then the latest grant.
         */
        val PREEMPTION_ORDER: Comparator<RunningWork> =
            compareByDescending<RunningWork> { it.request.tier.rank }
                .thenBy { !it.canResume }
                .thenBy { it.uncachedTokens }
                .thenByDescending { it.sequence }
    }
}

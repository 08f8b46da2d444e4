package cowslipcart.core.capacity

import cowslipcart.core.model.GrantId
import kotlin.math.max

/**
 * A grant that the owner has issued or adopted and that has not ended.
 *
 * @property sequence number in the order of grants
 * @property uncachedTokens prompt tokens that the endpoint has to read
 * @property cachedTokens prompt tokens that the prefix index expected in the endpoint's cache
 * @property aheadTokens prompt tokens of other grants that the endpoint reads before
 * @property outputTokens corrected estimate of the output
 * @property expectedFirstTokenMs time from the grant to the first token as estimated at the grant
 * @property isAdopted whether an earlier owner issued the grant; its request then estimates the rest
 *   of the answer only
 * @property isConfirmed whether the origin has reported the grant as running
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

    // A copy, so that a changed declaration does not disturb the order of give-way candidates.
    private val canResume = endpoint.spec.canResume

    /** Output tokens of the last progress report. */
    var sentTokens: Int = 0
        private set

    /** Time of the last progress report, or of the grant. */
    var progressAtMs: Long = grantedAtMs
        private set

    /** Output tokens still to come. */
    var remainingTokens: Int = outputTokens
        private set

    /** When the origin was told to give way; null if it was not. */
    var giveWaySinceMs: Long? = null

    /** Records a progress report and returns the change of [remainingTokens]. */
    fun recordProgress(sentTokens: Int, nowMs: Long): Int {
        val before = remainingTokens
        this.sentTokens = max(sentTokens, this.sentTokens)
        progressAtMs = nowMs
        isConfirmed = true
        remainingTokens = max(outputTokens - this.sentTokens, LEAST_REMAINING_TOKENS)
        return remainingTokens - before
    }

    companion object {
        // A stream that is past its estimate still occupies its slot for a while.
        private const val LEAST_REMAINING_TOKENS = 8

        /**
         * Order in which running work gives way: lowest tier, then streams that can be resumed,
         * then the least prefill lost, then the youngest.
         */
        val GIVE_WAY_ORDER: Comparator<RunningWork> =
            compareByDescending<RunningWork> { it.request.tier.rank }
                .thenBy { !it.canResume }
                .thenBy { it.uncachedTokens }
                .thenByDescending { it.sequence }
    }
}

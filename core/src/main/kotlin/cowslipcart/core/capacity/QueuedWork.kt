package cowslipcart.core.capacity

/**
 * A queued request with what the scheduler knows about its wait. Times ending in `Ms` are points on
 * the clock of [ShardScheduler].
 *
 * @property sequence order of arrival
 * @property firstTokenDueMs latest time at which the first token meets its target
 * @property isCharged whether its tokens were already charged to its organisation in [TierQueue]
 */
internal class QueuedWork(
    var request: CapacityRequest,
    val sequence: Long,
    val firstTokenDueMs: Long,
    val isCharged: Boolean
) {
    /** Expected output tokens, corrected by [OutputEstimator]. */
    var outputTokens: Int = request.outputTokens

    /** Deadline of the caller, or [NO_DEADLINE]. */
    var deadlineMs: Long = NO_DEADLINE

    /** When the deadline has to be checked again, or [NO_DEADLINE]. */
    var nextCheckMs: Long = NO_DEADLINE

    /** Until when the request may skip free endpoints; null if it has not skipped any. */
    var skipUntilMs: Long? = null

    /**
     * Endpoint that the last placement preferred to wait for although another was free, or null.
     */
    var awaited: EndpointState? = null

    /** Until when [awaited] may be waited for. */
    var awaitedUntilMs: Long = 0

    /** Endpoint that the request is parked on, see [TierQueue.park]; null if it is not parked. */
    var parkedOn: EndpointState? = null

    /** When the request is unparked even if [parkedOn] has not become free. */
    var parkedUntilMs: Long = 0

    /** Whether the request was found to have missed [firstTokenDueMs]. */
    var isLate: Boolean = false

    /**
     * Whether several running requests were preempted for this one. This happens only once;
     * otherwise a request too large for every endpoint would preempt all running work.
     */
    var hasPreemptedSeveral: Boolean = false

    /** Whether the request is of the top tier. */
    val isTop: Boolean get() = request.tier.rank == 0

    /** Tokens that the request will reserve in the token budget of an endpoint. */
    val reservedTokens: Long get() = request.prefillTokens.toLong() + outputTokens

    companion object {
        const val NO_DEADLINE: Long = Long.MAX_VALUE

        /** Earliest deadline first, then order of arrival. */
        val DEADLINE_ORDER: Comparator<QueuedWork> = Comparator { left, right ->
            val order = left.deadlineMs.compareTo(right.deadlineMs)
            if (order == 0) left.sequence.compareTo(right.sequence) else order
        }

        /** Earliest check first. */
        val CHECK_ORDER: Comparator<QueuedWork> = Comparator { left, right ->
            val order = left.nextCheckMs.compareTo(right.nextCheckMs)
            if (order == 0) left.sequence.compareTo(right.sequence) else order
        }
    }
}

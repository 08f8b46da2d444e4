package cowslipcart.core.capacity

/**
 * A request that waits for capacity.
 *
 * @property sequence order of arrival
 * @property firstTokenDueMs until when the first token counts as in time
 * @property isCharged whether its organisation has already paid for it in the fair queue
 */
internal class QueuedWork(
    var request: CapacityRequest,
    val sequence: Long,
    val firstTokenDueMs: Long,
    val isCharged: Boolean
) {
    /** Output tokens to expect, corrected by what the organisation's requests produced. */
    var outputTokens: Int = request.outputTokens

    /** Deadline of the caller; [NO_DEADLINE] without. */
    var deadlineMs: Long = NO_DEADLINE

    /** When the deadline has to be checked again; [NO_DEADLINE] if never. */
    var nextCheckMs: Long = NO_DEADLINE

    /** Until when the request may pass over free endpoints; null if it has not done so. */
    var passOverUntilMs: Long? = null

    /** Endpoint that the last choice waited for although another was free; null if none. */
    var awaited: EndpointState? = null

    /** Until when [awaited] may be waited for. */
    var awaitedUntilMs: Long = 0

    /** Endpoint that the request waits for although it could start elsewhere; null if none. */
    var parkedOn: EndpointState? = null

    /** When the choice to wait for [parkedOn] is made anew. */
    var parkedUntilMs: Long = 0

    /** Whether the request has missed the time for its first token. */
    var isLate: Boolean = false

    /**
     * Whether several running requests were told to give way for this one. That is done once, or a
     * request too large for every endpoint would interrupt all of them.
     */
    var hasForcedRoom: Boolean = false

    val isTop: Boolean get() = request.tier.rank == 0

    /** Tokens that the request reserves in the budget of an endpoint. */
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

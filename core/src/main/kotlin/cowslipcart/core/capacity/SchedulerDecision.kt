package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId

/** Decision of a [ShardScheduler], to be sent to the origin of [request] and logged. */
public sealed interface SchedulerDecision {
    /** The request that the decision is about. */
    public val request: CapacityRequest

    /**
     * [request] may be dispatched to [endpoint].
     *
     * @property candidates endpoints that were considered, best first
     * @property reason short reason for the log, for example `prefix` or `least-wait`
     */
    public data class Grant(
        override val request: CapacityRequest,
        public val grantId: GrantId,
        public val endpoint: EndpointId,
        public val candidates: List<EndpointId>,
        public val reason: String
    ) : SchedulerDecision

    /**
     * [request] will not run on this shard.
     *
     * @property retryAfterMs time after which a retry may succeed; null if none can
     */
    public data class Refuse(
        override val request: CapacityRequest,
        public val reason: RefusalReason,
        public val retryAfterMs: Long?
    ) : SchedulerDecision

    /** [request], running under [grantId], is preempted: its origin has to cancel the stream. */
    public data class Preempt(
        override val request: CapacityRequest,
        public val grantId: GrantId,
        public val endpoint: EndpointId
    ) : SchedulerDecision
}

/** Why the owner of a shard refused a request. */
public enum class RefusalReason {
    /** The queue is full, and the shard has no work of a lower tier to shed or preempt. */
    SHARD_FULL,

    /** The request cannot finish before its deadline. */
    DEADLINE,

    /** The preset in force stops this tier. */
    TIER_STOPPED,

    /** No endpoint of the shard can take the request. */
    NO_ENDPOINT
}

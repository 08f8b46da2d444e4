package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier

/**
 * Request for capacity, sent by the origin host of a request to the owner of a shard.
 *
 * @property timeLeftMs time until the caller's deadline, counted from the receipt of this request;
 * null without deadline
 * @property prefillTokens estimated length of the prompt
 * @property outputTokens estimated length of the answer still to come
 * @property prefixBlocks hashes of the prompt's prefixes, one per [PREFIX_BLOCK_TOKENS] tokens
 * @property isSuspect whether this prompt was running when an endpoint crashed; it then runs alone
 * @property isInterruptible whether the request may be preempted while it runs
 * @property resumeOn endpoint that holds the preempted stream and alone can resume it, or null
 */
public data class CapacityRequest(
    public val requestId: RequestId,
    public val origin: HostId,
    public val organisation: OrganisationId,
    public val tier: Tier,
    public val pool: PoolId,
    public val timeLeftMs: Long?,
    public val prefillTokens: Int,
    public val outputTokens: Int,
    public val prefixBlocks: List<PrefixBlock>,
    public val isSuspect: Boolean,
    public val isInterruptible: Boolean,
    public val resumeOn: EndpointId?
) {
    public companion object {
        /** Tokens in one prefix block. */
        public const val PREFIX_BLOCK_TOKENS: Int = 64
    }
}

/**
 * Running grant that an origin reports to the new owner of a shard.
 *
 * @property sentTokens output tokens that the caller has received
 */
public data class RunningGrant(
    public val grantId: GrantId,
    public val endpoint: EndpointId,
    public val request: CapacityRequest,
    public val sentTokens: Int
)

/** How a grant ended. */
public enum class GrantEnd {
    /** The endpoint sent the whole answer. */
    COMPLETED,

    /** The origin returned the grant and sent no byte to the endpoint. */
    UNUSED,

    /** The stream was cancelled because the caller disconnected or the request was preempted. */
    CANCELLED,

    /** The endpoint answered with an error or the connection was lost. */
    FAILED
}

/**
 * Report of the origin about an ended grant.
 *
 * @property cachedTokens prompt tokens that the endpoint took from its prefix cache
 * @property prefillTokens prompt tokens including the cached ones
 * @property firstTokenMs time from dispatch to the first token; null if none came
 * @property durationMs time from dispatch to the end
 */
public data class GrantReport(
    public val grantId: GrantId,
    public val end: GrantEnd,
    public val prefillTokens: Int,
    public val cachedTokens: Int,
    public val outputTokens: Int,
    public val firstTokenMs: Long?,
    public val durationMs: Long
)

/**
 * Progress of a running stream, reported about once a second.
 *
 * @property sentTokens output tokens since the dispatch
 */
public data class GrantProgress(public val grantId: GrantId, public val sentTokens: Int)

/**
 * Load report of an endpoint. Reports arrive late; see [ageMs].
 *
 * @property ageMs age of the report when it was received
 * @property runningCount requests in the batch of the engine
 * @property waitingTokens prompt tokens that wait for prefill
 * @property isLeaving whether the endpoint announced that it is leaving
 */
public data class LoadReport(
    public val endpoint: EndpointId,
    public val ageMs: Long,
    public val runningCount: Int,
    public val waitingTokens: Long,
    public val isLeaving: Boolean
)

/** Change of the prefix cache of an endpoint. Events arrive late, and some are lost. */
public data class CacheEvent(
    public val endpoint: EndpointId,
    public val block: PrefixBlock,
    public val isStored: Boolean
)

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
 * What an origin host asks of the owner of a shard.
 *
 * @property timeLeftMs time until the caller's deadline, counted from the receipt of this request;
 * null without deadline
 * @property prefillTokens estimated length of the prompt
 * @property outputTokens estimated length of the answer still to come
 * @property prefixBlocks hashes of the prompt's prefixes, one a block of [PREFIX_BLOCK_TOKENS] tokens
 * @property isSuspect whether the content was running when an endpoint crashed; it then runs alone
 * @property isInterruptible whether the running request may be told to give way
 * @property resumeOn endpoint that holds the cancelled stream of this request; it can only run there
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
 * A grant that is in use, as the origin reports it to a new owner.
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
    /** The endpoint gave the whole answer. */
    COMPLETED,

    /** The origin gave the grant back and sent no byte to the endpoint. */
    UNUSED,

    /** The stream was cancelled: the caller left or the request gave way. */
    CANCELLED,

    /** The endpoint answered with an error or the connection was lost. */
    FAILED
}

/**
 * What the origin saw when a grant ended.
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
 * Load report of an endpoint; it lags.
 *
 * @property ageMs age of the figures when they were received
 * @property runningCount requests in the endpoint's batch
 * @property waitingTokens prefill tokens not yet processed
 * @property isLeaving whether the endpoint announced that it leaves
 */
public data class LoadReport(
    public val endpoint: EndpointId,
    public val ageMs: Long,
    public val runningCount: Int,
    public val waitingTokens: Long,
    public val isLeaving: Boolean
)

/** Change of an endpoint's prefix cache; late, and some are missing. */
public data class CacheEvent(
    public val endpoint: EndpointId,
    public val block: PrefixBlock,
    public val isStored: Boolean
)

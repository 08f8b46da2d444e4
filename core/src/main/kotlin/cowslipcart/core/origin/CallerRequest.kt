package cowslipcart.core.origin

import cowslipcart.core.claims.RequestKey
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.SessionId
import cowslipcart.core.model.Tier

/**
 * A request without its body, as the traffic threads pass it to the control thread.
 *
 * @property key idempotency key, or null if the caller sent none
 * @property isIdempotent whether the call is idempotent; if not, [key] is not null and its claim is
 * recorded in the log
 * @property isInterruptible whether it may be preempted while it runs
 * @property timeLeftMs time until the caller's deadline; null without deadline
 * @property prefillTokens estimated prompt length in tokens
 * @property outputTokens estimated or requested length of the answer in tokens
 * @property session requests of one session ask the shards of a pool in the same order, to find
 * their prefix caches; null if the caller named none
 */
public data class CallerRequest(
    public val requestId: RequestId,
    public val organisation: OrganisationId,
    public val tier: Tier,
    public val pool: PoolId,
    public val key: RequestKey?,
    public val isIdempotent: Boolean,
    public val isInterruptible: Boolean,
    public val fingerprint: Fingerprint,
    public val timeLeftMs: Long?,
    public val prefillTokens: Int,
    public val outputTokens: Int,
    public val prefixBlocks: List<PrefixBlock>,
    public val session: SessionId? = null
)

package cowslipcart.experiment.check

import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier

/** A request that was shed while less urgent work could have given way. */
public data class ShedRuleBreach(
    public val atMs: Long,
    public val requestId: RequestId,
    public val tier: Tier,
    public val lowerRequestId: RequestId,
    public val lowerTier: Tier
)

/** A dispatch that breaks the rule of at most one dispatch to an endpoint. */
public data class DispatchBreach(
    public val atMs: Long,
    public val requestId: RequestId,
    public val detail: String
)

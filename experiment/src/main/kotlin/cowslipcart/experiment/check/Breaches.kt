package cowslipcart.experiment.check

import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier

/** A request that was shed while a less urgent one was queued or could have been preempted. */
public data class ShedRuleBreach(
    public val atMs: Long,
    public val requestId: RequestId,
    public val tier: Tier,
    public val lowerRequestId: RequestId,
    public val lowerTier: Tier
)

/** A dispatch that breaks the rule that each request is dispatched at most once. */
public data class DispatchBreach(
    public val atMs: Long,
    public val requestId: RequestId,
    public val detail: String
)

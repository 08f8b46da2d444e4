package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.rollout.RolloutBounds

/**
 * Settings of a [ForwardingController].
 *
 * @property isFirstStart whether the whole system starts for the first time, so that no host has
 * used the limits of organisations yet
 * @property retryBudgetShare retries allowed to all hosts together, as a share of the requests
 * @property retryBudgetSlack retries allowed to all hosts together while requests are few
 * @property rolloutBounds bounds on what a version without a verdict may get
 */
public data class ForwardingSettings(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val profile: HostProfile,
    public val isFirstStart: Boolean,
    public val retryBudgetShare: Double,
    public val retryBudgetSlack: Int,
    public val rolloutBounds: RolloutBounds = RolloutBounds()
)

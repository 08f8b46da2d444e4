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
 * @property hedgeShare second copies of slow requests allowed to all hosts together, as a share of
 * the requests of a pool; 0 for none
 * @property quotaTolerance by how much the limits of organisations may be exceeded; null if that is
 * not known
 * @property rolloutBounds bounds on what a version without a verdict may get;
 * null if versions are not told apart
 */
public data class ForwardingSettings(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val profile: HostProfile,
    public val isFirstStart: Boolean,
    public val retryBudgetShare: Double,
    public val retryBudgetSlack: Int,
    public val hedgeShare: Double = 0.0,
    public val quotaTolerance: QuotaTolerance? = null,
    public val rolloutBounds: RolloutBounds? = null
)

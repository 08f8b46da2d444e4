package cowslipcart.core.forwarding

/** What the bucket of an organisation must hold before a request takes its units. */
internal sealed interface QuotaReserve {
    /**
     * Returns the units that a request of [cost] needs while hosts share [liveShare] of [burst].
     */
    fun neededUnits(cost: Double, burst: Double, liveShare: Double): Double = when (this) {
        is Kept -> {
            val capacity = burst * liveShare
            minOf(cost, capacity) + share * maxOf(0.0, capacity - cost)
        }

        is Level -> units * liveShare
    }

    /** The bucket holds the cost, and [share] of the burst remains after that. */
    data class Kept(val share: Double) : QuotaReserve

    /** The bucket holds [units], whatever the cost; negative if it may be overdrawn. */
    data class Level(val units: Double) : QuotaReserve
}

/**
 * By how much all hosts together may exceed a limit in a window. Hosts decide on reports that are
 * up to seconds old, so some excess can't be avoided.
 *
 * @property windowS length of the window
 * @property overageShare excess as a share of the units of the window and of the burst
 * @property slackUnits excess in addition to that
 */
public data class QuotaTolerance(
    public val windowS: Double,
    public val overageShare: Double,
    public val slackUnits: Double
) {
    internal fun excessUnits(ratePerS: Double, burst: Double): Double =
        overageShare * (ratePerS * windowS + burst) + slackUnits
}

package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.routing.QuotaSpec

/**
 * This host's copy of the token bucket of one organisation. All hosts share one limit: units used
 * by this host are deducted at once, those used by other hosts when their reports arrive. A silent
 * host is assumed to use its equal share, so that the hosts on both sides of a partition together
 * stay below the limit.
 *
 * Load pattern: one organisation sends several times its usual load during a partition.
 */
internal class SharedQuota(private var quota: QuotaSpec, startShare: Double, nowMs: Long) {
    private var level = quota.burst * startShare
    private var filledAtMs = nowMs
    private val usedByHost = mutableMapOf<HostId, Double>()

    /** Units that this host has used since its start, for its reports to the other hosts. */
    var unitsUsed = 0.0
        private set

    /** Units in the bucket as of the last call. */
    val left: Double get() = level

    /** Applies a changed limit and caps the level at the new burst. */
    fun setQuota(next: QuotaSpec) {
        quota = next
        level = minOf(level, next.burst)
    }

    /**
     * Takes [cost] units if [reservedShare] of the burst remains after that. Otherwise returns the
     * time until that is the case, provided that no other request takes units.
     */
    fun tryTake(
        cost: Double,
        hosts: HostCounts,
        nowMs: Long,
        reservedShare: Double = 0.0
    ): Admission {
        refill(hosts, nowMs)
        val capacity = quota.burst * hosts.liveShare
        val needed = minOf(cost, capacity) + reservedShare * maxOf(0.0, capacity - cost)
        if (level < needed) {
            val missing = needed - level
            return Admission.Later((missing / quota.ratePerS * MS_PER_S).toLong() + 1)
        }
        level -= cost
        unitsUsed += cost
        return Admission.Taken
    }

    /** Returns [cost] units of a request that no endpoint ran. */
    fun giveBack(cost: Double) {
        level = minOf(quota.burst, level + cost)
        unitsUsed -= cost
    }

    /**
     * Deducts the units that [host] used since its last report; [totalUsed] is its total since its
     * start. A lower total means that the host returned units.
     */
    fun onPeerUse(host: HostId, totalUsed: Double) {
        val before = usedByHost.put(host, totalUsed) ?: totalUsed
        level -= totalUsed - before
    }

    /** [host] restarted, so its total starts from 0 again. */
    fun onPeerRestarted(host: HostId) {
        if (host in usedByHost) usedByHost[host] = 0.0
    }

    private fun refill(hosts: HostCounts, nowMs: Long) {
        val elapsedS = (nowMs - filledAtMs) / MS_PER_S
        filledAtMs = nowMs
        val share = hosts.liveShare
        level = minOf(quota.burst * share, level + quota.ratePerS * share * elapsedS)
    }

    /** Result of [tryTake]. */
    sealed interface Admission {
        /** The units were deducted. */
        data object Taken : Admission

        /** The bucket may hold enough units after [waitMs]. */
        data class Later(val waitMs: Long) : Admission
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}

/**
 * Number of hosts that share the limits, this one included.
 *
 * @property known hosts that are not known to be gone
 * @property live known hosts with a recent report
 */
public data class HostCounts(public val known: Int, public val live: Int) {
    /** Share of the limits that the hosts with a recent report may use together. */
    public val liveShare: Double get() = live.toDouble() / known
}

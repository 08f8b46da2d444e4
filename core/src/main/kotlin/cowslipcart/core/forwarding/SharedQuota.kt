package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.routing.QuotaSpec

/**
 * This host's copy of the token bucket of one organisation. All hosts share one limit: units used
 * by this host are deducted at once. Other hosts are assumed to go on using units at the rate of
 * their last reports, and each report corrects that. A host that stays silent is assumed to use its
 * equal share, so the hosts on both sides of a partition together stay below the limit. What it
 * used of that share is not deducted again when it returns.
 *
 * Load pattern: one organisation sends several times its usual load during a partition.
 */
internal class SharedQuota(private var quota: QuotaSpec, startShare: Double, nowMs: Long) {
    private var level = quota.burst * startShare
    private var filledAtMs = nowMs

    /** Share of the limit that the hosts with a recent report had at the last refill. */
    private var filledShare = 1.0
    private val peers = PeerUses()

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
     * Takes [cost] units if the bucket holds what [reserve] demands. Otherwise returns the time
     * until that is the case, provided that no other request takes units.
     */
    fun tryTake(
        cost: Double,
        hosts: HostCounts,
        nowMs: Long,
        reserve: QuotaReserve = QuotaReserve.Kept(0.0)
    ): Admission {
        refill(hosts, nowMs)
        val needed = reserve.neededUnits(cost, quota.burst, hosts.liveShare)
        if (level < needed) {
            val missing = needed - level
            val ratePerS = quota.ratePerS * hosts.liveShare
            return Admission.Later((missing / ratePerS * MS_PER_S).toLong() + 1)
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
     * Deducts the units that [host] used since its last report, less those that it was assumed to
     * use; [totalUsed] is its total since its start. A lower total means that it returned units.
     * Units that it used while it was silent came from the share that was set aside for it.
     */
    fun onPeerUse(host: HostId, totalUsed: Double, hosts: HostCounts, nowMs: Long) {
        refill(hosts, nowMs)
        level += peers.onReport(host, totalUsed, quota.ratePerS / hosts.known, nowMs)
        level = maxOf(level, -MAX_DEBT_BURSTS * quota.burst * hosts.liveShare)
    }

    /** [host] restarted, so its total starts from 0 again. */
    fun onPeerRestarted(host: HostId) = peers.onRestarted(host)

    /** [host] is gone, or silent for so long that its equal share is set aside for it. */
    fun onPeerSilent(host: HostId) = peers.onSilent(host)

    private fun refill(hosts: HostCounts, nowMs: Long) {
        val elapsedS = (nowMs - filledAtMs) / MS_PER_S
        filledAtMs = nowMs
        val share = hosts.liveShare
        // What is left, or overdrawn, is divided with the hosts that no longer report.
        if (share < filledShare) level *= share / filledShare
        filledShare = share
        val capacity = quota.burst * share
        val isScarce = level < capacity * SCARCE_SHARE
        val usedByPeers = peers.assumedUnits(elapsedS, isScarce)
        level = minOf(capacity, level + quota.ratePerS * share * elapsedS - usedByPeers)
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

        /** Below this share of its capacity a bucket is assumed to be wanted by all hosts. */
        const val SCARCE_SHARE = 0.5

        /**
         * Hosts overdraw the bucket by the units that they use between two reports. A greater debt
         * comes from a copy that reached its capacity while it lacked the reports of other hosts.
         */
        const val MAX_DEBT_BURSTS = 2.0
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

package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.routing.QuotaSpec

/**
 * This host's copy of the token bucket of one organisation. All hosts share one limit: units used
 * by this host are deducted at once. Other hosts are assumed to go on using units at the rate of
 * their last reports, and each report corrects that. A host that stays silent is assumed to use its
 * equal share. So the hosts on both sides of a partition together stay below the limit.
 *
 * Load pattern: one organisation sends several times its usual load during a partition.
 */
internal class SharedQuota(private var quota: QuotaSpec, startShare: Double, nowMs: Long) {
    private var level = quota.burst * startShare
    private var filledAtMs = nowMs
    private val peers = mutableMapOf<HostId, PeerUse>()

    /** Rate at which the other hosts are assumed to use units. */
    private var peerRatePerS = 0.0

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
     */
    fun onPeerUse(host: HostId, totalUsed: Double, hosts: HostCounts, nowMs: Long) {
        refill(hosts, nowMs)
        val peer = peers.getOrPut(host) { PeerUse(totalUsed, nowMs) }
        level += peer.assumedUnits(nowMs) - (totalUsed - peer.totalUsed)
        peerRatePerS -= peer.ratePerS
        peer.onReport(totalUsed, nowMs)
        peerRatePerS += peer.ratePerS
    }

    /** [host] restarted, so its total starts from 0 again. */
    fun onPeerRestarted(host: HostId) {
        peers[host]?.totalUsed = 0.0
    }

    /** [host] is gone, or silent for so long that its equal share is set aside for it. */
    fun onPeerSilent(host: HostId) {
        val peer = peers[host] ?: return
        peerRatePerS -= peer.ratePerS
        peer.ratePerS = 0.0
    }

    private fun refill(hosts: HostCounts, nowMs: Long) {
        val elapsedS = (nowMs - filledAtMs) / MS_PER_S
        filledAtMs = nowMs
        val share = hosts.liveShare
        val addedPerS = quota.ratePerS * share - peerRatePerS
        level = minOf(quota.burst * share, level + addedPerS * elapsedS)
    }

    /** What another host used, by its reports. */
    private class PeerUse(var totalUsed: Double, private var reportedAtMs: Long) {
        /** Moving average of the rate at which it uses units. */
        var ratePerS = 0.0

        /** Units that it was assumed to use since its last report. */
        fun assumedUnits(nowMs: Long): Double = ratePerS * (nowMs - reportedAtMs) / MS_PER_S

        fun onReport(total: Double, nowMs: Long) {
            val elapsedMs = (nowMs - reportedAtMs).toDouble()
            if (elapsedMs > 0) {
                val sample = maxOf(0.0, total - totalUsed) / elapsedMs * MS_PER_S
                ratePerS += (sample - ratePerS) * elapsedMs / (elapsedMs + RATE_TIME_MS)
            }
            totalUsed = total
            reportedAtMs = nowMs
        }
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

        /** Time constant of the rates of other hosts; several intervals between reports, in ms. */
        const val RATE_TIME_MS = 800.0
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

package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.routing.TokenQuota

/**
 * This host's copy of the token bucket of one organisation. All hosts draw on one limit: own use is
 * taken at once, use at other hosts when their figures arrive. A host that is silent is taken to
 * use its even share, so that hosts on both sides of a partition stay below the limit together.
 *
 * Load pattern: one organisation sends several times its usual while hosts are cut off.
 */
internal class SharedQuota(private var quota: TokenQuota, startShare: Double, nowMs: Long) {
    private var level = quota.burst * startShare
    private var filledAtMs = nowMs
    private val usedByHost = mutableMapOf<HostId, Double>()

    /** Units that this host has admitted since its start, for the other hosts. */
    var ownUsed = 0.0
        private set

    /** Units that are there as of the last call. */
    val left: Double get() = level

    /** Puts a changed limit in force; what is available stays below the new burst. */
    fun change(next: TokenQuota) {
        quota = next
        level = minOf(level, next.burst)
    }

    /**
     * Takes [cost] units if [reservedShare] of the burst is left after that, or returns how long until they are
     * there if nobody else takes them.
     */
    fun tryTake(
        cost: Double,
        hosts: HostCounts,
        nowMs: Long,
        reservedShare: Double = 0.0
    ): Admission {
        refill(hosts, nowMs)
        val most = quota.burst * hosts.heardShare
        val needed = minOf(cost, most) + reservedShare * maxOf(0.0, most - cost)
        if (level < needed) {
            val missing = needed - level
            return Admission.Later((missing / quota.ratePerS * MS_PER_S).toLong() + 1)
        }
        level -= cost
        ownUsed += cost
        return Admission.Taken
    }

    /** Gives [cost] units back for a request that no endpoint ran. */
    fun giveBack(cost: Double) {
        level = minOf(quota.burst, level + cost)
        ownUsed -= cost
    }

    /**
     * Counts the use of [host], which reports its total since its start. A lower total means that
     * the host gave units back.
     */
    fun onPeerUse(host: HostId, totalUsed: Double) {
        val before = usedByHost.put(host, totalUsed) ?: totalUsed
        level -= totalUsed - before
    }

    /** [host] counts from 0 again. */
    fun onPeerRestarted(host: HostId) {
        if (host in usedByHost) usedByHost[host] = 0.0
    }

    private fun refill(hosts: HostCounts, nowMs: Long) {
        val elapsedS = (nowMs - filledAtMs) / MS_PER_S
        filledAtMs = nowMs
        val share = hosts.heardShare
        level = minOf(quota.burst * share, level + quota.ratePerS * share * elapsedS)
    }

    /** Result of [tryTake]. */
    sealed interface Admission {
        data object Taken : Admission

        data class Later(val waitMs: Long) : Admission
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}

/**
 * Hosts that share limits, this one among them.
 *
 * @property known hosts that are not known to be gone
 * @property heard hosts among them with recent figures
 */
public data class HostCounts(public val known: Int, public val heard: Int) {
    /** Part of the shared limits that the hosts that are heard may use. */
    public val heardShare: Double get() = heard.toDouble() / known
}

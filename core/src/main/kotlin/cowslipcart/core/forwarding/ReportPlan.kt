package cowslipcart.core.forwarding

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import kotlin.math.ln

/**
 * Properties of a host that determine its group and its rank there.
 *
 * @property domain failure domain
 * @property capacityCores cores that the host may use; larger hosts rank first in their group
 */
public data class HostProfile(public val domain: String, public val capacityCores: Double)

/** A host known by its own reports or from the platform's list. */
internal class KnownHost(val id: HostId, val profile: HostProfile) {
    /** Determines the group of the host and breaks ties of rank, equally on every host. */
    val hash: Long = stableHash(id.value)
}

/**
 * To which hosts this one sends load reports. Every host sends its reports to its group and to one
 * host of each other group, the relay, which forwards them to its own group.
 *
 * @property members the other hosts of the group
 * @property groupRank rank of this host in its group, from 0; the first ranks read the store for
 * the group
 * @property relays the hosts that forward the reports of this one, one in each other group
 */
public data class ReportPlan(
    public val members: Set<HostId>,
    public val groupRank: Int,
    public val relays: Set<HostId>
) {
    public companion object {
        /** Plan of a host that knows no other host. */
        public val ALONE: ReportPlan = ReportPlan(emptySet(), groupRank = 0, emptySet())
    }
}

/** Identifies a group of hosts that report to each other directly; [index] is from 0. */
internal data class HostGroup(val domain: String, val index: Int)

/**
 * Divides the hosts into groups. A few hosts form one group; more are divided within failure
 * domains, so that the number of hosts to which one sends its reports is bounded. What a host
 * relays grows with the number of hosts and is spread over all of them. Departed hosts count for
 * the division.
 *
 * Load pattern: over a hundred small hosts in front of as many endpoints.
 */
internal class ReportTopology(
    private val self: KnownHost,
    others: Collection<KnownHost>,
    departed: Collection<KnownHost> = emptyList()
) {
    private val hosts = others + departed + self
    private val departedIds = departed.map { it.id }.toSet()
    private val groupCounts: Map<String, Int> = hosts.groupingBy { it.profile.domain }.eachCount()
        .mapValues { (_, count) -> (count + MAX_GROUP_HOSTS - 1) / MAX_GROUP_HOSTS }

    /** Whether there may be several groups; otherwise all hosts form one. */
    val isDivided = hosts.size > MAX_UNDIVIDED_HOSTS
    private val ownGroup = groupOf(self)

    /** Returns the plan of this host; [live] are the other hosts with a recent report. */
    fun plan(live: Set<HostId>): ReportPlan {
        val groups = hosts.groupBy { groupOf(it) }
        val own = groups.getValue(ownGroup)
        val rank = own.filter { it === self || it.id in live }.sortedWith(rankOrder).indexOf(self)
        val relays = (groups - ownGroup).values.mapNotNull { relayIn(it, live)?.id }.toSet()
        return ReportPlan(own.map { it.id }.toSet() - self.id - departedIds, rank, relays)
    }

    /**
     * Whether the endpoint [id] in [domain] is assigned to this group. Each endpoint is assigned to
     * one group, which prefers it and knows its load without the relay delay.
     */
    fun isAssigned(id: EndpointId, domain: String): Boolean {
        if (!isDivided) return true
        if (domain != ownGroup.domain) return false
        return indexOf(stableHash(id.value), domain) == ownGroup.index
    }

    private fun groupOf(host: KnownHost): HostGroup {
        if (!isDivided) return HostGroup("", 0)
        val domain = host.profile.domain
        return HostGroup(domain, indexOf(host.hash, domain))
    }

    private fun indexOf(hash: Long, domain: String): Int =
        Math.floorMod(hash, groupCounts[domain] ?: 1)

    /**
     * Returns the host of [group] that forwards the reports of this one, by rendezvous hashing:
     * each host of the group gets a share of the other hosts in proportion to its capacity.
     */
    private fun relayIn(group: List<KnownHost>, live: Set<HostId>): KnownHost? {
        val candidates = group.filter { it.id in live }
            .ifEmpty { group.filter { it.id !in departedIds } }
        return candidates.maxByOrNull { relayScore(it) }
    }

    private fun relayScore(candidate: KnownHost): Double {
        val mixed = mixBits(self.hash xor mixBits(candidate.hash))
        val uniform = ((mixed ushr UNUSED_BITS) + HALF) / UNIFORM_RANGE
        return -candidate.profile.capacityCores.coerceAtLeast(MIN_CAPACITY_CORES) / ln(uniform)
    }

    /** Finalizer of SplitMix64: every bit of the result depends on every bit of [bits]. */
    private fun mixBits(bits: Long): Long {
        val first = (bits xor (bits ushr 30)) * -0x40a7b892e31b1a47L
        val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
        return second xor (second ushr 31)
    }

    private companion object {
        /** Every host of a group sends 5 reports a second to each other one. */
        const val MAX_GROUP_HOSTS = 24
        const val MAX_UNDIVIDED_HOSTS = 32

        /** Keeps the weight of a host that states no capacity above zero. */
        const val MIN_CAPACITY_CORES = 0.01

        /** A Double holds 53 bits of a hash exactly. */
        const val UNUSED_BITS = 11
        const val UNIFORM_RANGE = 9_007_199_254_740_992.0
        const val HALF = 0.5
        val rankOrder: Comparator<KnownHost> =
            compareBy({ -it.profile.capacityCores }, { it.hash })
    }
}

package cowslipcart.core.forwarding

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId

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
 * To which hosts this one sends load reports. Every host sends its reports to its group. The first
 * hosts of a group by rank are its relays: they also send the reports of their group to the relays
 * of the other groups and forward what they receive to their own group.
 *
 * @property members the other hosts of the group
 * @property groupRank rank of this host in its group, from 0; the first ranks relay reports and
 * read the store for the group
 * @property otherRelays relays of the other groups; empty if this host is no relay
 */
public data class ReportPlan(
    public val members: Set<HostId>,
    public val groupRank: Int,
    public val otherRelays: Set<HostId>
) {
    /** Whether this host relays reports between its group and the others. */
    public val isRelay: Boolean get() = otherRelays.isNotEmpty()

    public companion object {
        /** Plan of a host that knows no other host. */
        public val ALONE: ReportPlan = ReportPlan(emptySet(), groupRank = 0, emptySet())
    }
}

/** Identifies a group of hosts that report to each other directly; [index] is from 0. */
internal data class HostGroup(val domain: String, val index: Int)

/**
 * Divides the hosts into groups, so that the reports that a host sends and receives do not grow
 * with the number of hosts. A few hosts form one group; more are divided within failure domains.
 *
 * Load pattern: over a hundred small hosts in front of as many endpoints.
 */
internal class ReportTopology(private val self: KnownHost, others: Collection<KnownHost>) {
    private val hosts = others + self
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
        val otherRelays = if (rank < RELAYS_PER_GROUP) {
            (groups - ownGroup).values.flatMap { relaysOf(it, live) }.toSet()
        } else {
            emptySet()
        }
        return ReportPlan(own.map { it.id }.toSet() - self.id, rank, otherRelays)
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

    private fun relaysOf(group: List<KnownHost>, live: Set<HostId>): List<HostId> {
        val candidates = group.filter { it.id in live }.ifEmpty { group }
        return candidates.sortedWith(rankOrder).take(RELAYS_PER_GROUP).map { it.id }
    }

    private companion object {
        /** Every host of a group sends 5 reports a second to each other one. */
        const val MAX_GROUP_HOSTS = 24
        const val MAX_UNDIVIDED_HOSTS = 32

        /** One may be frozen or gone for some seconds before the others detect it. */
        const val RELAYS_PER_GROUP = 2
        val rankOrder: Comparator<KnownHost> =
            compareBy({ -it.profile.capacityCores }, { it.hash })
    }
}

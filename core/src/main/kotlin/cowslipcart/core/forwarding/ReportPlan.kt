package cowslipcart.core.forwarding

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId

/**
 * What places a host among the others.
 *
 * @property capacityCores processor time that the host may use; larger hosts take duties first
 */
public data class HostProfile(public val domain: String, public val capacityCores: Double)

/** A host that is known, by its own reports or from the platform's list. */
internal class KnownHost(val id: HostId, val profile: HostProfile) {
    /** Order of hosts and their groups, the same on every host. */
    val hash: Long = stableHash(id.value)
}

/**
 * Part of this host in spreading what hosts know. Every host sends its figures to its group. The
 * first hosts of a group relay them to those of the other groups, and what they get to their own.
 *
 * @property members the other hosts of the group
 * @property dutyRank place of this host in the order in which its group takes duties, from 0
 * @property otherRelays hosts of other groups that relay; empty if this host does not relay
 */
public data class ReportPlan(
    public val members: Set<HostId>,
    public val dutyRank: Int,
    public val otherRelays: Set<HostId>
) {
    /** Whether this host passes figures on between its group and others. */
    public val isRelay: Boolean get() = otherRelays.isNotEmpty()

    public companion object {
        /** A host that knows of no other one takes all duties. */
        public val ALONE: ReportPlan = ReportPlan(emptySet(), dutyRank = 0, emptySet())
    }
}

/** Hosts of one failure domain that report to each other directly; [index] counts from 0. */
internal data class HostGroup(val domain: String, val index: Int)

/**
 * Divides hosts into groups, so that the reports that a host sends and gets do not grow with the
 * number of hosts. Few hosts are one group; more are divided within their failure domains.
 *
 * Load pattern: over a hundred small hosts before as many endpoints.
 */
internal class ReportTopology(private val self: KnownHost, others: Collection<KnownHost>) {
    private val hosts = others + self
    private val groupCounts: Map<String, Int> = hosts.groupingBy { it.profile.domain }.eachCount()
        .mapValues { (_, count) -> (count + MAX_GROUP_HOSTS - 1) / MAX_GROUP_HOSTS }

    /** Whether hosts are divided; otherwise all of them are one group. */
    val isDivided = hosts.size > MAX_UNDIVIDED_HOSTS
    private val ownGroup = groupOf(self)

    /** Plan for this host, of which [heard] are the hosts that were heard of lately. */
    fun plan(heard: Set<HostId>): ReportPlan {
        val groups = hosts.groupBy { groupOf(it) }
        val own = groups.getValue(ownGroup)
        val rank = own.filter { it === self || it.id in heard }.sortedWith(dutyOrder).indexOf(self)
        val otherRelays = if (rank < RELAYS_PER_GROUP) {
            (groups - ownGroup).values.flatMap { relaysOf(it, heard) }.toSet()
        } else {
            emptySet()
        }
        return ReportPlan(own.map { it.id }.toSet() - self.id, rank, otherRelays)
    }

    /**
     * Whether the hosts of this group prefer the endpoint [id] in [domain]. Each endpoint is left
     * to one group, which knows its load without delay.
     */
    fun isOwn(id: EndpointId, domain: String): Boolean {
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

    private fun relaysOf(group: List<KnownHost>, heard: Set<HostId>): List<HostId> {
        val alive = group.filter { it.id in heard }.ifEmpty { group }
        return alive.sortedWith(dutyOrder).take(RELAYS_PER_GROUP).map { it.id }
    }

    private companion object {
        /** Every host of a group sends 5 reports a second to each other one. */
        const val MAX_GROUP_HOSTS = 24
        const val MAX_UNDIVIDED_HOSTS = 32

        /** One may be frozen or gone for some seconds before the others notice. */
        const val RELAYS_PER_GROUP = 2
        val dutyOrder: Comparator<KnownHost> =
            compareBy({ -it.profile.capacityCores }, { it.hash })
    }
}

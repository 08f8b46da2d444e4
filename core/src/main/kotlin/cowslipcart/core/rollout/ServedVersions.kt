package cowslipcart.core.rollout

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.VersionId

/**
 * The versions that serve one pool without an order. Another version gets nothing until an order
 * names it, or until the endpoints of these are being replaced without one.
 */
internal class ServedVersions {
    /** Versions in service; empty before the first endpoint was listed. */
    var versions = emptySet<VersionId>()
        private set

    private var peakSlots = 0L

    /** Takes the listed endpoints of the pool; returns the versions that are now served as well. */
    fun onListed(entries: List<EndpointEntry>): Set<VersionId> {
        val listed = entries.filter { !it.isDraining }
        val slots = listed.filter { it.version in versions }.sumOf { it.slotCount.toLong() }
        peakSlots = maxOf(peakSlots, slots)
        val others = listed.map { it.version }.toSet() - versions
        if (others.isEmpty() || slots > peakSlots * KEPT_PART) return emptySet()
        replace(versions + others)
        peakSlots = listed.sumOf { it.slotCount.toLong() }
        return others
    }

    /** [versions] serve the pool from now on. */
    fun replace(versions: Set<VersionId>) {
        if (this.versions == versions) return
        this.versions = versions
        peakSlots = 0
    }

    private companion object {
        /** With fewer slots than this part of the most, endpoints are being replaced. */
        const val KEPT_PART = 0.85
    }
}

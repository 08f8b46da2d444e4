package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId

/** The other hosts, by their last figures. Silence is judged by the monotonic clock. */
internal class HostRoster(private val self: HostId, profile: HostProfile) {
    private val own = KnownHost(self, profile)
    private val hosts = mutableMapOf<HostId, Peer>()

    /** Hosts that were known and are gone; the list keeps them, a report brings them back. */
    private val gone = mutableSetOf<HostId>()

    /** Hosts that are not known to be gone, this one included. */
    val knownCount: Int get() = hosts.size + 1

    /** Known hosts and those heard of lately, this one included. */
    fun counts(nowMs: Long): HostCounts {
        val heard = hosts.values.count { isHeard(it, nowMs) }
        return HostCounts(known = knownCount, heard = heard + 1)
    }

    /** How the known hosts are divided into groups. */
    var topology = ReportTopology(own, emptyList())
        private set

    /** Time by which figures that are relayed between groups arrive later. */
    private val relayDelayMs: Long get() = if (topology.isDivided) RELAY_DELAY_MS else 0

    /** Divides the hosts anew and tells the part of this one in spreading reports. */
    fun plan(nowMs: Long): ReportPlan {
        topology = ReportTopology(own, hosts.values.map { it.known })
        return topology.plan(hosts.filterValues { isHeard(it, nowMs) }.keys)
    }

    /** Hosts that the platform lists; one that is new counts as silent until it reports. */
    fun onListed(listed: Map<HostId, HostProfile>, nowMs: Long) {
        for ((host, profile) in listed) {
            if (host == self || host in gone) continue
            hosts.getOrPut(host) { Peer(KnownHost(host, profile), nowMs) }
        }
    }

    /** Takes a report and tells whether its figures are new, and whether the host restarted. */
    fun onReport(figures: HostFigures, nowMs: Long): ReportStanding {
        if (figures.host == self) return ReportStanding.OUTDATED
        val peer = hosts.getOrPut(figures.host) {
            Peer(KnownHost(figures.host, figures.profile), nowMs)
        }
        gone -= figures.host
        val isSameProcess = peer.incarnation == figures.incarnation
        if (isSameProcess && figures.sequence <= peer.sequence) return ReportStanding.OUTDATED
        val standing = when {
            isSameProcess -> ReportStanding.CURRENT
            else -> ReportStanding.RESTARTED
        }
        peer.incarnation = figures.incarnation
        peer.sequence = figures.sequence
        peer.heardAtMs = nowMs
        peer.hasReported = true
        return standing
    }

    fun onLeft(host: HostId) {
        hosts -= host
        gone += host
    }

    /** Hosts whose load should no longer count, since they have been silent for long. */
    fun silentHosts(nowMs: Long): List<HostId> =
        hosts.filterValues { nowMs - it.heardAtMs >= LOAD_LIFETIME_MS + relayDelayMs }.keys.toList()

    /** Drops hosts that have been silent so long that they are taken to be gone. */
    fun forgetGone(nowMs: Long): List<HostId> {
        val forgotten = hosts.filterValues { nowMs - it.heardAtMs >= GONE_MS }.keys.toList()
        hosts -= forgotten.toSet()
        gone += forgotten
        return forgotten
    }

    private fun isHeard(peer: Peer, nowMs: Long) =
        peer.hasReported && nowMs - peer.heardAtMs < SILENT_MS + relayDelayMs

    private class Peer(val known: KnownHost, var heardAtMs: Long) {
        var incarnation: IncarnationId? = null
        var sequence = 0L
        var hasReported = false
    }

    private companion object {
        /** Twice the longest interval between reports, and some loss of datagrams, in ms. */
        const val SILENT_MS = 2_400L

        /** Two relays pass figures on, each within 0.4 s, in ms. */
        const val RELAY_DELAY_MS = 1_000L

        /** Requests of a host that died have ended by then, in ms. */
        const val LOAD_LIFETIME_MS = 3_000L

        /**
         * Longer than partitions last, in ms. Until then a silent host keeps its share of limits;
         * afterwards both sides of a partition would use all of them.
         */
        const val GONE_MS = 60_000L
    }
}

/** What a report is worth. */
internal enum class ReportStanding { CURRENT, RESTARTED, OUTDATED }

package cowslipcart.core.forwarding

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId

/** The other hosts, by their last figures. Silence is judged by the monotonic clock. */
internal class HostRoster(private val self: HostId) {
    private val hosts = mutableMapOf<HostId, Peer>()

    /** Hosts that are not known to be gone, this one included. */
    val knownCount: Int get() = hosts.size + 1

    /** Known hosts and those heard of lately, this one included. */
    fun counts(nowMs: Long): HostCounts {
        val heard = hosts.values.count { it.isHeard(nowMs) }
        return HostCounts(known = knownCount, heard = heard + 1)
    }

    /** Place of this host among those that are heard, in an order that all hosts share. */
    fun dutyRank(nowMs: Long): Int {
        val own = stableHash(self.value)
        return hosts.count { (host, peer) -> peer.isHeard(nowMs) && stableHash(host.value) < own }
    }

    /** Hosts that the platform lists; one that is new counts as silent until it reports. */
    fun onListed(listed: Collection<HostId>, nowMs: Long) {
        for (host in listed) if (host != self) hosts.getOrPut(host) { Peer(nowMs) }
    }

    /** Takes a report and tells whether its figures are new, and whether the host restarted. */
    fun onReport(figures: HostFigures, nowMs: Long): ReportStanding {
        if (figures.host == self) return ReportStanding.OUTDATED
        val peer = hosts.getOrPut(figures.host) { Peer(nowMs) }
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
    }

    /** Hosts whose load should no longer count, since they have been silent for long. */
    fun silentHosts(nowMs: Long): List<HostId> =
        hosts.filterValues { nowMs - it.heardAtMs >= LOAD_LIFETIME_MS }.keys.toList()

    /** Drops hosts that have been silent so long that they are taken to be gone. */
    fun forgetGone(nowMs: Long): List<HostId> {
        val gone = hosts.filterValues { nowMs - it.heardAtMs >= GONE_MS }.keys.toList()
        hosts -= gone.toSet()
        return gone
    }

    private class Peer(var heardAtMs: Long) {
        var incarnation: IncarnationId? = null
        var sequence = 0L
        var hasReported = false

        fun isHeard(nowMs: Long) = hasReported && nowMs - heardAtMs < SILENT_MS
    }

    private companion object {
        /** Twice the longest interval between reports, and some loss of datagrams, in ms. */
        const val SILENT_MS = 2_400L

        /** Requests of a host that died have ended by then, in ms. */
        const val LOAD_LIFETIME_MS = 3_000L

        /** Longer than partitions usually last, in ms. */
        const val GONE_MS = 20_000L
    }
}

/** What a report is worth. */
internal enum class ReportStanding { CURRENT, RESTARTED, OUTDATED }

package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId

/** The other hosts and their last reports. Silence is measured on the monotonic clock. */
internal class HostRegistry(private val self: HostId, profile: HostProfile) {
    private val own = KnownHost(self, profile)
    private val hosts = mutableMapOf<HostId, Peer>()

    /** Hosts that are gone. The platform may still list them; only a report adds them again. */
    private val gone = mutableMapOf<HostId, GoneHost>()

    /** Hosts that are not known to be gone, this one included. */
    val knownCount: Int get() = hosts.size + 1

    /** The other hosts that are not known to be gone, also those that are silent. */
    val otherHosts: Set<HostId> get() = hosts.keys

    /** Whether the platform's list of hosts is known. */
    private var isListed = false

    /** The last result of [counts]; null if hosts have come, left or been heard of again since. */
    private var lastCounts: HostCounts? = null
    private var countedAtMs = 0L

    /**
     * Counts the known hosts and those with a recent report, this one included, as of at most
     * [COUNT_INTERVAL_MS] ago. Without the list of hosts others are assumed, which may use the
     * limits of organisations. Calls [onSilent] for each host that counts as live no longer.
     */
    fun counts(nowMs: Long, onSilent: (HostId) -> Unit = {}): HostCounts {
        lastCounts?.let { if (nowMs - countedAtMs < COUNT_INTERVAL_MS) return it }
        takeSilent(nowMs).forEach(onSilent)
        val live = hosts.values.count { isLive(it, nowMs) } + 1
        val known = if (isListed) knownCount else maxOf(knownCount, UNLISTED_COUNT)
        countedAtMs = nowMs
        return HostCounts(known, live).also { lastCounts = it }
    }

    /** The other hosts with a recent report. */
    fun liveHosts(nowMs: Long): Set<HostId> = hosts.filterValues { isLive(it, nowMs) }.keys

    private fun takeSilent(nowMs: Long): List<HostId> {
        val silent = hosts.filterValues { it.wasLive && !isLive(it, nowMs) }
        for (peer in silent.values) peer.wasLive = false
        return silent.keys.toList()
    }

    /** Groups of the known hosts as of the last [plan]. */
    var topology = ReportTopology(own, emptyList())
        private set

    /** What the last [plan] was made of, and that plan. */
    private var planned: Pair<PlanInputs, ReportPlan>? = null

    /** Extra delay of reports that are relayed between groups, in ms. */
    private val relayDelayMs: Long get() = if (topology.isDivided) RELAY_DELAY_MS else 0

    /**
     * Recomputes the groups and returns to which hosts this one sends its reports. Hosts that are
     * gone keep their place in the groups for a while, since some hosts learn of it later, and
     * those that divide the hosts differently don't reach each other.
     */
    fun plan(nowMs: Long): ReportPlan {
        val departed = gone.values.filter { nowMs - it.sinceMs < PLACE_KEPT_MS }.map { it.known }
        val known = hosts.values.map { it.known }
        val inputs = PlanInputs(known, departed, liveHosts(nowMs))
        planned?.let { (before, plan) -> if (before == inputs) return plan }
        topology = ReportTopology(own, known, departed)
        return topology.plan(inputs.live).also { planned = inputs to it }
    }

    private data class PlanInputs(
        val known: List<KnownHost>,
        val departed: List<KnownHost>,
        val live: Set<HostId>
    )

    /** Adds hosts of the platform's list; a new host counts as silent until it reports. */
    fun onListed(listed: Map<HostId, HostProfile>, nowMs: Long) {
        isListed = true
        lastCounts = null
        for ((host, profile) in listed) {
            if (host == self || host in gone) continue
            hosts.getOrPut(host) { Peer(KnownHost(host, profile), nowMs) }
        }
    }

    /** Records a report and returns whether it is new, and whether its host restarted. */
    fun onReport(report: HostLoadReport, nowMs: Long): ReportStatus {
        if (report.host == self) return ReportStatus.OUTDATED
        if (gone[report.host]?.leftIncarnation == report.incarnation) return ReportStatus.OUTDATED
        val peer = hosts.getOrPut(report.host) {
            Peer(KnownHost(report.host, report.profile), nowMs)
        }
        gone -= report.host
        val isSameProcess = peer.incarnation == report.incarnation
        if (isSameProcess && report.sequence <= peer.sequence) return ReportStatus.OUTDATED
        val status = when {
            isSameProcess -> ReportStatus.CURRENT
            else -> ReportStatus.RESTARTED
        }
        peer.incarnation = report.incarnation
        peer.sequence = report.sequence
        peer.seenAtMs = nowMs
        peer.hasReported = true
        if (!peer.wasLive) lastCounts = null
        peer.wasLive = true
        return status
    }

    /** [host] shut down gracefully. Its earlier reports may still arrive and change nothing. */
    fun onLeft(host: HostId, nowMs: Long) {
        val peer = hosts.remove(host) ?: return
        lastCounts = null
        gone[host] = GoneHost(peer.known, nowMs, peer.incarnation)
    }

    /** Hosts that have been silent so long that their load no longer counts. */
    fun silentHosts(nowMs: Long): List<HostId> =
        hosts.filterValues { nowMs - it.seenAtMs >= LOAD_LIFETIME_MS + relayDelayMs }.keys.toList()

    /** Removes and returns the hosts that have been silent so long that they count as gone. */
    fun forgetGone(nowMs: Long): List<HostId> {
        val forgotten = hosts.filterValues { nowMs - it.seenAtMs >= GONE_MS }
        if (forgotten.isNotEmpty()) lastCounts = null
        hosts -= forgotten.keys
        for ((host, peer) in forgotten) gone[host] = GoneHost(peer.known, nowMs, null)
        return forgotten.keys.toList()
    }

    private fun isLive(peer: Peer, nowMs: Long) =
        peer.hasReported && nowMs - peer.seenAtMs < SILENT_MS + relayDelayMs

    private class Peer(val known: KnownHost, var seenAtMs: Long) {
        var incarnation: IncarnationId? = null
        var sequence = 0L
        var hasReported = false

        /** Whether it was live when the silent hosts were last taken. */
        var wasLive = false
    }

    /** A host that is gone; [leftIncarnation] is that of a process that shut down gracefully. */
    private class GoneHost(
        val known: KnownHost,
        val sinceMs: Long,
        val leftIncarnation: IncarnationId?
    )

    private companion object {
        /** A small part of the time after which a host is silent, in ms. */
        const val COUNT_INTERVAL_MS = 50L

        /** Twice the longest report interval, plus a margin for lost datagrams, in ms. */
        const val SILENT_MS = 2_400L

        /** A relay forwards the reports of other groups once a second, in ms. */
        const val RELAY_DELAY_MS = 1_000L

        /** By then the requests of a crashed host have ended, in ms. */
        const val LOAD_LIFETIME_MS = 3_000L

        /**
         * Longer than partitions last, in ms. Until then a silent host keeps its share of the
         * limits; afterwards both sides of a partition would each use the full limits.
         */
        const val GONE_MS = 60_000L

        /** Hosts of a small deployment. */
        const val UNLISTED_COUNT = 10

        /** Several times the period after which a silent host is gone, in ms. */
        const val PLACE_KEPT_MS = 600_000L
    }
}

/** Whether a report is new, is the first of a new incarnation, or is to be ignored. */
internal enum class ReportStatus { CURRENT, RESTARTED, OUTDATED }

package cowslipcart.daemon.gateway

import cowslipcart.core.model.HostId
import cowslipcart.wire.datagram.PeerDatagram

/**
 * Load reports of hosts in other groups that this host forwards to its own group. Keeps one report
 * of each host: the newest, with the prefilled parts and decode times of those that it replaced.
 * Thread-safe, since one coroutine receives reports and another one forwards them.
 */
internal class RelayBuffer {
    private val reports = LinkedHashMap<HostId, PeerDatagram.LoadReport>()

    /** Adds a report that a host of another group sent to this one. */
    @Synchronized
    fun add(report: PeerDatagram.LoadReport) {
        val host = report.report.host
        val waiting = reports[host]
        reports[host] = if (waiting == null) report else merge(waiting, report)
    }

    /** Removes and returns the reports that were not forwarded yet. */
    @Synchronized
    fun drain(): List<PeerDatagram.LoadReport> = reports.values.toList().also { reports.clear() }

    private fun merge(
        waiting: PeerDatagram.LoadReport,
        next: PeerDatagram.LoadReport
    ): PeerDatagram.LoadReport {
        val earlier = waiting.report
        val later = next.report
        if (earlier.incarnation != later.incarnation) return next
        if (later.sequence <= earlier.sequence) return waiting
        val merged = later.copy(
            msPerToken = earlier.msPerToken + later.msPerToken,
            prefilledParts = (earlier.prefilledParts + later.prefilledParts).takeLast(MAX_PARTS)
        )
        return next.copy(report = merged)
    }

    private companion object {
        /** Keeps a bundle of several reports below a few kilobytes. */
        const val MAX_PARTS = 24
    }
}

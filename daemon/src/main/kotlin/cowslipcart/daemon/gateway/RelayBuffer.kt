package cowslipcart.daemon.gateway

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.wire.datagram.RelayedReport

/**
 * Load reports that a relay forwards between its own group of hosts and the other groups. Keeps
 * the newest report of each host and hands it out once. Thread-safe, since one coroutine receives
 * reports and another one sends them.
 */
internal class RelayBuffer {
    private class ReportVersion(val incarnation: IncarnationId, val sequence: Long)

    private val lastRelayed = mutableMapOf<HostId, ReportVersion>()
    private val fromGroup = LinkedHashMap<HostId, RelayedReport>()
    private val fromOtherGroups = LinkedHashMap<HostId, RelayedReport>()

    /** Adds a report that a host of this group sent directly. */
    @Synchronized
    fun onDirectReport(report: RelayedReport) {
        fromGroup[report.host] = report
    }

    /** Adds a report forwarded by a relay. Returns false if it, or a newer one, is known. */
    @Synchronized
    fun onRelayedReport(report: RelayedReport): Boolean {
        val last = lastRelayed[report.host]
        val isDuplicate = last != null && last.incarnation == report.incarnation &&
            last.sequence >= report.sequence
        if (isDuplicate) return false
        lastRelayed[report.host] = ReportVersion(report.incarnation, report.sequence)
        fromOtherGroups[report.host] = report
        return true
    }

    /** Removes and returns the reports of this group that were not forwarded yet. */
    @Synchronized
    fun drainGroup(): List<RelayedReport> = fromGroup.values.toList().also { fromGroup.clear() }

    /** Removes and returns the reports of other groups that were not forwarded yet. */
    @Synchronized
    fun drainOtherGroups(): List<RelayedReport> = fromOtherGroups.values.toList().also {
        fromOtherGroups.clear()
    }
}

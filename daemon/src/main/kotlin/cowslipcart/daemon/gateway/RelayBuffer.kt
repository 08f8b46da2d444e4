package cowslipcart.daemon.gateway

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.wire.figures.RelayedFigures

/**
 * Load reports that a relay forwards between its own group of hosts and the other groups. Keeps
 * the newest report of each host and hands it out once. Thread-safe, since one coroutine receives
 * reports and another one sends them.
 */
internal class RelayBuffer {
    private class ReportVersion(val incarnation: IncarnationId, val sequence: Long)

    private val lastRelayed = mutableMapOf<HostId, ReportVersion>()
    private val fromGroup = LinkedHashMap<HostId, RelayedFigures>()
    private val fromOtherGroups = LinkedHashMap<HostId, RelayedFigures>()

    /** Adds a report that a host of this group sent directly. */
    @Synchronized
    fun onDirectReport(report: RelayedFigures) {
        fromGroup[report.host] = report
    }

    /** Adds a report forwarded by a relay. Returns false if it, or a newer one, is known. */
    @Synchronized
    fun onRelayedReport(report: RelayedFigures): Boolean {
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
    fun drainGroup(): List<RelayedFigures> = fromGroup.values.toList().also { fromGroup.clear() }

    /** Removes and returns the reports of other groups that were not forwarded yet. */
    @Synchronized
    fun drainOtherGroups(): List<RelayedFigures> = fromOtherGroups.values.toList().also {
        fromOtherGroups.clear()
    }
}

package cowslipcart.core.quarantine

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint

/** Creates an empty registry. */
public fun createSuspectRegistry(): SuspectRegistry = CrashHistoryRegistry()

private class CrashHistoryRegistry : SuspectRegistry {
    private val histories = mutableMapOf<Fingerprint, CrashHistory>()

    /** Time of the first report of each crash, by crash id. */
    private val reportTimesMs = mutableMapOf<String, Long>()

    override val quarantiningReports: List<CrashReport>
        get() = histories.values.sortedBy { it.lastCrashMs }.mapNotNull { it.quarantiningReport }

    override fun statusOf(fingerprint: Fingerprint, nowMs: Long): QuarantineStatus {
        val history = histories[fingerprint]
        return when {
            history == null || isExpired(history.lastCrashMs, nowMs) -> QuarantineStatus.CLEAR
            history.isQuarantined -> QuarantineStatus.QUARANTINED
            else -> QuarantineStatus.SUSPECT
        }
    }

    override fun crashedEndpoints(fingerprint: Fingerprint): Set<EndpointId> =
        histories[fingerprint]?.endpoints.orEmpty().toSet()

    override fun onCrash(report: CrashReport, nowMs: Long) {
        tick(nowMs)
        if (report.crashId in reportTimesMs) return
        reportTimesMs[report.crashId] = nowMs
        val ranAlone = report.ranAlone && report.fingerprints.size == 1
        for (fingerprint in report.fingerprints) {
            val history = histories.getOrPut(fingerprint) { CrashHistory() }
            history.lastCrashMs = nowMs
            val earlierEndpoints = history.endpoints + report.earlierEndpoints
            if (ranAlone && (earlierEndpoints - report.endpoint).isNotEmpty()) {
                history.quarantiningReport = report.copy(earlierEndpoints = earlierEndpoints)
            }
            history.endpoints += report.endpoint
        }
    }

    override fun onCompleted(fingerprint: Fingerprint, nowMs: Long) {
        if (histories[fingerprint]?.isQuarantined == false) histories -= fingerprint
    }

    override fun tick(nowMs: Long) {
        histories.values.removeIf { isExpired(it.lastCrashMs, nowMs) }
        reportTimesMs.values.removeIf { isExpired(it, nowMs) }
    }

    private fun isExpired(sinceMs: Long, nowMs: Long) =
        nowMs - sinceMs >= SuspectRegistry.ENTRY_LIFETIME_MS

    /** Crashes of the endpoints that ran one fingerprint. */
    private class CrashHistory {
        val endpoints = mutableSetOf<EndpointId>()
        var lastCrashMs = 0L

        /** The report by which it was quarantined last; null if it is not. */
        var quarantiningReport: CrashReport? = null

        val isQuarantined: Boolean get() = quarantiningReport != null
    }
}

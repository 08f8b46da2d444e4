package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId

/**
 * A record that an endpoint wrote about itself.
 *
 * @property startedAtMs wall-clock time of its start; 0 if it states none
 * @property sequence number of the record since its start
 */
public data class EndpointHeartbeat(
    public val endpoint: EndpointId,
    public val startedAtMs: Long,
    public val sequence: Long
)

/**
 * What a host tells the others about an endpoint that lost connections: one process of it ran from
 * [sinceAgoMs] to [untilAgoMs] before the report was made.
 */
public data class EndpointRun(
    public val endpoint: EndpointId,
    public val sinceAgoMs: Long,
    public val untilAgoMs: Long
)

/**
 * The times at which the processes of endpoints ran without interruption, by the records that they
 * write about themselves. A lost connection in such a time is no crash. The hosts that read these
 * records tell the others about the endpoints that lost connections.
 *
 * Load pattern: for some seconds endpoints reset some of their connections and run on.
 */
internal class EndpointRuns {
    private class OwnRun(val startedAtMs: Long, var sequence: Long, val sinceMs: Long) {
        /** Time after which the last record was written, and the one before that. */
        var writtenAfterMs = NEVER_MS
        var untilMs = NEVER_MS
    }

    private class Span(val sinceMs: Long, val untilMs: Long)

    private class Suspect(val crashedAtMs: Long, val knownAtMs: Long) {
        var reportedAtMs = NEVER_MS
    }

    private val ownRuns = mutableMapOf<EndpointId, OwnRun>()
    private val toldSpans = LinkedHashMap<EndpointId, Span>()

    /** Endpoints that lost a connection lately, the least recent first. */
    private val suspects = LinkedHashMap<EndpointId, Suspect>()

    /** Whether an endpoint lost a connection lately. */
    val hasSuspects: Boolean get() = suspects.isNotEmpty()

    /** Forgets the endpoints that are not in [listed]. */
    fun retain(listed: Set<EndpointId>) {
        ownRuns.keys.retainAll(listed)
    }

    /** Adds [heartbeats], which were written after [writtenAfterMs] and read by [nowMs]. */
    fun onHeartbeats(heartbeats: List<EndpointHeartbeat>, writtenAfterMs: Long, nowMs: Long) {
        for (heartbeat in heartbeats) {
            val run = ownRuns[heartbeat.endpoint]
            if (run == null || isOfOtherProcess(heartbeat, run)) {
                ownRuns[heartbeat.endpoint] =
                    OwnRun(heartbeat.startedAtMs, heartbeat.sequence, nowMs)
            } else if (heartbeat.startedAtMs == run.startedAtMs &&
                heartbeat.sequence > run.sequence
            ) {
                run.sequence = heartbeat.sequence
                // A single record may have been on its way to the store when the endpoint crashed.
                run.untilMs = run.writtenAfterMs
                run.writtenAfterMs = writtenAfterMs
            }
        }
    }

    /** An endpoint that states no start is told apart by its records, which are numbered anew. */
    private fun isOfOtherProcess(heartbeat: EndpointHeartbeat, run: OwnRun): Boolean =
        if (heartbeat.startedAtMs == run.startedAtMs) {
            heartbeat.startedAtMs == 0L && heartbeat.sequence < run.sequence
        } else {
            heartbeat.startedAtMs > run.startedAtMs
        }

    /** Adds what another host told at [nowMs]. */
    fun onTold(runs: List<EndpointRun>, nowMs: Long) {
        for (run in runs) {
            // A report takes some time, so the run may have ended earlier than it seems.
            val span = Span(nowMs - run.sinceAgoMs, nowMs - run.untilAgoMs - REPORT_MS)
            val known = toldSpans.remove(run.endpoint)
            val isLater = known == null || span.untilMs > known.untilMs
            toldSpans[run.endpoint] = if (isLater) span else known
            if (toldSpans.size > MAX_ENDPOINTS) toldSpans -= toldSpans.keys.first()
        }
    }

    /** [endpoint] lost a connection at [crashedAtMs], which this host learned at [nowMs]. */
    fun onSuspected(endpoint: EndpointId, crashedAtMs: Long, nowMs: Long) {
        val known = suspects.remove(endpoint)
        suspects[endpoint] = Suspect(maxOf(crashedAtMs, known?.crashedAtMs ?: NEVER_MS), nowMs)
            .also { it.reportedAtMs = known?.reportedAtMs ?: NEVER_MS }
        if (suspects.size > MAX_ENDPOINTS) suspects -= suspects.keys.first()
    }

    /** Whether [endpoint] ran on when it lost a connection at [crashedAtMs]. */
    fun isRefuted(endpoint: EndpointId, crashedAtMs: Long): Boolean {
        val own = ownRuns[endpoint]
        if (own != null && covers(own.sinceMs, own.untilMs, crashedAtMs)) return true
        val told = toldSpans[endpoint] ?: return false
        return covers(told.sinceMs, told.untilMs, crashedAtMs)
    }

    /** The time of a crash that another host told is later than the exact one. */
    private fun covers(sinceMs: Long, untilMs: Long, crashedAtMs: Long): Boolean =
        sinceMs + REPORT_MS <= crashedAtMs && crashedAtMs <= untilMs

    /** Returns the runs for a report at [nowMs] that refute crashes, the least recently told. */
    fun takeReport(nowMs: Long): List<EndpointRun> {
        if (suspects.isEmpty()) return emptyList()
        suspects.values.removeIf { nowMs - it.knownAtMs >= SUSPECT_LIFETIME_MS }
        return suspects.entries
            .filter { (_, suspect) -> nowMs - suspect.reportedAtMs >= REPEAT_MS }
            .sortedBy { (_, suspect) -> suspect.reportedAtMs }
            .mapNotNull { (endpoint, suspect) -> toRun(endpoint, suspect, nowMs) }
            .take(MAX_REPORTED)
            .onEach { suspects.getValue(it.endpoint).reportedAtMs = nowMs }
    }

    private fun toRun(endpoint: EndpointId, suspect: Suspect, nowMs: Long): EndpointRun? {
        val run = ownRuns[endpoint] ?: return null
        if (!covers(run.sinceMs, run.untilMs, suspect.crashedAtMs)) return null
        return EndpointRun(endpoint, nowMs - run.sinceMs, nowMs - run.untilMs)
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 4

        /** Longer than a report takes, also by a relay, in ms. */
        const val REPORT_MS = 3_000L

        /** An endpoint that crashed is back, or refuted the crash, within this time, in ms. */
        const val SUSPECT_LIFETIME_MS = 20_000L

        /** Interval at which a report repeats a run, in ms. */
        const val REPEAT_MS = 500L

        /** Keeps a report within one datagram; an entry takes up to 40 bytes. */
        const val MAX_REPORTED = 8
        const val MAX_ENDPOINTS = 1_024
    }
}

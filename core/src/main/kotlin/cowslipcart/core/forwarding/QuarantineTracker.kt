package cowslipcart.core.forwarding

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId

/**
 * Counts by request fingerprint, over all hosts, the endpoints whose connection was lost while they
 * ran the request. A request that broke several endpoints is quarantined (refused), since it would
 * crash the next one as well. A connection can also be lost for another reason, so a quarantine
 * lapses: one request then tests whether it holds.
 *
 * Load pattern: a request that crashes every endpoint is retried by its caller through any host;
 * endpoints reset connections for a while, and a resource that is read by many is among them.
 */
internal class QuarantineTracker(private val self: HostId) {
    private class Record {
        val endpoints = mutableSetOf<EndpointId>()
        var lastCrashAtMs = 0L
        var probedAtMs = NEVER_MS
        var lapseMs = FIRST_LAPSE_MS

        val isQuarantined: Boolean get() = endpoints.size >= QUARANTINE_COUNT

        fun isExpired(nowMs: Long): Boolean = nowMs - lastCrashAtMs >=
            if (isQuarantined) QUARANTINE_LIFETIME_MS else SUSPICION_LIFETIME_MS
    }

    private val records = LinkedHashMap<Fingerprint, Record>()
    private val lastNoticeByHost = mutableMapOf<HostId, Long>()
    private val recentCrashes = ArrayDeque<CrashNotice>()
    private val answeredAtMs = LinkedHashMap<AnswerNotice, Long>()
    private var ownNoticeCount = 0L
    private val changes = mutableListOf<ForwardingEffect.LogStateChange>()

    /** The latest crash notices of this host; each report repeats them. */
    val crashNotices: List<CrashNotice> get() = recentCrashes.toList()

    /** Returns the notices of answers for a report at [nowMs], which repeats them for a while. */
    fun answerNotices(nowMs: Long): List<AnswerNotice> {
        answeredAtMs.values.removeIf { nowMs - it >= REPEAT_MS }
        return answeredAtMs.keys.toList()
    }

    /** Whether the request is refused by this host at [nowMs]. */
    fun isQuarantined(fingerprint: Fingerprint, nowMs: Long): Boolean {
        val record = records[fingerprint] ?: return false
        return record.isQuarantined && !isProbeDue(fingerprint, record, nowMs)
    }

    /** The request is sent. If it is quarantined, this is its probe. */
    fun onDispatched(fingerprint: Fingerprint, nowMs: Long) {
        val record = records[fingerprint] ?: return
        if (!record.isQuarantined) return
        record.probedAtMs = nowMs
        change(fingerprint, "request-probed", "no crash for ${nowMs - record.lastCrashAtMs} ms")
    }

    /** Counts a lost connection of this host and adds a notice to its next reports. */
    fun onOwnCrash(fingerprint: Fingerprint, endpoint: EndpointId, nowMs: Long) {
        recentCrashes += CrashNotice(++ownNoticeCount, fingerprint, endpoint)
        if (recentCrashes.size > MAX_RECENT) recentCrashes.removeFirst()
        add(fingerprint, endpoint, nowMs)
    }

    /** An endpoint ran the request to its end. */
    fun onOwnAnswer(fingerprint: Fingerprint, nowMs: Long) {
        if (fingerprint !in records) return
        answeredAtMs[AnswerNotice(++ownNoticeCount, fingerprint)] = nowMs
        if (answeredAtMs.size > MAX_RECENT) answeredAtMs -= answeredAtMs.keys.first()
        clear(fingerprint, "answered")
    }

    /** Counts the notices of [host] that are newer than the last one taken from it, in order. */
    fun onPeerNotices(
        host: HostId,
        crashes: List<CrashNotice>,
        answers: List<AnswerNotice>,
        nowMs: Long
    ) {
        val last = lastNoticeByHost[host] ?: 0
        val next = (crashes + answers).filter { it.number > last }.sortedBy { it.number }
        for (notice in next) {
            when (notice) {
                is CrashNotice -> add(notice.fingerprint, notice.endpoint, nowMs)
                is AnswerNotice -> clear(notice.fingerprint, "answered at $host")
            }
        }
        next.lastOrNull()?.let { lastNoticeByHost[host] = it.number }
    }

    /** [host] restarted, so its notices are numbered from 1 again. */
    fun onPeerRestarted(host: HostId) {
        lastNoticeByHost -= host
    }

    /** Returns the requests that were quarantined, probed or released since the last call. */
    fun takeChanges(): List<ForwardingEffect.LogStateChange> =
        changes.toList().also { changes.clear() }

    private fun add(fingerprint: Fingerprint, endpoint: EndpointId, nowMs: Long) {
        if (records[fingerprint]?.isExpired(nowMs) == true) records -= fingerprint
        val record = records.getOrPut(fingerprint) { Record() }
        val wasQuarantined = record.isQuarantined
        // Only a probe is sent so late; other requests that break had been sent before.
        val isProbe = wasQuarantined && nowMs - record.lastCrashAtMs >= record.lapseMs
        if (isProbe) record.lapseMs *= 2
        record.endpoints += endpoint
        record.lastCrashAtMs = nowMs
        if (record.isQuarantined && (!wasQuarantined || isProbe)) {
            val reason = "connections lost at ${record.endpoints.joinToString(",")}, " +
                "probe in ${record.lapseMs} ms or more"
            change(fingerprint, "request-quarantined", reason)
        }
        if (records.size > MAX_FINGERPRINTS) forgetLeastSuspect()
    }

    private fun clear(fingerprint: Fingerprint, reason: String) {
        val record = records.remove(fingerprint) ?: return
        if (record.isQuarantined) change(fingerprint, "request-released", reason)
    }

    /**
     * The hosts reach this time one after another, so that a crash by the first probe renews the
     * quarantine before the others send theirs.
     */
    private fun isProbeDue(fingerprint: Fingerprint, record: Record, nowMs: Long): Boolean {
        val spread = Math.floorMod(stableHash("$self $fingerprint"), SPREAD_STEPS).toDouble()
        val afterMs = record.lapseMs * (1 + spread / SPREAD_STEPS)
        return nowMs - maxOf(record.lastCrashAtMs, record.probedAtMs) >= afterMs
    }

    private fun forgetLeastSuspect() {
        val leastSuspect = records.entries.minWith(
            compareBy({ it.value.isQuarantined }, { it.value.lastCrashAtMs })
        )
        records -= leastSuspect.key
    }

    private fun change(fingerprint: Fingerprint, change: String, reason: String) {
        changes += ForwardingEffect.LogStateChange("request $fingerprint", change, reason)
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 4

        /** Two crashes may be caused by another request that ran at the same endpoints. */
        const val QUARANTINE_COUNT = 3
        const val MAX_FINGERPRINTS = 2_048

        /** Notices that each report repeats, since reports may be lost. */
        const val MAX_RECENT = 12

        /** Time for which reports repeat an answer, in ms; older builds can't read such reports. */
        const val REPEAT_MS = 3_000L

        /**
         * Time without a crash after which a request is probed, in ms; each failed probe doubles
         * it. Endpoints that reset connections for a while are sound again within seconds.
         */
        const val FIRST_LAPSE_MS = 5_000L

        /** A caller whose request crashes endpoints sends it again within this time, in ms. */
        const val SUSPICION_LIFETIME_MS = 60_000L
        const val QUARANTINE_LIFETIME_MS = 1_800_000L
        const val SPREAD_STEPS = 1_000L
    }
}

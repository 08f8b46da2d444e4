package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId

/**
 * Counts by request fingerprint, over all hosts, the endpoints whose connection was lost while they
 * ran the request. A request that broke several endpoints is quarantined (refused), since it would
 * crash the next one as well. A connection can also be lost for another reason, so a quarantine
 * lapses: one request then tests whether it holds. Some such probes may fail, later ones are not
 * sent. Hosts repeat the quarantines that they know to each other, so a host that starts later
 * learns of them too, and have them stored, for the case that all of them stop at once.
 *
 * Load pattern: a request that crashes every endpoint is retried by its caller through any host,
 * also one that started since; endpoints reset connections for a while, and a resource that is read
 * by many is among them.
 */
internal class QuarantineTracker(
    self: HostId,
    otherHosts: () -> Set<HostId> = { emptySet() },
    private val isRefuted: (EndpointId, Long) -> Boolean = { _, _ -> false }
) {
    private val slots = ProbeSlots(self, otherHosts)
    private val records = LinkedHashMap<Fingerprint, QuarantineRecord>()
    private val lastNoticeByHost = mutableMapOf<HostId, Long>()
    private val recentCrashes = ArrayDeque<CrashNotice>()
    private val answeredAtMs = LinkedHashMap<AnswerNotice, Long>()

    /** Time of the last answer of requests that were suspected, which refutes older quarantines. */
    private val refutedAtMs = LinkedHashMap<Fingerprint, Long>()
    private var ownNoticeCount = 0L
    private val changes = mutableListOf<ForwardingEffect.LogStateChange>()
    private val storeEffects = mutableListOf<QuarantineEffect>()

    /** The latest crash notices of this host; each report repeats them. */
    val crashNotices: List<CrashNotice> get() = recentCrashes.toList()

    /** Returns the notices of answers for a report at [nowMs], which repeats them for a while. */
    fun answerNotices(nowMs: Long): List<AnswerNotice> {
        answeredAtMs.values.removeIf { nowMs - it >= REPEAT_MS }
        return answeredAtMs.keys.toList()
    }

    /** Returns the quarantines for a report at [nowMs], the least recently told ones first. */
    fun takeQuarantines(nowMs: Long): List<QuarantinedRequest> {
        if (records.isEmpty()) return emptyList()
        forgetExpired(nowMs)
        return records.entries
            .filter { (_, record) -> record.isQuarantined && isReportDue(record, nowMs) }
            .sortedBy { (_, record) -> record.reportedAtMs }
            .take(MAX_REPORTED)
            .map { (fingerprint, record) ->
                record.reportedAtMs = nowMs
                record.toQuarantinedRequest(fingerprint, nowMs)
            }
    }

    private fun isReportDue(record: QuarantineRecord, nowMs: Long): Boolean =
        nowMs - record.reportedAtMs >= QUARANTINE_REPEAT_MS

    /** Whether the request, which came to this host, is refused at [nowMs]. */
    fun isQuarantined(fingerprint: Fingerprint, nowMs: Long): Boolean {
        val record = records[fingerprint] ?: return false
        if (!record.isQuarantined) return false
        record.onSeen(nowMs)
        return !isProbeDue(fingerprint, record, nowMs)
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
        add(fingerprint, endpoint, nowMs, isOwn = true)
    }

    /** An endpoint ran the request to its end. */
    fun onOwnAnswer(fingerprint: Fingerprint, nowMs: Long) {
        if (fingerprint !in records) return
        answeredAtMs[AnswerNotice(++ownNoticeCount, fingerprint)] = nowMs
        if (answeredAtMs.size > MAX_RECENT) answeredAtMs -= answeredAtMs.keys.first()
        clear(fingerprint, "answered", nowMs, isOwn = true)
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
                is CrashNotice ->
                    add(notice.fingerprint, notice.endpoint, nowMs, isOwn = false)

                is AnswerNotice ->
                    clear(notice.fingerprint, "answered at $host", nowMs, isOwn = false)
            }
        }
        next.lastOrNull()?.let { lastNoticeByHost[host] = it.number }
    }

    /** Adds the quarantines that [source] knows. Adding the same again changes nothing. */
    fun onTold(source: String, quarantines: List<QuarantinedRequest>, nowMs: Long) {
        for (told in quarantines) {
            val refutedMs = refutedAtMs[told.fingerprint] ?: QuarantineRecord.NEVER_MS
            if (nowMs - told.crashedAgoMs <= refutedMs) continue
            val crashes = told.crashes.filter { !isRefuted(it.endpoint, nowMs - it.agoMs) }
            if (crashes.size < QuarantineRecord.QUARANTINE_COUNT) continue
            val record = records.getOrPut(told.fingerprint) { QuarantineRecord() }
            val wasQuarantined = record.isQuarantined
            record.onTold(told.copy(crashes = crashes), nowMs)
            if (record.isQuarantined && !wasQuarantined) {
                logQuarantine(told.fingerprint, record, "told by $source, ")
            }
        }
        forgetSurplus()
    }

    /** Forgets the lost connections of endpoints that are known to have run on. */
    fun forgetRefuted(nowMs: Long) {
        for ((fingerprint, record) in records.toList()) {
            val wasQuarantined = record.isQuarantined
            val hasRefuted = record.removeCrashes(isRefuted)
            if (hasRefuted && wasQuarantined && !record.isQuarantined) {
                clear(fingerprint, "its endpoints ran on", nowMs, isOwn = false)
            }
        }
        records.values.removeIf { it.endpoints.isEmpty() }
    }

    /** Whether [notice] of [host] is newer than the last one taken from it. */
    fun isNew(host: HostId, notice: RequestNotice): Boolean =
        notice.number > (lastNoticeByHost[host] ?: 0)

    /** [host] restarted, so its notices are numbered from 1 again. */
    fun onPeerRestarted(host: HostId) {
        lastNoticeByHost -= host
    }

    /** Returns the requests that were quarantined, probed or released since the last call. */
    fun takeChanges(): List<ForwardingEffect.LogStateChange> =
        changes.toList().also { changes.clear() }

    /** Returns the changes of the stored quarantines since the last call. */
    fun takeStoreEffects(): List<QuarantineEffect> =
        storeEffects.toList().also { storeEffects.clear() }

    private fun add(fingerprint: Fingerprint, endpoint: EndpointId, nowMs: Long, isOwn: Boolean) {
        if (records[fingerprint]?.isExpired(nowMs) == true) forget(fingerprint, "expired")
        val record = records.getOrPut(fingerprint) { QuarantineRecord() }
        val wasQuarantined = record.isQuarantined
        val isProbe = record.onCrash(endpoint, nowMs)
        if (isOwn) record.hasOwnCrash = true
        if (record.isQuarantined && (!wasQuarantined || isProbe)) {
            logQuarantine(fingerprint, record, "")
            if (record.hasOwnCrash) keep(fingerprint, record, nowMs)
        }
        forgetSurplus()
    }

    private fun keep(fingerprint: Fingerprint, record: QuarantineRecord, nowMs: Long) {
        storeEffects += QuarantineEffect.Keep(record.toQuarantinedRequest(fingerprint, nowMs))
    }

    /** The store may have lost quarantines; the hosts that saw their crashes store them again. */
    fun onStoreReplaced(nowMs: Long) {
        for ((fingerprint, record) in records) {
            if (record.isQuarantined && record.hasOwnCrash) keep(fingerprint, record, nowMs)
        }
    }

    private fun logQuarantine(fingerprint: Fingerprint, record: QuarantineRecord, source: String) {
        val next = if (record.mayBeProbed) "in ${record.lapseMs} ms or more" else "never"
        val reason = "${source}connections lost at ${record.endpoints.joinToString(",")}, " +
            "${record.failedProbes} failed probes, next probe $next"
        change(fingerprint, "request-quarantined", reason)
    }

    private fun clear(fingerprint: Fingerprint, reason: String, nowMs: Long, isOwn: Boolean) {
        val record = records.remove(fingerprint) ?: return
        refutedAtMs -= fingerprint
        refutedAtMs[fingerprint] = nowMs
        if (refutedAtMs.size > MAX_REFUTED) refutedAtMs -= refutedAtMs.keys.first()
        if (!record.isQuarantined) return
        change(fingerprint, "request-released", reason)
        // A host that stored it may do so only after the host with the answer has removed it.
        if (isOwn || record.hasOwnCrash) storeEffects += QuarantineEffect.Drop(fingerprint)
    }

    /** Whether this host may send the request as a probe; it sends one at a time. */
    private fun isProbeDue(
        fingerprint: Fingerprint,
        record: QuarantineRecord,
        nowMs: Long
    ): Boolean = record.mayBeProbed && nowMs - record.probedAtMs >= record.lapseMs &&
        slots.isOpen(fingerprint, nowMs - record.lastCrashAtMs - record.lapseMs)

    private fun forgetExpired(nowMs: Long) {
        records.filterValues { it.isExpired(nowMs) }.keys.forEach { forget(it, "expired") }
    }

    /** Forgets the requests that are least suspect. */
    private fun forgetSurplus() {
        while (records.size > MAX_FINGERPRINTS) {
            val leastSuspect = records.entries.minWith(
                compareBy({ it.value.isQuarantined }, { it.value.lastCrashAtMs })
            )
            forget(leastSuspect.key, "too many requests are suspect")
        }
    }

    private fun forget(fingerprint: Fingerprint, reason: String) {
        val record = records.remove(fingerprint) ?: return
        if (!record.isQuarantined) return
        change(fingerprint, "request-released", reason)
        // All hosts forget it at about the same time; one removes it.
        if (slots.isOpen(fingerprint, 0)) storeEffects += QuarantineEffect.Drop(fingerprint)
    }

    private fun change(fingerprint: Fingerprint, change: String, reason: String) {
        changes += ForwardingEffect.LogStateChange("request $fingerprint", change, reason)
    }

    private companion object {
        const val MAX_FINGERPRINTS = 2_048
        const val MAX_REFUTED = 256

        /** Notices that each report repeats, since reports may be lost. */
        const val MAX_RECENT = 12

        /** Time for which reports repeat an answer, in ms; older builds can't read such reports. */
        const val REPEAT_MS = 3_000L

        /** Interval of reports of a quarantine, for hosts that start later, in ms. */
        const val QUARANTINE_REPEAT_MS = 1_000L

        /** Keeps a report within one datagram; an entry takes up to 150 bytes. */
        const val MAX_REPORTED = 4
    }
}

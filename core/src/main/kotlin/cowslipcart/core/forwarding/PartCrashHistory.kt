package cowslipcart.core.forwarding

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId

/**
 * Judges the parts of prompts by the crashes and the answers of all hosts. A part is quarantined
 * (requests with it are refused) after crashes of several endpoints without an answer in between.
 * Hosts repeat what they know to each other, so a host that starts later learns of it too.
 *
 * Load pattern: one part crashes each endpoint that begins an answer on it, in requests that are
 * otherwise unlike each other; the crash breaks a dozen other requests as well.
 */
internal class PartCrashHistory(
    private val self: HostId,
    private val isRefuted: (EndpointId, Long) -> Boolean = { _, _ -> false }
) {
    private val records = LinkedHashMap<PromptPartId, PartRecord>()

    /** Time of the last answer at this host by part, least recent first. */
    private val answeredAtMs = LinkedHashMap<PromptPartId, Long>()
    private var quarantined = setOf<PromptPartId>()
    private val changes = mutableListOf<ForwardingEffect.LogStateChange>()

    /** Whether requests with [prompt] are refused by this host at [nowMs]. */
    fun isQuarantined(prompt: List<PromptPart>, nowMs: Long): Boolean =
        quarantined.isNotEmpty() && judgedParts(prompt).any { part ->
            part in quarantined && !isProbeDue(part, records.getValue(part), nowMs)
        }

    /** A request with [prompt] is sent. If it has a quarantined part, it is the part's probe. */
    fun onDispatched(prompt: List<PromptPart>, nowMs: Long) {
        if (quarantined.isEmpty()) return
        for (part in judgedParts(prompt)) {
            if (part in quarantined) records.getValue(part).probedAtMs = nowMs
        }
    }

    /**
     * The connection to [endpoint] broke before the first event of a request with [prompt]. A
     * quarantined part explains the crash, so the other parts are not suspected then.
     *
     * @param isAnswerBegun whether the head of the answer had arrived
     */
    fun onCrash(
        prompt: List<PromptPart>,
        endpoint: EndpointId,
        isAnswerBegun: Boolean,
        nowMs: Long
    ) {
        val parts = judgedParts(prompt)
        val explaining = parts.filter { it in quarantined }
        for (part in explaining.ifEmpty { parts }) {
            val record = recordOf(part)
            if (record.addCrash(endpoint, isAnswerBegun, nowMs)) record.onOwnNews(nowMs)
        }
        judge(nowMs)
    }

    /** An endpoint sent the first event of a request with [prompt]. */
    fun onAnswer(prompt: List<PromptPart>, nowMs: Long) {
        var hasRefuted = false
        for (part in judgedParts(prompt)) {
            answeredAtMs -= part
            answeredAtMs[part] = nowMs
            val record = records[part] ?: continue
            if (!record.addAnswer(nowMs)) continue
            record.onOwnNews(nowMs)
            hasRefuted = true
        }
        if (answeredAtMs.size > MAX_ANSWERED) answeredAtMs -= answeredAtMs.keys.first()
        if (hasRefuted) judge(nowMs)
    }

    /** Adds what another host knows. Adding the same again changes nothing. */
    fun onPeerReport(parts: List<SuspectedPart>, nowMs: Long) {
        if (parts.isEmpty()) return
        for (suspected in parts) {
            val record = recordOf(suspected.part)
            suspected.answeredAgoMs?.let { record.addAnswer(nowMs - it) }
            for (crash in suspected.crashes) {
                val atMs = nowMs - crash.agoMs
                // The other host lacks an answer that this one knows.
                if (record.isRefuted(atMs)) record.onOwnNews(nowMs)
                if (isRefuted(crash.endpoint, atMs)) continue
                record.addCrash(crash.endpoint, crash.isAnswerBegun, atMs)
            }
        }
        judge(nowMs)
    }

    /** Forgets the lost connections of endpoints that are known to have run on. */
    fun forgetRefuted(nowMs: Long) {
        var hasRefuted = false
        for (record in records.values) hasRefuted = record.removeCrashes(isRefuted) || hasRefuted
        if (hasRefuted) judge(nowMs)
    }

    /** Returns what the next report tells the other hosts, the least recently told parts first. */
    fun takeReport(nowMs: Long): List<SuspectedPart> {
        if (records.isEmpty()) return emptyList()
        if (records.values.removeIf { it.isExpired(nowMs) }) judge(nowMs)
        return records.entries
            .filter { (part, record) -> record.isReportDue(part in quarantined, nowMs) }
            .sortedBy { (_, record) -> record.reportedAtMs }
            .take(MAX_REPORTED)
            .map { (part, record) ->
                record.reportedAtMs = nowMs
                record.toSuspectedPart(part, nowMs)
            }
    }

    /** Returns the parts that were quarantined or released since the last call, for the log. */
    fun takeChanges(): List<ForwardingEffect.LogStateChange> =
        changes.toList().also { changes.clear() }

    private fun recordOf(part: PromptPartId): PartRecord = records.getOrPut(part) {
        // Refutes crashes before this answer, which is older than the news of them.
        PartRecord().also { new -> answeredAtMs[part]?.let { new.addAnswer(it) } }
    }

    /**
     * Decides again which parts are quarantined. Of two parts that were in the same crashes, the
     * one with more crashes explains those of the other, which only ran beside it.
     */
    private fun judge(nowMs: Long) {
        // Better estimates of the times of crashes do not end a quarantine.
        val suspects = records.filter { (part, record) ->
            record.isSuspect || (part in quarantined && record.hasEnoughCrashes)
        }
        val next = suspects.filterValues { record ->
            suspects.values.none { it.explains(record) }
        }.keys.toSet()
        for (part in next - quarantined) {
            val reason = suspects.getValue(part).describe(nowMs)
            changes += ForwardingEffect.LogStateChange("part $part", "part-quarantined", reason)
        }
        for (part in quarantined - next) {
            val reason = records[part]?.describe(nowMs) ?: "forgotten"
            changes += ForwardingEffect.LogStateChange("part $part", "part-released", reason)
        }
        quarantined = next
        forgetSurplus()
    }

    /**
     * Whether one request may test a quarantined part. The hosts reach this time one after another,
     * so that a crash by the first probe renews the quarantine before the others send theirs.
     */
    private fun isProbeDue(part: PromptPartId, record: PartRecord, nowMs: Long): Boolean {
        val spread =
            Math.floorMod(stableHash("$self $part"), SPREAD_STEPS).toDouble() / SPREAD_STEPS
        val afterMs = record.lapseMs * (1 + spread * PROBE_SPREAD)
        return nowMs - maxOf(record.lastCrashAtMs, record.probedAtMs) >= afterMs
    }

    /** Forgets the parts that are least suspect. */
    private fun forgetSurplus() {
        while (records.size > MAX_PARTS) {
            val first = records.entries.minWith(
                compareBy({ it.key in quarantined }, { it.value.lastCrashAtMs })
            )
            records -= first.key
            quarantined = quarantined - first.key
        }
    }

    /** The last part is the request's own or its session's, and is never the cause of a crash. */
    private fun judgedParts(prompt: List<PromptPart>): Set<PromptPartId> =
        prompt.dropLast(1).mapTo(mutableSetOf()) { it.id }

    private companion object {
        const val MAX_PARTS = 1_024
        const val MAX_ANSWERED = 2_048

        /** Keeps a report within one datagram; an entry takes up to 200 bytes. */
        const val MAX_REPORTED = 6

        /** The last host probes after five times the lapse of the quarantine. */
        const val PROBE_SPREAD = 4.0
        const val SPREAD_STEPS = 1_000L
    }
}

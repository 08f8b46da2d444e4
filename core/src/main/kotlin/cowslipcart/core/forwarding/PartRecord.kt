package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import kotlin.math.abs

/**
 * What a host tells the others about a part of a prompt. Times are relative, since the clocks of
 * hosts differ.
 *
 * @property crashes crashes of endpoints that ran the part since it was last answered
 * @property answeredAgoMs time since an endpoint last began an answer on it; null if unknown
 */
public data class SuspectedPart(
    public val part: PromptPartId,
    public val crashes: List<PartCrash>,
    public val answeredAgoMs: Long?
)

/**
 * The crash of [endpoint], [agoMs] before the report was made.
 *
 * @property isAnswerBegun whether a request with the part had the head of its answer; few of the
 * requests that a crash breaks have that without an event, mostly the one that caused it
 */
public data class PartCrash(
    public val endpoint: EndpointId,
    public val agoMs: Long,
    public val isAnswerBegun: Boolean
)

/** Crashes and answers of one part of a prompt, as far as this host knows them. */
internal class PartRecord {
    private class Crash(val endpoint: EndpointId, var isAnswerBegun: Boolean, var atMs: Long) {
        fun isSame(other: Crash): Boolean =
            endpoint == other.endpoint && abs(atMs - other.atMs) < SAME_CRASH_MS
    }

    /** Crashes since the last answer, oldest first. */
    private val crashes = mutableListOf<Crash>()
    private var answeredAtMs = NEVER_MS

    private var toldUntilMs = NEVER_MS

    /** Last time at which it was reported to the other hosts. */
    var reportedAtMs = NEVER_MS

    /** Last time at which this host sent a request with the quarantined part. */
    var probedAtMs = NEVER_MS

    val lastCrashAtMs: Long get() = crashes.lastOrNull()?.atMs ?: NEVER_MS

    private val spanMs: Long get() = lastCrashAtMs - (crashes.firstOrNull()?.atMs ?: lastCrashAtMs)

    /** Whether the part has crashed several endpoints, not all at once, without an answer. */
    val isSuspect: Boolean
        get() {
            val begunCount = crashes.count { it.isAnswerBegun }
            val minSpanMs =
                if (begunCount >= QUARANTINE_CRASHES) BEGUN_SPAN_MS else QUARANTINE_SPAN_MS
            return hasEnoughCrashes && spanMs >= minSpanMs
        }

    val hasEnoughCrashes: Boolean get() = crashes.size >= QUARANTINE_CRASHES

    /** Time without a crash after which the part is probed; each failed probe doubles it. */
    val lapseMs: Long get() = maxOf(MIN_LAPSE_MS, 2 * spanMs)

    /**
     * Adds a crash of [endpoint] at [atMs] and returns whether that changed the record. Reports of
     * one crash by several hosts, or on several ways, count once; the earliest time is the exact
     * one.
     */
    fun addCrash(endpoint: EndpointId, isAnswerBegun: Boolean, atMs: Long): Boolean {
        if (isRefuted(atMs)) return false
        val crash = Crash(endpoint, isAnswerBegun, atMs)
        val known = crashes.find { it.isSame(crash) }
        if (known != null) {
            val isNewEvidence = isAnswerBegun && !known.isAnswerBegun
            known.isAnswerBegun = known.isAnswerBegun || isAnswerBegun
            known.atMs = minOf(known.atMs, atMs)
            crashes.sortBy { it.atMs }
            return isNewEvidence
        }
        crashes += crash
        crashes.sortBy { it.atMs }
        if (crashes.size > MAX_CRASHES) crashes.removeAt(crashes.size - 2)
        return crash in crashes
    }

    /** Whether the part was answered after a crash at [atMs]. */
    fun isRefuted(atMs: Long): Boolean = atMs <= answeredAtMs

    /** Adds an answer begun at [atMs] and returns whether it refutes a crash or the quarantine. */
    fun addAnswer(atMs: Long): Boolean {
        if (isRefuted(atMs)) return false
        answeredAtMs = atMs
        return crashes.removeIf { it.atMs <= atMs }
    }

    /** Removes the crashes for which [isRefuted] holds; returns whether there are any. */
    fun removeCrashes(isRefuted: (EndpointId, Long) -> Boolean): Boolean =
        crashes.removeIf { isRefuted(it.endpoint, it.atMs) }

    /** Whether this part, which is a suspect, was in more crashes, and in those of [other]. */
    fun explains(other: PartRecord): Boolean {
        if (crashes.size <= other.crashes.size) return false
        val explained = other.crashes.count { crash -> crashes.any { it.isSame(crash) } }
        return other.crashes.size - explained < QUARANTINE_CRASHES
    }

    /** This host saw a crash or an answer itself, and has to tell the others. */
    fun onOwnNews(nowMs: Long) {
        toldUntilMs = nowMs + REPEAT_MS
    }

    /** Whether the next report has to contain the record. */
    fun isReportDue(isQuarantined: Boolean, nowMs: Long): Boolean = nowMs < toldUntilMs ||
        (isQuarantined && nowMs - reportedAtMs >= QUARANTINE_REPEAT_MS)

    /** Whether the record is too old to matter. */
    fun isExpired(nowMs: Long): Boolean {
        val lastMs = maxOf(lastCrashAtMs, answeredAtMs)
        return nowMs - lastMs >= if (hasEnoughCrashes) MAX_QUARANTINE_MS else MAX_SUSPICION_MS
    }

    fun toSuspectedPart(part: PromptPartId, nowMs: Long): SuspectedPart = SuspectedPart(
        part,
        crashes.map { PartCrash(it.endpoint, nowMs - it.atMs, it.isAnswerBegun) },
        (nowMs - answeredAtMs).takeIf { answeredAtMs != NEVER_MS }
    )

    /** Evidence for the log. */
    fun describe(nowMs: Long): String {
        val endpoints = crashes.joinToString(",") {
            if (it.isAnswerBegun) "${it.endpoint} begun" else "${it.endpoint}"
        }
        val answered = if (answeredAtMs == NEVER_MS) "never" else "${nowMs - answeredAtMs} ms ago"
        return "crashes ${crashes.size} in $spanMs ms [$endpoints], answered $answered"
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 4

        /** Two crashes may be caused by other requests that ran at the same endpoints. */
        const val QUARANTINE_CRASHES = 3

        /**
         * Least time between the first and the last crash, in ms. Endpoints that fail together do
         * so within less, and a harmless part is answered elsewhere meanwhile; news of a crash or
         * of an answer takes up to 1.2 s by relays.
         */
        const val QUARANTINE_SPAN_MS = 2_000L

        /**
         * The same if the answers had begun, which blames the requests themselves, in ms: time for
         * the news that their other parts were answered.
         */
        const val BEGUN_SPAN_MS = 500L

        /**
         * Crashes kept and reported: the last one and the first ones, which may have put parts of
         * other requests under suspicion.
         */
        const val MAX_CRASHES = 8

        /**
         * Longer than a report is delayed by a frozen host; an endpoint restarts meanwhile, in ms.
         */
        const val SAME_CRASH_MS = 10_000L

        /** A part that crashes endpoints comes back within this time, in ms. */
        const val MIN_LAPSE_MS = 30_000L

        /** Time for which a change is in each report, since reports may be lost, in ms. */
        const val REPEAT_MS = 3_000L

        /** Interval of reports of a quarantine, for hosts that start later, in ms. */
        const val QUARANTINE_REPEAT_MS = 1_000L

        /** Times after which records are forgotten, in ms. */
        const val MAX_SUSPICION_MS = 20_000L
        const val MAX_QUARANTINE_MS = 1_800_000L
    }
}

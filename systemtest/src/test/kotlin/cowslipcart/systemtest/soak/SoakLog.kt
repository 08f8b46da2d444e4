package cowslipcart.systemtest.soak

import cowslipcart.standins.platform.RunEnd
import java.util.Collections
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.TimeSource

/** Kinds of request that the soak sends. */
internal enum class RequestKind(val method: String, val path: String, val headers: String = "") {
    ORDER("POST", "/order/"),
    READ("GET", "/read/"),

    /** A read on a route that the configuration does not always have. */
    EXTRA("GET", "/extra/"),
    CHAT("POST", "/chat/", "Token-Count: 60,80\r\nModel: m\r\n")
}

/**
 * One request of a caller and its outcome; times are ms since the start of the soak. The caller
 * sent the first byte at [sentAtMs] and the last one at [lastByteAtMs].
 */
internal class SoakRequest(
    val id: String,
    val kind: RequestKind,
    val gateway: String,
    val usesRemovedKey: Boolean,
    val sentAtMs: Long,
    val lastByteAtMs: Long,
    val endedAtMs: Long,
    val outcome: CallerOutcome
)

/**
 * One run of a request at a runner; times are ms since the start of the soak. [endedAtMs] and [end]
 * are null if the run has not ended.
 */
internal class SoakRun(
    val id: String,
    val runner: String,
    val startedAtMs: Long,
    val endedAtMs: Long?,
    val end: RunEnd?
)

/** A runner refused the request [id] at [atMs] and wanted no more of its gateway for [forMs]. */
internal class SoakBackoff(val id: String, val runner: String, val atMs: Long, val forMs: Long)

/** Requests, faults and changes of a soak, recorded by several threads. */
internal class SoakLog {
    private class Span(val fromMs: Long, @Volatile var untilMs: Long)

    private val start = TimeSource.Monotonic.markNow()
    private val disturbances: MutableMap<String, MutableList<Span>> = ConcurrentHashMap()

    val requests: MutableList<SoakRequest> = Collections.synchronizedList(mutableListOf())

    /** Start and end of each fault and change, one line each, for the report of a failure. */
    val events: MutableList<String> = Collections.synchronizedList(mutableListOf())

    /** When each runner was marked as draining, by runner id. */
    val drainingSinceMs: MutableMap<String, Long> = ConcurrentHashMap()

    /** Since when the answers of runners state that they leave, by runner id. */
    val leavingSinceMs: MutableMap<String, Long> = ConcurrentHashMap()

    /** Whether [runner] takes no new requests, by its record or by its answers. */
    fun isLeaving(runner: String): Boolean = runner in drainingSinceMs || runner in leavingSinceMs

    /** When the processes of gateways ended or were paused; they may forget what they knew. */
    private val interruptions: MutableMap<String, MutableList<Long>> = ConcurrentHashMap()

    /** Records that the process of [gateway] ends, or is paused or goes on, now. */
    fun onInterruption(gateway: String) {
        interruptions.computeIfAbsent(gateway) { CopyOnWriteArrayList() } += nowMs()
    }

    /** Whether the process of [gateway] ran without a break from [fromMs] to [untilMs]. */
    fun isUninterrupted(gateway: String, fromMs: Long, untilMs: Long): Boolean =
        interruptions[gateway].orEmpty().none { it in fromMs..untilMs }

    /** When the second API key was removed; null while it is valid. */
    @Volatile
    var keyRemovedAtMs: Long? = null

    @Volatile
    var lastFaultEndMs: Long = 0

    /** Shortest time limit of a request so far: the deadline of callers or a timeout of a route. */
    @Volatile
    var shortestTimeoutMs: Long = SoakChecks.DEADLINE_MS

    /** Publication times and values of the idle limit, oldest first. */
    private val idleLimits: MutableList<Pair<Long, Long>> = CopyOnWriteArrayList()

    /** Records that the idle limit [limitMs] is published now. */
    fun onIdleLimit(limitMs: Long) {
        idleLimits += nowMs() to limitMs
    }

    /** Shortest idle limit that a gateway may have in force. */
    fun idleLimitMs(): Long {
        val settledAtMs = nowMs() - SoakChecks.CONFIG_PROPAGATION_MS
        val settled = idleLimits.indexOfLast { it.first <= settledAtMs }.coerceAtLeast(0)
        return idleLimits.drop(settled).minOf { it.second }
    }

    /** Milliseconds since the start of the soak. */
    fun nowMs(): Long = start.elapsedNow().inWholeMilliseconds

    /** Milliseconds since the start of the soak at [mark]. */
    fun timeOf(mark: TimeSource.Monotonic.ValueTimeMark): Long = (mark - start).inWholeMilliseconds

    /** Adds [text] with the current time to [events]. */
    fun note(text: String) {
        events += "${nowMs()} $text"
    }

    /** Records the start of a fault on [subjects]; the returned function records its end. */
    fun beginDisturbance(what: String, vararg subjects: String): () -> Unit {
        val description = "${subjects.joinToString()}: $what"
        note(description)
        val span = Span(nowMs(), Long.MAX_VALUE)
        for (subject in subjects) {
            disturbances.computeIfAbsent(subject) { CopyOnWriteArrayList() } += span
        }
        return {
            span.untilMs = nowMs()
            lastFaultEndMs = maxOf(lastFaultEndMs, span.untilMs)
            note("end of $description")
        }
    }

    /** Whether a fault on [subject] overlaps the time from [fromMs] to [untilMs]. */
    fun isDisturbed(subject: String, fromMs: Long, untilMs: Long): Boolean =
        disturbances[subject].orEmpty().toList().any {
            it.fromMs <= untilMs && it.untilMs >= fromMs
        }
}

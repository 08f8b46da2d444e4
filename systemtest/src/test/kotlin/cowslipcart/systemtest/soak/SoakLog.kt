package cowslipcart.systemtest.soak

import java.util.Collections
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource

/** Kinds of request that the soak sends. */
internal enum class RequestKind { ORDER, READ, CHAT }

/** One request of a caller and its outcome; times are ms since the start of the soak. */
internal class SoakRequest(
    val id: String,
    val kind: RequestKind,
    val gateway: String,
    val usesRemovedKey: Boolean,
    val sentAtMs: Long,
    val endedAtMs: Long,
    val outcome: CallerOutcome
)

/** One run of a request at a runner; [startedAtMs] is ms since the start of the soak. */
internal class SoakRun(val id: String, val runner: String, val startedAtMs: Long)

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

    /** When the second API key was removed; null while it is valid. */
    @Volatile
    var keyRemovedAtMs: Long? = null

    @Volatile
    var lastFaultEndMs: Long = 0

    /** Milliseconds since the start of the soak. */
    fun nowMs(): Long = start.elapsedNow().inWholeMilliseconds

    /** Adds [text] with the current time to [events]. */
    fun note(text: String) {
        events += "${nowMs()} $text"
    }

    /** Records the start of a fault on [subject]; the returned function records its end. */
    fun beginDisturbance(subject: String, what: String): () -> Unit {
        note("$subject: $what")
        val span = Span(nowMs(), Long.MAX_VALUE)
        disturbances.getOrPut(subject) { Collections.synchronizedList(mutableListOf()) } += span
        return {
            span.untilMs = nowMs()
            lastFaultEndMs = maxOf(lastFaultEndMs, span.untilMs)
            note("$subject: end of $what")
        }
    }

    /** Whether a fault on [subject] overlaps the time from [fromMs] to [untilMs]. */
    fun isDisturbed(subject: String, fromMs: Long, untilMs: Long): Boolean =
        disturbances[subject].orEmpty().toList().any {
            it.fromMs <= untilMs && it.untilMs >= fromMs
        }
}

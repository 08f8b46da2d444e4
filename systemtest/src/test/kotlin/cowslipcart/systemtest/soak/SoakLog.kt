package cowslipcart.systemtest.soak

import java.util.Collections
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource

/** Kinds of request that the soak sends. */
internal enum class SoakKind { ORDER, READ, CHAT }

/** One request of a caller and what it got; times in ms since the start of the soak. */
internal class SoakRequest(
    val id: String,
    val kind: SoakKind,
    val gateway: String,
    val usesRemovedKey: Boolean,
    val sentAtMs: Long,
    val endedAtMs: Long,
    val outcome: CallerOutcome
)

/** A run at a runner. */
internal class SoakRun(val id: String, val runner: String, val startedAtMs: Long)

/** What happened in a soak. */
internal class SoakLog {
    private class Span(val fromMs: Long, @Volatile var untilMs: Long)

    private val start = TimeSource.Monotonic.markNow()
    private val disturbances: MutableMap<String, MutableList<Span>> = ConcurrentHashMap()

    val requests: MutableList<SoakRequest> = Collections.synchronizedList(mutableListOf())
    val faults: MutableList<String> = Collections.synchronizedList(mutableListOf())

    /** When each runner was written as draining. */
    val drainedAtMs: MutableMap<String, Long> = ConcurrentHashMap()

    /** When the key was taken away; null if it was not. */
    @Volatile
    var keyRemovedAtMs: Long? = null

    @Volatile
    var lastFaultEndMs: Long = 0

    fun nowMs(): Long = start.elapsedNow().inWholeMilliseconds

    fun note(text: String) {
        faults += "${nowMs()} $text"
    }

    /** Notes that a fault on [subject] begins; the returned function ends it. */
    fun disturb(subject: String, what: String): () -> Unit {
        note("$subject: $what")
        val span = Span(nowMs(), Long.MAX_VALUE)
        disturbances.getOrPut(subject) { Collections.synchronizedList(mutableListOf()) } += span
        return {
            span.untilMs = nowMs()
            lastFaultEndMs = maxOf(lastFaultEndMs, span.untilMs)
            note("$subject: end of $what")
        }
    }

    /** Whether [subject] had a fault between [fromMs] and [untilMs]. */
    fun isDisturbed(subject: String, fromMs: Long, untilMs: Long): Boolean =
        disturbances[subject].orEmpty().toList().any {
            it.fromMs <= untilMs && it.untilMs >= fromMs
        }
}

package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId

/**
 * An endpoint has said in an answer that it leaves.
 *
 * @property startedAtMs wall-clock time of the start that leaves, as in its entry
 */
public data class LeavingEndpoint(public val id: EndpointId, public val startedAtMs: Long)

/**
 * Endpoints that have said in an answer that they leave. They get no new requests, whatever the
 * store lists of them and whether it lists them at all, until they have started anew.
 *
 * Load pattern: endpoints leave while the store is away or holds an older record of them.
 */
internal class LeavingEndpoints {
    private class Mark(val startedAtMs: Long, val knownAtMs: Long)

    /** The most recent mark last. */
    private val marks = LinkedHashMap<EndpointId, Mark>()

    /** Adds [endpoint] and returns whether that was not known. */
    fun add(endpoint: LeavingEndpoint, nowMs: Long): Boolean {
        val known = marks[endpoint.id]
        if (known != null && known.startedAtMs >= endpoint.startedAtMs) return false
        marks -= endpoint.id
        marks[endpoint.id] = Mark(endpoint.startedAtMs, nowMs)
        if (marks.size > MAX_MARKS) marks -= marks.keys.first()
        return true
    }

    /** Whether the start that [entry] describes leaves. */
    fun isLeaving(entry: EndpointEntry): Boolean =
        marks[entry.id]?.let { entry.startedAtMs <= it.startedAtMs } ?: false

    /**
     * What this host tells the others: each mark for [REPEAT_MS], since reports may be lost, and as
     * long as [isListedReady], since hosts that start meanwhile go by the list.
     */
    fun toReport(nowMs: Long, isListedReady: (EndpointId) -> Boolean): List<LeavingEndpoint> = marks
        .entries
        .filter { (id, mark) -> nowMs - mark.knownAtMs < REPEAT_MS || isListedReady(id) }
        .takeLast(MAX_REPORTED)
        .map { (id, mark) -> LeavingEndpoint(id, mark.startedAtMs) }

    private companion object {
        /** More endpoints than any deployment has. */
        const val MAX_MARKS = 4_096

        /** Several report intervals, with a relay between groups, in ms. */
        const val REPEAT_MS = 4_000L

        /** Keeps a report within one datagram. */
        const val MAX_REPORTED = 8
    }
}

package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId

/**
 * Backoffs of endpoints that are not in the platform's list now. Entries lapse while the store is
 * away and return with it, and an endpoint whose entry has lapsed may still refuse a request.
 */
internal class UnlistedBackoffs {
    private class Backoff(val startedAtMs: Long, val untilMs: Long)

    /** The most recent one last. */
    private val byId = LinkedHashMap<EndpointId, Backoff>()

    /** The start of [id] at [startedAtMs] wants no requests until [untilMs]. */
    fun add(id: EndpointId, startedAtMs: Long, untilMs: Long) {
        if (untilMs == Long.MIN_VALUE) return
        val known = byId.remove(id)
        val longestMs = maxOf(untilMs, known?.untilMs ?: Long.MIN_VALUE)
        byId[id] = Backoff(maxOf(startedAtMs, known?.startedAtMs ?: startedAtMs), longestMs)
        if (byId.size > MAX_BACKOFFS) byId -= byId.keys.first()
    }

    /** Removes the backoff of [entry] and returns its end, if the same start asked for it. */
    fun take(entry: EndpointEntry): Long {
        val backoff = byId.remove(entry.id) ?: return Long.MIN_VALUE
        return if (entry.startedAtMs <= backoff.startedAtMs) backoff.untilMs else Long.MIN_VALUE
    }

    companion object {
        /** Start of an endpoint whose entry is not known. */
        const val ANY_START: Long = Long.MAX_VALUE

        /** More endpoints than any deployment has. */
        private const val MAX_BACKOFFS = 4_096
    }
}

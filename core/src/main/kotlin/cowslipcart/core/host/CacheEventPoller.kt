package cowslipcart.core.host

import cowslipcart.core.capacity.CacheCursor
import cowslipcart.core.capacity.CacheUpdate
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import kotlin.math.max
import kotlin.math.min

/**
 * Schedules the reads of cache events. Each watched endpoint is read every [POLL_INTERVAL_MS] from
 * its last known event on. A read returns at most [MAX_PAGE_BYTES]; a token bucket limits all
 * endpoints together to [limitBytesPerS] on average, and a limit of 0 turns reads off. A failed
 * read is retried after a delay that doubles up to [MAX_BACKOFF_MS]; until it succeeds, placement
 * relies on the owner's own grants alone.
 */
internal class CacheEventPoller(private val limitBytesPerS: Long, private val outbox: Outbox) {
    private class PollState(var endpoint: EndpointSpec, var dueAtMs: Long) {
        val cursor = CacheCursor()
        var isPending = false
        var backoffMs = POLL_INTERVAL_MS
    }

    private val pollStates = HashMap<EndpointId, PollState>()
    private val burstBytes = max(limitBytesPerS, MAX_PAGE_BYTES.toLong())

    // Reads start while this is positive. The last one may overdraw it; further reads then wait
    // until the debt is refilled.
    private var bucketBytes = burstBytes.toDouble()
    private var refilledAtMs: Long? = null

    /** Polls exactly [endpoints] from now on; a new one is read from its first retained event. */
    fun watch(endpoints: List<EndpointSpec>, nowMs: Long) {
        pollStates.keys.retainAll(endpoints.mapTo(mutableSetOf()) { it.id })
        for (endpoint in endpoints) {
            pollStates.getOrPut(endpoint.id) { PollState(endpoint, nowMs) }.endpoint = endpoint
        }
    }

    /** Starts the reads that are due, the most overdue first. */
    fun tick(nowMs: Long) {
        if (limitBytesPerS == 0L) return
        val elapsedMs = nowMs - (refilledAtMs ?: nowMs)
        refilledAtMs = nowMs
        val refilledBytes = bucketBytes + elapsedMs * limitBytesPerS / MS_PER_S
        bucketBytes = min(burstBytes.toDouble(), refilledBytes)
        while (bucketBytes > 0) {
            val pollState = pollStates.values.filter { it.dueAtMs <= nowMs }
                .minWithOrNull(compareBy({ it.dueAtMs }, { it.endpoint.id })) ?: return
            startRead(pollState, nowMs)
        }
    }

    /** Applies a page and returns its events; null if it answers no pending read of this owner. */
    fun onRead(page: HostInput.CacheRead, nowMs: Long): CacheUpdate? {
        bucketBytes -= page.sizeBytes
        val pollState = pollStates[page.endpoint] ?: return null
        if (!pollState.isPending || page.fromIndex != pollState.cursor.fromIndex) return null
        pollState.isPending = false
        pollState.backoffMs = POLL_INTERVAL_MS
        pollState.dueAtMs = if (page.isTruncated) nowMs else nowMs + POLL_INTERVAL_MS
        return pollState.cursor.advance(page.events)
    }

    /** Schedules the retry of the pending read of [endpoint] with exponential backoff. */
    fun onReadFailed(endpoint: EndpointId, nowMs: Long) {
        val pollState = pollStates[endpoint] ?: return
        if (!pollState.isPending) return
        pollState.isPending = false
        pollState.dueAtMs = nowMs + pollState.backoffMs
        pollState.backoffMs = min(MAX_BACKOFF_MS, pollState.backoffMs * 2)
    }

    private fun startRead(pollState: PollState, nowMs: Long) {
        pollState.isPending = true
        // A read whose result is never reported is retried after this time.
        pollState.dueAtMs = nowMs + MAX_BACKOFF_MS
        bucketBytes -= REQUEST_BYTES
        val fromIndex = pollState.cursor.fromIndex
        outbox.emit(HostEffect.ReadCacheEvents(pollState.endpoint, fromIndex, MAX_PAGE_BYTES))
    }

    private companion object {
        const val POLL_INTERVAL_MS = 1_000L
        const val MAX_BACKOFF_MS = 60_000L

        /** About 270 events of 60 bytes. */
        const val MAX_PAGE_BYTES = 16_384

        /** Request line and headers of request and response. */
        const val REQUEST_BYTES = 250
        const val MS_PER_S = 1_000.0
    }
}

package cowslipcart.core.node

import cowslipcart.core.capacity.CacheCursor
import cowslipcart.core.capacity.CacheReading
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import kotlin.math.max
import kotlin.math.min

/**
 * Plans the reads of cache events: each watched endpoint once in [INTERVAL_MS], from the last known
 * event on, at most [MAX_PAGE_BYTES] a read and [limitBytesPerS] on average over all endpoints. A
 * limit of 0 turns reads off. A failed read is repeated after a delay that doubles up to
 * [MAX_BACKOFF_MS]; placement then goes by the grants of the owner alone.
 */
internal class CacheDesk(private val limitBytesPerS: Long, private val outbox: Outbox) {
    private class Reader(var endpoint: EndpointSpec, var dueAtMs: Long) {
        val cursor = CacheCursor()
        var isPending = false
        var backoffMs = INTERVAL_MS
    }

    private val readers = HashMap<EndpointId, Reader>()
    private val burstBytes = max(limitBytesPerS, MAX_PAGE_BYTES.toLong())

    // Reads start while the allowance is positive; what they exceed it by is waited for afterwards.
    private var allowanceBytes = burstBytes.toDouble()
    private var refilledAtMs: Long? = null

    /** Reads exactly [endpoints] from now on; a new one is read from its first kept event. */
    fun watch(endpoints: List<EndpointSpec>, nowMs: Long) {
        readers.keys.retainAll(endpoints.mapTo(mutableSetOf()) { it.id })
        for (endpoint in endpoints) {
            readers.getOrPut(endpoint.id) { Reader(endpoint, nowMs) }.endpoint = endpoint
        }
    }

    /** Starts the reads that are due, the longest due one first. */
    fun tick(nowMs: Long) {
        if (limitBytesPerS == 0L) return
        val elapsedMs = nowMs - (refilledAtMs ?: nowMs)
        refilledAtMs = nowMs
        val refilledBytes = allowanceBytes + elapsedMs * limitBytesPerS / MS_PER_S
        allowanceBytes = min(burstBytes.toDouble(), refilledBytes)
        while (allowanceBytes > 0) {
            val reader = readers.values.filter { it.dueAtMs <= nowMs }
                .minWithOrNull(compareBy({ it.dueAtMs }, { it.endpoint.id })) ?: return
            start(reader, nowMs)
        }
    }

    /** Takes a page; returns what it says, or null if it answers no read of this owner. */
    fun onRead(page: NodeInput.CacheRead, nowMs: Long): CacheReading? {
        allowanceBytes -= page.sizeBytes
        val reader = readers[page.endpoint] ?: return null
        if (!reader.isPending || page.fromIndex != reader.cursor.fromIndex) return null
        reader.isPending = false
        reader.backoffMs = INTERVAL_MS
        reader.dueAtMs = if (page.isTruncated) nowMs else nowMs + INTERVAL_MS
        return reader.cursor.take(page.events)
    }

    fun onReadFailed(endpoint: EndpointId, nowMs: Long) {
        val reader = readers[endpoint] ?: return
        if (!reader.isPending) return
        reader.isPending = false
        reader.dueAtMs = nowMs + reader.backoffMs
        reader.backoffMs = min(MAX_BACKOFF_MS, reader.backoffMs * 2)
    }

    private fun start(reader: Reader, nowMs: Long) {
        reader.isPending = true
        // A read whose end is never reported is started again.
        reader.dueAtMs = nowMs + MAX_BACKOFF_MS
        allowanceBytes -= REQUEST_BYTES
        val fromIndex = reader.cursor.fromIndex
        outbox.emit(NodeEffect.ReadCacheEvents(reader.endpoint, fromIndex, MAX_PAGE_BYTES))
    }

    private companion object {
        const val INTERVAL_MS = 1_000L
        const val MAX_BACKOFF_MS = 60_000L

        /** About 270 events of 60 bytes. */
        const val MAX_PAGE_BYTES = 16_384

        /** Request line and headers of both directions. */
        const val REQUEST_BYTES = 250
        const val MS_PER_S = 1_000.0
    }
}

package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PrefixBlock

/** Applies the cache change feeds of the endpoints to the prefix index. */
internal class PrefixIndexUpdater(private val endpoints: EndpointTable) {
    private class DeferredEviction(
        val endpoint: EndpointId,
        val block: PrefixBlock,
        val evidence: PrefixIndex.Evidence
    )

    private val prefixes = endpoints.prefixes
    private val deferred = ArrayDeque<DeferredEviction>()

    /** Applies changes of caches. */
    fun apply(events: List<CacheEvent>, nowMs: Long) {
        for (event in events) {
            val index = endpoints.find(event.endpoint)?.index ?: continue
            if (event.isStored) {
                prefixes.store(index, event.block, nowMs)
            } else {
                evict(event, index, nowMs)
            }
        }
    }

    /** Applies deferred evictions that are due; see [evict]. */
    fun applyDeferred(nowMs: Long) {
        while (true) {
            val eviction = deferred.firstOrNull() ?: return
            if (nowMs - eviction.evidence.grantedAtMs < STORE_EVENT_DELAY_MS) return
            deferred.removeFirst()
            val index = endpoints.find(eviction.endpoint)?.index ?: continue
            val evidence = prefixes.evidence(index, eviction.block)
            if (evidence === eviction.evidence) prefixes.evict(index, eviction.block)
        }
    }

    /**
     * Events arrive late, so an eviction may have happened before the last grant, whose prompt the
     * engine then stores again. Such an eviction is deferred until the stored event should have
     * arrived.
     */
    private fun evict(event: CacheEvent, index: Int, nowMs: Long) {
        val evidence = prefixes.evidence(index, event.block) ?: return
        if (nowMs - evidence.grantedAtMs >= STORE_EVENT_DELAY_MS) {
            prefixes.evict(index, event.block)
        } else {
            deferred.addLast(DeferredEviction(event.endpoint, event.block, evidence))
        }
    }

    /**
     * Applies a gap in the cache change feed of an endpoint. Each missing event makes at most one
     * entry of the index wrong. When more than 1 / [ENTRIES_PER_MISSING_EVENT] of the entries may
     * be wrong, all entries without a grant or event in the last [RECENT_MS] are removed. Single
     * losses, which are usual, thus do not empty the index.
     */
    fun apply(endpointId: EndpointId, gap: CacheGap, nowMs: Long) {
        val endpoint = endpoints.find(endpointId) ?: return
        when (gap) {
            is CacheGap.Missing -> {
                endpoint.missingCacheEvents += gap.count
                val wrongLimit = prefixes.count(endpoint.index) / ENTRIES_PER_MISSING_EVENT
                if (endpoint.missingCacheEvents <= wrongLimit) return
                prefixes.forgetBefore(endpoint.index, nowMs - RECENT_MS)
            }

            CacheGap.Restarted -> prefixes.clear(endpoint.index)
        }
        endpoint.missingCacheEvents = 0
    }

    private companion object {
        const val ENTRIES_PER_MISSING_EVENT = 4

        /** Longest time from a grant to the stored events of its prompt at usual lag and load. */
        const val STORE_EVENT_DELAY_MS = 5_000L

        /** Several times the lag of cache events and load reports. */
        const val RECENT_MS = 30_000L
    }
}

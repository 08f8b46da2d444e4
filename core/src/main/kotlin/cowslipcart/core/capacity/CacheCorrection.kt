package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PrefixBlock

/** Corrects the prefix index by what endpoints report of their caches. */
internal class CacheCorrection(private val endpoints: EndpointTable) {
    private class DeferredEviction(
        val endpoint: EndpointId,
        val block: PrefixBlock,
        val evidence: PrefixIndex.Evidence
    )

    private val prefixes = endpoints.prefixes
    private val deferred = ArrayDeque<DeferredEviction>()

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

    /** Acts on evictions that were put off. */
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
     * Events are late, so an eviction may have come before the last grant, whose prompt the engine
     * then reads and stores again. Such an eviction is put off until the event of the store would
     * have come.
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
     * Each missing event makes at most one claim of the index wrong. When they could be more than
     * 1 / [CLAIMS_PER_MISSING_EVENT] of the claims, all are forgotten that no grant and no event
     * of the last [RECENT_MS] shows. Single losses, which are usual, thus do not empty the index.
     */
    fun apply(endpointId: EndpointId, gap: CacheGap, nowMs: Long) {
        val endpoint = endpoints.find(endpointId) ?: return
        when (gap) {
            is CacheGap.Missing -> {
                endpoint.missingCacheEvents += gap.count
                val wrongLimit = prefixes.count(endpoint.index) / CLAIMS_PER_MISSING_EVENT
                if (endpoint.missingCacheEvents <= wrongLimit) return
                prefixes.forgetBefore(endpoint.index, nowMs - RECENT_MS)
            }

            CacheGap.Restarted -> prefixes.clear(endpoint.index)
        }
        endpoint.missingCacheEvents = 0
    }

    private companion object {
        const val CLAIMS_PER_MISSING_EVENT = 4

        /** Longest time from a grant to the event of its stored prompt at usual lag and load. */
        const val STORE_EVENT_DELAY_MS = 5_000L

        /** Several times the lag of events and of the load reports. */
        const val RECENT_MS = 30_000L
    }
}

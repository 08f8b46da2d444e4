package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PrefixBlock

/** Corrects the prefix index by what endpoints report of their caches. */
internal class CacheCorrection(private val endpoints: EndpointTable) {
    private class Doubt(
        val endpoint: EndpointId,
        val block: PrefixBlock,
        val evidence: PrefixIndex.Evidence
    )

    private val prefixes = endpoints.prefixes
    private val doubts = ArrayDeque<Doubt>()

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
    fun settle(nowMs: Long) {
        while (true) {
            val doubt = doubts.firstOrNull() ?: return
            if (nowMs - doubt.evidence.grantedAtMs < SETTLED_MS) return
            doubts.removeFirst()
            val index = endpoints.find(doubt.endpoint)?.index ?: continue
            val evidence = prefixes.evidence(index, doubt.block)
            if (evidence === doubt.evidence) prefixes.evict(index, doubt.block)
        }
    }

    /**
     * Events are late, so an eviction may have come before the last grant, whose prompt the engine
     * then reads and stores again. Such an eviction is put off until the event of the store would
     * have come.
     */
    private fun evict(event: CacheEvent, index: Int, nowMs: Long) {
        val evidence = prefixes.evidence(index, event.block) ?: return
        if (nowMs - evidence.grantedAtMs >= SETTLED_MS) {
            prefixes.evict(index, event.block)
        } else {
            doubts.addLast(Doubt(event.endpoint, event.block, evidence))
        }
    }

    /**
     * Each missing event makes at most one claim of the index wrong. When they could be more than
     * 1 / [CLAIMS_PER_MISSING_EVENT] of the claims, all are forgotten that no grant and no event
     * of the last [TRUSTED_MS] shows. Single losses, which are usual, thus do not empty the index.
     */
    fun apply(endpointId: EndpointId, gap: CacheGap, nowMs: Long) {
        val endpoint = endpoints.find(endpointId) ?: return
        when (gap) {
            is CacheGap.Missing -> {
                endpoint.missingCacheEvents += gap.count
                val wrongLimit = prefixes.count(endpoint.index) / CLAIMS_PER_MISSING_EVENT
                if (endpoint.missingCacheEvents <= wrongLimit) return
                prefixes.forgetBefore(endpoint.index, nowMs - TRUSTED_MS)
            }

            CacheGap.Restarted -> prefixes.clear(endpoint.index)
        }
        endpoint.missingCacheEvents = 0
    }

    private companion object {
        const val CLAIMS_PER_MISSING_EVENT = 4

        /** Longest time from a grant to the event of its stored prompt at usual lag and load. */
        const val SETTLED_MS = 5_000L

        /** Several times the lag of events and of the load reports. */
        const val TRUSTED_MS = 30_000L
    }
}

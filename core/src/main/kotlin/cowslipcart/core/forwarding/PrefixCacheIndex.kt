package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId

/**
 * Tracks which endpoints have recently prefilled which prompt parts, so that a session returns to
 * the engine whose prefix cache holds its history. Bounded; evicts the least recently used parts.
 */
internal class PrefixCacheIndex {
    private val holdersByPart = object : LinkedHashMap<PromptPartId, Holders>(
        INITIAL_CAPACITY,
        LOAD_FACTOR,
        true
    ) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<PromptPartId, Holders>) =
            size > MAX_PARTS
    }

    /** Records that [endpoint] has prefilled all of [prompt]. */
    fun record(prompt: List<PromptPart>, endpoint: EndpointId, nowMs: Long) {
        for (part in prompt) {
            holdersByPart.getOrPut(part.id) { Holders() }.add(endpoint, nowMs)
        }
    }

    /** Estimated tokens of [prompt] that are not in the prefix cache of [endpoint]. */
    fun uncachedTokens(prompt: List<PromptPart>, endpoint: EndpointId, nowMs: Long): Int {
        val cached = prompt.takeWhile {
            it.tokens < MIN_TRACKED_TOKENS ||
                holdersByPart[it.id]?.contains(endpoint, nowMs) == true
        }
        return prompt.sumOf { it.tokens } - cached.sumOf { it.tokens }
    }

    /** Removes all records of [endpoint], which restarted or left. */
    fun forget(endpoint: EndpointId) {
        for (holders in holdersByPart.values) holders.remove(endpoint)
    }

    /** Endpoints that have prefilled one part, the most recent last. */
    private class Holders {
        private val prefilledAtMs = LinkedHashMap<EndpointId, Long>(2)

        fun add(endpoint: EndpointId, nowMs: Long) {
            prefilledAtMs.remove(endpoint)
            prefilledAtMs[endpoint] = nowMs
            if (prefilledAtMs.size > MAX_ENDPOINTS) prefilledAtMs.remove(prefilledAtMs.keys.first())
        }

        fun remove(endpoint: EndpointId) {
            prefilledAtMs.remove(endpoint)
        }

        fun contains(endpoint: EndpointId, nowMs: Long): Boolean {
            val atMs = prefilledAtMs[endpoint] ?: return false
            return nowMs - atMs < RETENTION_MS
        }
    }

    companion object {
        /** Shorter parts are not tracked or reported, and count as cached. */
        const val MIN_TRACKED_TOKENS = 200
        private const val MAX_PARTS = 8_192
        private const val INITIAL_CAPACITY = 1_024
        private const val LOAD_FACTOR = 0.75f

        /** Endpoints tracked for one part; a part in heavy use is cached on several. */
        private const val MAX_ENDPOINTS = 4

        /** An engine's prefix cache turns over in some tens of seconds at the usual load, in ms. */
        private const val RETENTION_MS = 30_000L
    }
}

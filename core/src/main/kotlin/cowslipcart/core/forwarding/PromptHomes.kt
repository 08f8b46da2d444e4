package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId

/**
 * Remembers which endpoints read which parts of prompts lately, so that a session returns to the
 * engine that keeps its history. Bounded; the parts that were read longest ago go first.
 */
internal class PromptHomes {
    private val homes = object : LinkedHashMap<PromptPartId, Home>(MAP_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<PromptPartId, Home>) =
            size > MAX_PARTS
    }

    /** [endpoint] has read [prompt] up to its end. */
    fun record(prompt: List<PromptPart>, endpoint: EndpointId, nowMs: Long) {
        for (part in prompt) {
            homes.getOrPut(part.id) { Home() }.add(endpoint, nowMs)
        }
    }

    /** Tokens of [prompt] that [endpoint] has to read, going by what it read lately. */
    fun unreadTokens(prompt: List<PromptPart>, endpoint: EndpointId, nowMs: Long): Int {
        val kept = prompt.takeWhile {
            it.tokens < MIN_KNOWN_TOKENS || homes[it.id]?.contains(endpoint, nowMs) == true
        }
        return prompt.sumOf { it.tokens } - kept.sumOf { it.tokens }
    }

    /** Forgets what [endpoint] kept; it restarted or left. */
    fun forget(endpoint: EndpointId) {
        for (home in homes.values) home.remove(endpoint)
    }

    private class Home {
        private val readAtMs = LinkedHashMap<EndpointId, Long>(2)

        fun add(endpoint: EndpointId, nowMs: Long) {
            readAtMs.remove(endpoint)
            readAtMs[endpoint] = nowMs
            if (readAtMs.size > MAX_ENDPOINTS) readAtMs.remove(readAtMs.keys.first())
        }

        fun remove(endpoint: EndpointId) {
            readAtMs.remove(endpoint)
        }

        fun contains(endpoint: EndpointId, nowMs: Long): Boolean {
            val atMs = readAtMs[endpoint] ?: return false
            return nowMs - atMs < KEPT_MS
        }
    }

    companion object {
        /** Shorter parts are not reported between hosts and count as kept. */
        const val MIN_KNOWN_TOKENS = 200
        private const val MAX_PARTS = 8_192
        private const val MAP_SIZE = 1_024
        private const val LOAD_FACTOR = 0.75f

        /** Endpoints remembered for one part; a part in heavy use is read on several. */
        private const val MAX_ENDPOINTS = 4

        /** An engine's memory turns over in some tens of seconds at the usual load, in ms. */
        private const val KEPT_MS = 30_000L
    }
}

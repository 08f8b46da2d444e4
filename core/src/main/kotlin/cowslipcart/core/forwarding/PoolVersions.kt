package cowslipcart.core.forwarding

import cowslipcart.core.model.VersionId

/**
 * Versions of endpoints that may have begun streams of one pool. A version stays in here for
 * [StreamOrigins.STREAM_LIFETIME_MS] after its last endpoint has left.
 */
internal class PoolVersions {
    private class State(var lastListedAtMs: Long) {
        var isListed = false

        /** Whether the platform's store tells hosts that start of this version. */
        var isStored = false

        /** When new streams may begin; [Long.MAX_VALUE] while the version is not stored. */
        var usableFromMs = Long.MAX_VALUE
    }

    private val states = mutableMapOf<VersionId, State>()

    /** Versions that may have begun streams. */
    val all: Set<VersionId> get() = states.keys

    /** Whether streams of several versions may be under way. */
    val isMixed: Boolean get() = states.size > 1

    /** Endpoints of [listed] are in the platform's list; returns those that have to be stored. */
    fun onListed(listed: Set<VersionId>, nowMs: Long): Set<VersionId> {
        for ((version, state) in states) {
            if (state.isListed) state.lastListedAtMs = nowMs
            state.isListed = version in listed
            // Others may remove it from the store while it is not listed.
            if (!state.isListed) setNotStored(state)
        }
        for (version in listed) {
            val state = states.getOrPut(version) { State(nowMs) }
            state.isListed = true
            state.lastListedAtMs = nowMs
        }
        return states.filterValues { it.isListed && !it.isStored }.keys
    }

    /** The platform's store holds [version]; another host may have stored it long ago. */
    fun onRead(version: VersionId, nowMs: Long) {
        val state = states.getOrPut(version) { State(nowMs) }
        if (state.isStored) return
        state.isStored = true
        state.usableFromMs = nowMs
    }

    /** The store names [version], as one that is listed or has been. */
    fun onFound(version: VersionId, nowMs: Long) {
        states.getOrPut(version) { State(nowMs) }
    }

    /** This host has stored [version]. Other hosts learn of it from the list meanwhile. */
    fun onStored(version: VersionId, nowMs: Long) {
        val state = states[version] ?: return
        if (state.isStored) return
        state.isStored = true
        // Stored once more after the store came back from an older copy, it is known to all hosts.
        if (state.usableFromMs == Long.MAX_VALUE) state.usableFromMs = nowMs + SETTLE_MS
    }

    /** What was stored may be lost; returns what has to be stored again. */
    fun onStoreReplaced(): Set<VersionId> {
        states.values.forEach { it.isStored = false }
        return states.keys
    }

    private fun setNotStored(state: State) {
        state.isStored = false
        state.usableFromMs = Long.MAX_VALUE
    }

    /**
     * Returns those of [endpoints] at which a stream may begin. A version that hosts may not know
     * yet waits, unless no other one is in service.
     */
    fun mayBegin(endpoints: List<TrackedEndpoint>, nowMs: Long): List<TrackedEndpoint> {
        if (!isMixed) return endpoints
        val usable = endpoints.filter { isUsable(it.entry.version, nowMs) }
        return if (usable.any { it.isInService }) usable else endpoints
    }

    private fun isUsable(version: VersionId, nowMs: Long): Boolean =
        states[version]?.let { nowMs >= it.usableFromMs } == true

    /** Removes the versions whose streams have all ended, and returns them. */
    fun takeGone(nowMs: Long): Set<VersionId> {
        val gone = states.filterValues {
            !it.isListed && nowMs - it.lastListedAtMs > StreamOrigins.STREAM_LIFETIME_MS
        }.keys.toSet()
        states -= gone
        return gone
    }

    private companion object {
        /** By then each host in touch has read the list of endpoints, in ms. */
        const val SETTLE_MS = 2_500L
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.model.EndpointId
import cowslipcart.daemon.control.RuntimeClock
import java.util.concurrent.ConcurrentHashMap

/** Tracks when each endpoint last sent bytes to this host, on any connection. */
internal class EndpointActivity(private val clock: RuntimeClock) {
    private val lastBytesAtMs = ConcurrentHashMap<EndpointId, Long>()

    /** Records that [endpoint] has just sent bytes. */
    fun onBytes(endpoint: EndpointId) {
        lastBytesAtMs[endpoint] = clock.nowMs()
    }

    /** Whether [endpoint] sent bytes within the last [ACTIVE_MS]. */
    fun isActive(endpoint: EndpointId): Boolean {
        val atMs = lastBytesAtMs[endpoint] ?: return false
        return clock.nowMs() - atMs < ACTIVE_MS
    }

    private companion object {
        /** Several times the gap between events of a stream, in ms. */
        const val ACTIVE_MS = 500L
    }
}

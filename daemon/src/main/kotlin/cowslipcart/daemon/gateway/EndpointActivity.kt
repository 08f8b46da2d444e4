package cowslipcart.daemon.gateway

import cowslipcart.core.model.EndpointId
import cowslipcart.daemon.control.RuntimeClock
import java.util.concurrent.ConcurrentHashMap

/** Remembers when each endpoint last sent anything to this host. */
internal class EndpointActivity(private val clock: RuntimeClock) {
    private val heardAtMs = ConcurrentHashMap<EndpointId, Long>()

    /** [endpoint] sent bytes now. */
    fun onBytes(endpoint: EndpointId) {
        heardAtMs[endpoint] = clock.nowMs()
    }

    /** Whether [endpoint] sent bytes lately. */
    fun isActive(endpoint: EndpointId): Boolean {
        val atMs = heardAtMs[endpoint] ?: return false
        return clock.nowMs() - atMs < ACTIVE_MS
    }

    private companion object {
        /** Several times the pause between the events of a stream, in ms. */
        const val ACTIVE_MS = 500L
    }
}

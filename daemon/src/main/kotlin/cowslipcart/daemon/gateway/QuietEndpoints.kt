package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.MAX_BACKOFF_MS
import cowslipcart.core.model.EndpointId
import cowslipcart.daemon.control.RuntimeClock
import java.util.concurrent.ConcurrentHashMap

/**
 * Endpoints that want no requests from this host, known on all connections as soon as an answer
 * that says so was read. Control learns of it from the same answer, but has decided on other
 * attempts before, which may still wait for their connection.
 */
internal class QuietEndpoints(private val clock: RuntimeClock) {
    /** One start of an endpoint; the next one knows nothing of what this one said. */
    private data class Start(val id: EndpointId, val startedAtMs: Long)

    private val untilMsByStart = ConcurrentHashMap<Start, Long>()

    /** Takes what an answer of [endpoint] states. */
    fun onAnswer(endpoint: EndpointEntry, request: BackoffRequest) {
        when (request) {
            BackoffRequest.None, is BackoffRequest.Unreadable -> Unit

            is BackoffRequest.For -> {
                val nowMs = clock.nowMs()
                untilMsByStart.values.removeIf { it <= nowMs }
                val untilMs = nowMs + request.durationMs.coerceIn(0, MAX_BACKOFF_MS)
                untilMsByStart.merge(startOf(endpoint), untilMs, ::maxOf)
            }
        }
    }

    /** Whether [endpoint] wants no requests now. */
    operator fun contains(endpoint: EndpointEntry): Boolean =
        untilMsByStart[startOf(endpoint)]?.let { clock.nowMs() < it } ?: false

    private fun startOf(endpoint: EndpointEntry) = Start(endpoint.id, endpoint.startedAtMs)
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.wire.relay.RelayAnswer
import cowslipcart.wire.relay.RelayFrame
import cowslipcart.wire.relay.RelayHandshake
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Relays connections to endpoints for hosts that have lost them. It passes bytes on and decides
 * nothing: limits, attempts and deadlines are those of the host that asks. It connects to endpoints
 * only, so that nothing goes round between hosts.
 *
 * @property entryOf the listed endpoint with an id; null if there is none
 * @property hasEndpoints whether this host reaches the endpoints itself
 * @property onTried told of each try to connect to an endpoint, and whether it worked
 */
internal class EndpointRelay(
    private val clock: RuntimeClock,
    private val metrics: GatewayMetrics,
    private val connections: EndpointConnections,
    private val entryOf: (EndpointId) -> EndpointEntry?,
    private val hasEndpoints: () -> Boolean,
    private val onTried: (EndpointId, Boolean) -> Unit
) {
    /** A relayed connection and when bytes passed last. */
    private class Relayed(val toHost: ServerConnection, val toEndpoint: ServerConnection) {
        @Volatile
        var passedAtMs = 0L
    }

    private val open = ConcurrentHashMap.newKeySet<Relayed>()

    /** Whether new connections are declined, since this host stops. */
    @Volatile
    var isStopping = false

    /** Whether a request may be under way on a relayed connection. */
    val isBusy: Boolean
        get() = clock.nowMs().let { nowMs -> open.any { nowMs - it.passedAtMs < BUSY_MS } }

    /** Serves [toHost], on which another host asks for a connection to [endpoint]. */
    suspend fun relay(toHost: ServerConnection, endpoint: EndpointId) {
        val entry = entryOf(endpoint)
        if (entry == null || isStopping || !hasEndpoints()) return decline(toHost)
        val toEndpoint = connections.connect(entry)
        onTried(entry.id, toEndpoint != null)
        if (toEndpoint == null) {
            metrics.relayedConnections.labelValues("unreachable").inc()
            toHost.send(RelayHandshake.encodeAnswer(RelayAnswer.ENDPOINT_UNREACHABLE))
            return
        }
        try {
            toHost.send(RelayHandshake.encodeAnswer(RelayAnswer.OPEN))
            metrics.relayedConnections.labelValues("open").inc()
            pass(Relayed(toHost, toEndpoint))
        } finally {
            toEndpoint.abort()
        }
    }

    /** Tells the host at the other end that this one relays nothing for it. */
    suspend fun decline(toHost: ServerConnection) {
        metrics.relayedConnections.labelValues("declined").inc()
        toHost.send(RelayHandshake.encodeAnswer(RelayAnswer.DECLINED))
    }

    /** Passes bytes on until one side ends its connection, or nothing passes for long. */
    private suspend fun pass(relayed: Relayed): Unit = coroutineScope {
        relayed.passedAtMs = clock.nowMs()
        open += relayed
        val requests = launch { passRequests(relayed) }
        val idle = launch { abortIdle(relayed) }
        try {
            passAnswers(relayed)
        } finally {
            open -= relayed
            idle.cancelAndJoin()
            requests.cancelAndJoin()
        }
    }

    /** The end of the host's connection ends that to the endpoint, which stops its work then. */
    private suspend fun passRequests(relayed: Relayed) {
        try {
            while (true) {
                val piece = relayed.toHost.source.readSome(MAX_PIECE_BYTES) ?: break
                relayed.passedAtMs = clock.nowMs()
                relayed.toEndpoint.send(piece)
            }
        } catch (_: IOException) {
            // Either side was lost; the other one learns it by the abort.
        }
        relayed.toEndpoint.abort()
    }

    private suspend fun passAnswers(relayed: Relayed) {
        val end = try {
            while (true) {
                val piece = relayed.toEndpoint.source.readSome(MAX_PIECE_BYTES) ?: break
                relayed.passedAtMs = clock.nowMs()
                relayed.toHost.send(RelayFrame.encode(piece))
            }
            RelayFrame.encodeEnd()
        } catch (_: IOException) {
            RelayFrame.encodeLost()
        }
        relayed.toHost.send(end)
    }

    /** Ends a connection whose host is gone without a sign. */
    private suspend fun abortIdle(relayed: Relayed) {
        while (clock.nowMs() - relayed.passedAtMs < MAX_IDLE_MS) delay(IDLE_CHECK_MS)
        relayed.toHost.abort()
        relayed.toEndpoint.abort()
    }

    private companion object {
        const val MAX_PIECE_BYTES = RelayFrame.MAX_BYTES.toLong()

        /** Longer than an endpoint takes to its first event or between two, mostly, in ms. */
        const val BUSY_MS = 1_500L

        /** Longer than the deadlines of callers, and than connections are kept idle, in ms. */
        const val MAX_IDLE_MS = 45_000L
        const val IDLE_CHECK_MS = 5_000L
    }
}

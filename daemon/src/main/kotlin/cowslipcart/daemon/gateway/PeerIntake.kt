package cowslipcart.daemon.gateway

import cowslipcart.core.store.StoreUpdate
import cowslipcart.wire.relay.ConfigurationExchange
import cowslipcart.wire.relay.PeerRequest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Serves the connections that other hosts make to this one.
 *
 * @property held the configuration that this host holds; null if there is none
 */
internal class PeerIntake(
    private val selector: SelectorManager,
    private val metrics: GatewayMetrics,
    private val relay: EndpointRelay,
    private val held: () -> StoreUpdate.Configuration?
) {
    private val count = AtomicInteger()

    /** Serves [socket] until it ends. */
    suspend fun serve(socket: Socket) {
        val toHost = ServerConnection(socket, selector)
        try {
            if (count.incrementAndGet() > MAX_CONNECTIONS) relay.decline(toHost) else answer(toHost)
        } catch (_: IOException) {
            metrics.relayedConnections.labelValues("host-lost").inc()
        } finally {
            count.decrementAndGet()
            toHost.close()
        }
    }

    private suspend fun answer(toHost: ServerConnection) {
        val line = withTimeoutOrNull(REQUEST_TIMEOUT_MS) { toHost.source.readLine() }
        when (val request = line?.let { PeerRequest.decode(it) }) {
            is PeerRequest.Relay -> relay.relay(toHost, request.endpoint)

            PeerRequest.Configuration -> {
                metrics.askedConfigurations.labelValues("told").inc()
                toHost.send(ConfigurationExchange.encodeAnswer(held()))
            }

            null -> relay.decline(toHost)
        }
    }

    private companion object {
        /** With two buffers of 4 KB and two of 8 KB each, 3 MB at most. */
        const val MAX_CONNECTIONS = 128

        const val REQUEST_TIMEOUT_MS = 1_000L
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.wire.relay.RelayAnswer
import cowslipcart.wire.relay.RelayHandshake
import io.ktor.network.selector.SelectorManager
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Connects to endpoints through other hosts.
 *
 * @property addressOf address of a host for traffic between hosts; null if it is not known
 */
internal class RelayClient(
    private val selector: SelectorManager,
    private val addressOf: (HostId) -> SocketAddressSetting?
) {
    /**
     * Returns a connection to [endpoint] that [relay] relays, or null if the endpoint can't be
     * connected to from there. Throws a [RelayLostException] if [relay] does not relay.
     */
    suspend fun connect(relay: HostId, endpoint: EndpointId): ServerConnection? {
        val address = addressOf(relay) ?: throw RelayLostException("no address")
        val connection = try {
            selector.connectTo(address.ip, address.port, CONNECT_TIMEOUT_MS)
        } catch (e: IOException) {
            throw RelayLostException("not connected: ${e.message}")
        } ?: throw RelayLostException("not connected")
        var isOpen = false
        try {
            isOpen = ask(connection, endpoint)
            return if (isOpen) connection.relayedBy(relay) else null
        } catch (e: RelayLostException) {
            throw e
        } catch (e: IOException) {
            throw RelayLostException("no answer: ${e.message}")
        } finally {
            if (!isOpen) connection.abort()
        }
    }

    /** Returns whether the host at the other end has connected to [endpoint]. */
    private suspend fun ask(connection: ServerConnection, endpoint: EndpointId): Boolean {
        connection.send(RelayHandshake.encodeRequest(endpoint))
        val line = withTimeoutOrNull(ANSWER_TIMEOUT_MS) { connection.source.readLine() }
        return when (line?.let { RelayHandshake.decodeAnswer(it) }) {
            RelayAnswer.OPEN -> true
            RelayAnswer.ENDPOINT_UNREACHABLE -> false
            RelayAnswer.DECLINED -> throw RelayLostException("declined")
            null -> throw RelayLostException("no answer")
        }
    }

    private companion object {
        /** As for endpoints: a lost packet is resent after 200 ms. */
        const val CONNECT_TIMEOUT_MS = 350L

        /** Time for the relay to connect to the endpoint, and the way there and back, in ms. */
        const val ANSWER_TIMEOUT_MS = 700L
    }
}

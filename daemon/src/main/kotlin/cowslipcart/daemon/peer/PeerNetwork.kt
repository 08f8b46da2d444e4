package cowslipcart.daemon.peer

import cowslipcart.core.host.HostInput
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.model.HostId
import cowslipcart.daemon.Metrics
import cowslipcart.wire.peer.EnvelopePeerCodec
import cowslipcart.wire.peer.PeerProtocol
import io.ktor.network.selector.SelectorManager
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import org.slf4j.LoggerFactory

/** Sends messages to other hosts; the first message to an address opens its connection. */
internal class PeerNetwork(
    private val self: HostId,
    private val scope: CoroutineScope,
    private val handshake: Handshake,
    private val selector: SelectorManager,
    private val metrics: Metrics,
    private val versions: PeerVersions
) {
    private val log = LoggerFactory.getLogger(PeerNetwork::class.java)

    private class Peer(val connection: PeerConnection, val job: Job)

    private val peers = ConcurrentHashMap<String, Peer>()
    private val addresses = ConcurrentHashMap<HostId, String>()

    /** Queues [message]; never blocks. */
    fun send(to: HostId, address: String, message: PeerMessage) {
        addresses[to] = address
        val peer = checkNotNull(
            peers.compute(address) { _, known ->
                known?.takeIf { it.job.isActive } ?: open(address)
            }
        )
        val frame = PeerProtocol.encode(self, to, message, versions.versionFor(to))
        if (frame.size > EnvelopePeerCodec.MAX_FRAME_BYTES) {
            // The receiver would close the connection, and all frames queued on it would be lost.
            metrics.peerErrors.labelValues("frame-length").inc()
            log.error(
                "message to {} exceeds the frame limit with {} bytes and is not sent",
                to,
                frame.size
            )
            return
        }
        peer.connection.send(frame)
    }

    private fun open(address: String): Peer {
        val connection = PeerConnection(self, address, handshake, selector, metrics)
        return Peer(connection, connection.start(scope))
    }

    /** Closes the connection to a host that was declared dead and forgets its version. */
    fun forget(host: HostId) {
        versions.forget(host)
        val address = addresses.remove(host) ?: return
        peers.remove(address)?.job?.cancel()
    }
}

/** Receives the messages of other hosts. */
internal fun interface PeerInbox {
    fun deliver(input: HostInput.PeerMessageReceived)
}

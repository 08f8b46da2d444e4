package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.HostFigures
import cowslipcart.core.model.HostId
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.wire.figures.FigureCodec
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.readByteArray

/**
 * Sends this host's figures to the others and receives theirs, in datagrams. A lost datagram needs
 * no repair, as each one holds totals.
 */
internal class PeerReports(
    private val self: HostId,
    private val metrics: GatewayMetrics,
    private val journal: DecisionJournal,
    private val deliver: (ForwardingInput) -> Unit
) {
    private val addresses = ConcurrentHashMap<HostId, InetSocketAddress>()
    private val outgoing = Channel<HostFigures>(1, BufferOverflow.DROP_OLDEST)
    private lateinit var socket: BoundDatagramSocket

    /** Queues [figures]; a newer report replaces one that was not sent yet. */
    fun publish(figures: HostFigures) {
        outgoing.trySend(figures)
    }

    /** Takes the addresses that the platform lists. */
    fun onHosts(hosts: Map<HostId, SocketAddressSetting>) {
        for ((host, address) in hosts) {
            if (host != self) addresses[host] = InetSocketAddress(address.ip, address.port)
        }
    }

    suspend fun start(
        scope: CoroutineScope,
        selector: SelectorManager,
        listen: SocketAddressSetting
    ) {
        socket = aSocket(selector).udp().bind(InetSocketAddress(listen.ip, listen.port))
        scope.launch { receive() }
        scope.launch {
            for (figures in outgoing) sendToAll(FigureCodec.encode(figures))
        }
    }

    /** Tells the others that this host stops. */
    suspend fun sendLeaving(figures: HostFigures) = sendToAll(FigureCodec.encodeLeaving(figures))

    private suspend fun sendToAll(bytes: ByteArray) {
        for (address in addresses.values) {
            try {
                socket.send(Datagram(Buffer().apply { write(bytes) }, address))
                metrics.peerReports.labelValues("sent").inc()
            } catch (e: IOException) {
                metrics.peerReports.labelValues("failed").inc()
                journal.event("report-not-sent", "to" to address.toString(), "reason" to e.message)
            }
        }
    }

    private suspend fun receive() {
        while (true) {
            val datagram = try {
                socket.receive()
            } catch (e: IOException) {
                journal.event("report-not-received", "reason" to e.message)
                continue
            }
            FigureCodec.decode(datagram.packet.readByteArray()).fold(
                { error ->
                    metrics.peerReports.labelValues("unreadable").inc()
                    journal.event("report-unreadable", "reason" to error.message)
                },
                { decoded ->
                    metrics.peerReports.labelValues("received").inc()
                    val host = decoded.figures.host
                    (datagram.address as? InetSocketAddress)?.let { addresses[host] = it }
                    deliver(ForwardingInput.PeerReported(decoded.figures))
                    if (decoded.isLeaving) {
                        addresses -= host
                        deliver(ForwardingInput.PeerLeft(host))
                    }
                }
            )
        }
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.HostFigures
import cowslipcart.core.forwarding.ReportPlan
import cowslipcart.core.model.HostId
import cowslipcart.core.store.StoreNews
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.wire.figures.DatagramCodec
import cowslipcart.wire.figures.PeerDatagram
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

/** What another host told this one. */
internal sealed interface PeerMessage {
    /** An input of control. */
    class Input(val input: ForwardingInput) : PeerMessage

    /** What it read of the store. */
    class News(val news: StoreNews) : PeerMessage
}

/**
 * Sends this host's figures and news to the others and receives theirs, in datagrams. A lost
 * datagram needs no repair, as figures are totals and news cover the last seconds.
 */
internal class PeerReports(
    private val self: HostId,
    private val metrics: GatewayMetrics,
    private val journal: DecisionJournal,
    private val deliver: (PeerMessage) -> Unit
) : NewsPublisher {
    private val addresses = ConcurrentHashMap<HostId, InetSocketAddress>()
    private val outgoing = Channel<PeerDatagram>(OUTGOING_CAPACITY, BufferOverflow.DROP_OLDEST)
    private lateinit var socket: BoundDatagramSocket

    @Volatile
    private var plan = ReportPlan.ALONE

    @Volatile
    private var lastFigures: HostFigures? = null

    override val dutyRank: Int get() = plan.dutyRank

    /** Queues [figures], if there are any, to be sent by [plan]; old ones give way to newer. */
    fun publish(figures: HostFigures?, plan: ReportPlan) {
        this.plan = plan
        if (figures == null) return
        lastFigures = figures
        outgoing.trySend(PeerDatagram.Figures(figures, isLeaving = false))
    }

    override fun publish(news: StoreNews) {
        outgoing.trySend(PeerDatagram.News(news))
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
        scope.launch { for (datagram in outgoing) sendToAll(datagram) }
    }

    /** Tells the others that this host stops and has no request any more. */
    suspend fun sendLeaving() {
        val last = lastFigures ?: return
        val figures = last.copy(sequence = last.sequence + 1, loads = emptyMap())
        sendToAll(PeerDatagram.Figures(figures, isLeaving = true))
    }

    private suspend fun sendToAll(datagram: PeerDatagram) {
        val bytes = DatagramCodec.encode(datagram)
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
            DatagramCodec.decode(datagram.packet.readByteArray()).fold(
                { error ->
                    metrics.peerReports.labelValues("unreadable").inc()
                    journal.event("report-unreadable", "reason" to error.message)
                },
                { onReceived(it, datagram.address as? InetSocketAddress) }
            )
        }
    }

    private fun onReceived(message: PeerDatagram, from: InetSocketAddress?) {
        metrics.peerReports.labelValues("received").inc()
        when (message) {
            is PeerDatagram.News -> deliver(PeerMessage.News(message.news))
            is PeerDatagram.Figures -> onFigures(message, from)
        }
    }

    private fun onFigures(message: PeerDatagram.Figures, from: InetSocketAddress?) {
        val host = message.figures.host
        from?.let { addresses[host] = it }
        deliver(PeerMessage.Input(ForwardingInput.PeerReported(message.figures)))
        if (message.isLeaving) {
            addresses -= host
            deliver(PeerMessage.Input(ForwardingInput.PeerLeft(host)))
        }
    }

    private companion object {
        /** Figures and news of both tables that wait to be sent. */
        const val OUTGOING_CAPACITY = 4
    }
}

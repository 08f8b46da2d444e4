package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.HostFigures
import cowslipcart.core.forwarding.ReportPlan
import cowslipcart.core.model.HostId
import cowslipcart.core.store.StoreNews
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.wire.figures.DatagramCodec
import cowslipcart.wire.figures.PeerDatagram
import cowslipcart.wire.figures.RelayedFigures
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
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
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
 * Sends this host's figures and news to its group and receives theirs, in datagrams; a relay also
 * passes figures on between groups. A lost datagram needs no repair, as figures are totals and news
 * cover the last seconds.
 */
internal class PeerReports(
    private val self: HostId,
    private val metrics: GatewayMetrics,
    private val journal: DecisionJournal,
    private val deliver: (PeerMessage) -> Unit
) : NewsPublisher {
    private val addresses = ConcurrentHashMap<HostId, InetSocketAddress>()
    private val outgoing = Channel<PeerDatagram>(OUTGOING_CAPACITY, BufferOverflow.DROP_OLDEST)
    private val relayBuffer = RelayBuffer()
    private lateinit var socket: BoundDatagramSocket

    @Volatile
    private var plan = ReportPlan.ALONE

    @Volatile
    private var lastFigures: HostFigures? = null

    /** Hosts that are known by address, this one included. */
    val hostCount: Int get() = addresses.size + 1

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
        scope.launch { for (datagram in outgoing) sendToGroup(datagram) }
        scope.launch {
            while (isActive) {
                delay(RELAY_INTERVAL_MS)
                relay()
            }
        }
    }

    /** Tells the others that this host stops and has no request any more. */
    suspend fun sendLeaving() {
        val last = lastFigures ?: return
        val figures = last.copy(sequence = last.sequence + 1, loads = emptyMap())
        sendToGroup(PeerDatagram.Figures(figures, isLeaving = true))
        relay()
    }

    private suspend fun sendToGroup(datagram: PeerDatagram) {
        val bytes = DatagramCodec.encode(datagram)
        if (datagram is PeerDatagram.Figures) {
            relayBuffer.onDirect(DatagramCodec.toRelayed(datagram, bytes))
        }
        send(bytes, plan.members)
    }

    /** Passes on what is new, if this host is a relay; otherwise drops it. */
    private suspend fun relay() {
        val ofGroup = relayBuffer.takeOfGroup()
        val ofOthers = relayBuffer.takeOfOthers()
        if (!plan.isRelay) return
        sendBundles(ofGroup, plan.otherRelays)
        sendBundles(ofOthers, plan.members)
    }

    private suspend fun sendBundles(figures: List<RelayedFigures>, hosts: Set<HostId>) {
        for (part in figures.chunked(BUNDLE_FIGURES)) {
            send(DatagramCodec.encode(PeerDatagram.Bundle(part)), hosts)
        }
    }

    private suspend fun send(bytes: ByteArray, hosts: Set<HostId>) {
        for (host in hosts) {
            val address = addresses[host] ?: continue
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
            onReceived(datagram.packet.readByteArray(), datagram.address as? InetSocketAddress)
        }
    }

    private fun onReceived(bytes: ByteArray, from: InetSocketAddress?) {
        DatagramCodec.decode(bytes).fold(
            { error ->
                metrics.peerReports.labelValues("unreadable").inc()
                journal.event("report-unreadable", "reason" to error.message)
            },
            { message ->
                metrics.peerReports.labelValues("received").inc()
                when (message) {
                    is PeerDatagram.News -> deliver(PeerMessage.News(message.news))
                    is PeerDatagram.Figures -> onDirectFigures(message, bytes, from)
                    is PeerDatagram.Bundle -> message.figures.forEach { onRelayedFigures(it) }
                }
            }
        )
    }

    private fun onDirectFigures(
        message: PeerDatagram.Figures,
        bytes: ByteArray,
        from: InetSocketAddress?
    ) {
        from?.let { addresses[message.figures.host] = it }
        relayBuffer.onDirect(DatagramCodec.toRelayed(message, bytes))
        onFigures(message)
    }

    private fun onRelayedFigures(relayed: RelayedFigures) {
        if (relayed.host == self || !relayBuffer.onRelayed(relayed)) return
        when (val message = DatagramCodec.decode(relayed.datagram).getOrNull()) {
            is PeerDatagram.Figures -> onFigures(message)

            is PeerDatagram.Bundle, is PeerDatagram.News, null -> {
                metrics.peerReports.labelValues("unreadable").inc()
                journal.event("report-unreadable", "relayed" to relayed.host.value)
            }
        }
    }

    private fun onFigures(message: PeerDatagram.Figures) {
        val host = message.figures.host
        deliver(PeerMessage.Input(ForwardingInput.PeerReported(message.figures)))
        if (message.isLeaving) deliver(PeerMessage.Input(ForwardingInput.PeerLeft(host)))
    }

    private companion object {
        /** Figures and news of both tables that wait to be sent. */
        const val OUTGOING_CAPACITY = 4

        /** Two relays lie between hosts of different groups, in ms. */
        const val RELAY_INTERVAL_MS = 400L

        /** Figures of one host take about 300 bytes; keeps a bundle below a few kilobytes. */
        const val BUNDLE_FIGURES = 12
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.HostLoadReport
import cowslipcart.core.forwarding.ReportPlan
import cowslipcart.core.forwarding.StreamEffect
import cowslipcart.core.forwarding.StreamKey
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.VersionId
import cowslipcart.core.rollout.RolloutNotice
import cowslipcart.core.store.StoreUpdate
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.catchStepFailure
import cowslipcart.wire.datagram.DatagramCodec
import cowslipcart.wire.datagram.PeerDatagram
import cowslipcart.wire.datagram.RelayedReport
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** Content of a datagram from another host. */
internal sealed interface PeerEvent {
    /** An input of the forwarding controller. */
    class Input(val input: ForwardingInput) : PeerEvent

    /** Load report of a host, which may wait until the next decision. */
    class Report(val report: HostLoadReport) : PeerEvent

    /** What the host at [publisher] read from the store. */
    class StoreRead(val update: StoreUpdate, val publisher: SocketAddressSetting?) : PeerEvent

    /** What the other host knows of an unfinished roll-out. */
    class RolloutNoticed(val notice: RolloutNotice) : PeerEvent
}

/** A datagram that is sent at once; [receivers] gives the hosts when it is sent. */
private class PromptMessage(val datagram: PeerDatagram, val receivers: () -> Set<HostId>)

/**
 * Exchanges load reports and store updates with the other hosts of the group, in datagrams, and
 * forwards the load reports of some hosts of other groups to it. Lost datagrams are not resent,
 * since load reports hold totals and store updates cover the last seconds.
 */
internal class PeerReports(
    private val self: HostId,
    private val metrics: GatewayMetrics,
    private val eventLog: GatewayEventLog,
    private val deliver: (PeerEvent) -> Unit
) : StoreUpdatePublisher {
    private val addresses = ConcurrentHashMap<HostId, InetSocketAddress>()
    private val outgoing = Channel<PeerDatagram>(OUTGOING_CAPACITY, BufferOverflow.DROP_OLDEST)
    private val notices = Channel<RolloutNotice>(OUTGOING_CAPACITY, BufferOverflow.DROP_OLDEST)
    private val promptMessages = Channel<PromptMessage>(PROMPT_CAPACITY, BufferOverflow.DROP_OLDEST)
    private val relayBuffer = RelayBuffer()
    private lateinit var socket: PeerSocket

    @Volatile
    private var plan = ReportPlan.ALONE

    @Volatile
    private var lastReport: HostLoadReport? = null

    @Volatile
    private var isLeaving = false

    /** Number of hosts whose address is known, including this one. */
    val hostCount: Int get() = addresses.size + 1

    override val groupRank: Int get() = plan.groupRank

    /** Address of [host] for traffic between hosts; null if it is not known. */
    fun addressOf(host: HostId): SocketAddressSetting? = addresses[host]?.let { numeric(it) }

    /**
     * Sets [plan] and queues [report], the load report of this host, if not null. The oldest queued
     * datagram is dropped if the queue is full.
     */
    fun publish(report: HostLoadReport?, plan: ReportPlan) {
        this.plan = plan
        if (report == null || isLeaving) return
        lastReport = report
        outgoing.trySend(PeerDatagram.LoadReport(report, isLeaving = false))
    }

    override fun publish(update: StoreUpdate) {
        outgoing.trySend(PeerDatagram.Update(update))
    }

    /** Queues [notice] for all other hosts, of other groups as well; never blocks. */
    fun publish(notice: RolloutNotice) {
        notices.trySend(notice)
    }

    /** Queues [versions] of streams for the hosts of the group; never blocks. */
    fun tell(versions: Map<StreamKey, VersionId>) {
        promptMessages.trySend(PromptMessage(PeerDatagram.StreamsTold(versions)) { plan.members })
    }

    /**
     * Queues the question which version began [stream], for the hosts of the group and one of each
     * other group, as a group tells its hosts of all its streams; never blocks.
     */
    fun ask(stream: StreamKey) {
        promptMessages.trySend(
            PromptMessage(PeerDatagram.StreamAsked(self, stream)) { plan.members + plan.relays }
        )
    }

    /** Queues the answer to a host that asked; never blocks. */
    fun answer(answer: StreamEffect.Answer) {
        val told = PeerDatagram.StreamsTold(mapOf(answer.stream to answer.version))
        promptMessages.trySend(PromptMessage(told) { setOf(answer.host) })
    }

    /** Queues for all hosts that this one can't connect to [endpoints]; never blocks. */
    fun tellLost(endpoints: Set<EndpointId>) {
        val lost = PeerDatagram.EndpointsLost(self, endpoints, isRelayed = false)
        promptMessages.trySend(PromptMessage(lost) { plan.members + plan.relays })
    }

    /** Adds the addresses of [hosts], which the platform lists. */
    fun onHosts(hosts: Map<HostId, SocketAddressSetting>) {
        for ((host, address) in hosts) {
            if (host != self) addresses[host] = InetSocketAddress(address.ip, address.port)
        }
    }

    /** Binds the socket at [listen], and sends and receives until [scope] is cancelled. */
    fun start(scope: CoroutineScope, listen: SocketAddressSetting) {
        socket = PeerSocket(listen, ::onReceived) { logFailure("receive", it) }
        socket.start()
        scope.launch { for (datagram in outgoing) guard("send") { sendToGroup(datagram) } }
        scope.launch { for (notice in notices) guard("send") { sendToAll(notice) } }
        scope.launch {
            for (message in promptMessages) {
                guard("send") { send(DatagramCodec.encode(message.datagram), message.receivers()) }
            }
        }
        scope.launch {
            while (isActive) {
                delay(RELAY_INTERVAL_MS)
                guard("forward") { forwardReports() }
            }
        }
    }

    /** Reports to the other hosts that this one stops and has no requests in flight. */
    fun sendLeaving() {
        isLeaving = true
        val last = lastReport ?: return
        val report = last.copy(sequence = last.sequence + 1, loads = emptyMap())
        repeat(LEAVING_COUNT) { sendToGroup(PeerDatagram.LoadReport(report, isLeaving = true)) }
        forwardReports()
    }

    /** Sends [datagram] to the group, and a load report to its relays in the other groups. */
    private fun sendToGroup(datagram: PeerDatagram) {
        val encoded = DatagramCodec.encode(datagram)
        val isTooLarge = encoded.size > MAX_DATAGRAM_BYTES
        val bytes = if (isTooLarge) DatagramCodec.encode(shortened(datagram)) else encoded
        send(bytes, plan.members)
        if (datagram is PeerDatagram.LoadReport) send(bytes, plan.relays)
    }

    private fun sendToAll(notice: RolloutNotice) =
        send(DatagramCodec.encode(PeerDatagram.Rollout(notice)), addresses.keys)

    /**
     * Leaves out a configuration that is too large for a datagram; the others read it themselves.
     */
    private fun shortened(datagram: PeerDatagram): PeerDatagram {
        val update = (datagram as? PeerDatagram.Update)?.update as? StoreUpdate.Configuration
        return if (update == null) datagram else PeerDatagram.Update(update.copy(record = null))
    }

    /** Forwards the new reports of other groups to this one. */
    private fun forwardReports() {
        val reports = relayBuffer.drain()
            .map { DatagramCodec.toRelayed(it, DatagramCodec.encode(it)) }
        for (part in reports.chunked(MAX_BUNDLE_REPORTS)) {
            send(DatagramCodec.encode(PeerDatagram.Bundle(part)), plan.members)
        }
    }

    private fun send(bytes: ByteArray, hosts: Set<HostId>) {
        for (host in hosts) {
            val address = addresses[host] ?: continue
            try {
                socket.send(bytes, address)
                metrics.peerReports.labelValues("sent").inc()
            } catch (e: IOException) {
                metrics.peerReports.labelValues("failed").inc()
                eventLog.event("report-not-sent", "to" to address.toString(), "reason" to e.message)
            }
        }
    }

    /** Runs [step]; logs its failure and waits a moment, so that the exchange goes on. */
    private suspend fun guard(name: String, step: suspend () -> Unit) {
        val failure = catchStepFailure(step) ?: return
        logFailure(name, failure)
        delay(FAILURE_DELAY_MS)
    }

    private fun logFailure(step: String, failure: Throwable) {
        metrics.peerReports.labelValues("failed").inc()
        eventLog.event("report-failed", "step" to step, "reason" to "$failure")
    }

    private fun onReceived(bytes: ByteArray, from: InetSocketAddress) {
        DatagramCodec.decode(bytes).fold(
            { error ->
                metrics.peerReports.labelValues("unreadable").inc()
                eventLog.event("report-unreadable", "reason" to error.message)
            },
            { message ->
                metrics.peerReports.labelValues("received").inc()
                when (message) {
                    is PeerDatagram.Update ->
                        deliver(PeerEvent.StoreRead(message.update, numeric(from)))

                    is PeerDatagram.LoadReport -> onDirectReport(message, from)

                    is PeerDatagram.Rollout -> deliver(PeerEvent.RolloutNoticed(message.notice))

                    is PeerDatagram.StreamsTold ->
                        deliver(PeerEvent.Input(ForwardingInput.StreamsTold(message.versions)))

                    is PeerDatagram.StreamAsked -> deliver(
                        PeerEvent.Input(ForwardingInput.StreamAsked(message.host, message.stream))
                    )

                    is PeerDatagram.EndpointsLost -> onLost(message)

                    is PeerDatagram.Bundle -> message.reports.forEach { onRelayedReport(it) }
                }
            }
        )
    }

    /** A host of another group reports directly only to its relay, which this host then is. */
    private fun onDirectReport(message: PeerDatagram.LoadReport, from: InetSocketAddress) {
        val host = message.report.host
        addresses[host] = from
        if (plan.relays.isNotEmpty() && host !in plan.members) relayBuffer.add(message)
        onReport(message)
    }

    /** A host of another group tells its relays, which tell their group. */
    private fun onLost(message: PeerDatagram.EndpointsLost) {
        deliver(PeerEvent.Input(ForwardingInput.EndpointsLost(message.host, message.endpoints)))
        if (message.isRelayed || message.host in plan.members || plan.relays.isEmpty()) return
        promptMessages.trySend(PromptMessage(message.copy(isRelayed = true)) { plan.members })
    }

    private fun onRelayedReport(relayed: RelayedReport) {
        if (relayed.host == self) return
        when (val message = DatagramCodec.decode(relayed.encoded).getOrNull()) {
            is PeerDatagram.LoadReport -> onReport(message)

            is PeerDatagram.Bundle,
            is PeerDatagram.EndpointsLost,
            is PeerDatagram.Rollout,
            is PeerDatagram.StreamAsked,
            is PeerDatagram.StreamsTold,
            is PeerDatagram.Update,
            null -> {
                metrics.peerReports.labelValues("unreadable").inc()
                eventLog.event("report-unreadable", "relayed" to relayed.host.value)
            }
        }
    }

    private fun onReport(message: PeerDatagram.LoadReport) {
        val host = message.report.host
        deliver(PeerEvent.Report(message.report))
        if (message.isLeaving) deliver(PeerEvent.Input(ForwardingInput.PeerLeft(host)))
    }

    private companion object {
        /** Load reports and updates of both tables that wait to be sent. */
        const val OUTGOING_CAPACITY = 4

        /**
         * Interval of forwarding, in ms. A host forwards the reports of about seven others to its
         * group of 18, which takes an eighth of a link of 7 Mbit/s at 900 bytes a report.
         */
        const val RELAY_INTERVAL_MS = 1_000L

        /**
         * Datagrams are lost now and then, and a host that left counts as silent until it is gone.
         */
        const val LEAVING_COUNT = 3

        /** What is lost beyond that is asked, or found out, again. */
        const val PROMPT_CAPACITY = 256

        /** A socket that fails at each call may not keep a thread busy, in ms. */
        const val FAILURE_DELAY_MS = 200L

        /** A datagram is lost if any of its packets is, here up to eight. */
        const val MAX_DATAGRAM_BYTES = 11_000

        /** Keeps a bundle below a few kilobytes; the report of one host takes 300 to 900 bytes. */
        const val MAX_BUNDLE_REPORTS = 6
    }
}

/**
 * Returns [address] with its IP address in numbers. Its host name would be looked up, which blocks
 * the thread for seconds where no name service answers.
 */
internal fun numeric(address: InetSocketAddress): SocketAddressSetting? =
    address.address?.let { SocketAddressSetting(it.hostAddress, address.port) }

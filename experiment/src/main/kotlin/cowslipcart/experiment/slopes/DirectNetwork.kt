package cowslipcart.experiment.slopes

import cowslipcart.core.capacity.LoadReport
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigRecord
import cowslipcart.core.host.HostController
import cowslipcart.core.host.HostEffect
import cowslipcart.core.host.HostInput
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.host.createHostController
import cowslipcart.core.membership.HostList
import cowslipcart.core.membership.ListedHost
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.origin.StreamEnd
import cowslipcart.wire.peer.PeerProtocol
import kotlin.random.Random

/**
 * The control state of several hosts, connected without delay: a message is handled as soon as the
 * previous input is done, and endpoints answer each request at once. Counts the processor time and
 * the encoded peer messages of each host.
 */
internal class DirectNetwork(hostCount: Int) {
    private class Delivery(val from: HostId, val to: HostId, val message: PeerMessage)

    private val identities = (0 until hostCount).map { Samples.identity(it) }
    private val controllers: Map<HostId, HostController> = identities.associate {
        it.host to createHostController(it, Random(it.incarnation.value))
    }
    private val deliveries = ArrayDeque<Delivery>()
    val hosts: List<HostId> = identities.map { it.host }
    val cpuUs = HashMap<HostId, Double>()
    val sentBytes = HashMap<HostId, Long>()

    /** Sent bytes of all hosts by simple name of the message type. */
    val bytesByType = sortedMapOf<String, Long>()
    val sentMessages = HashMap<HostId, Long>()
    var answeredCount = 0
        private set
    var nowMs = 0L

    /** Gives all hosts a list of each other. */
    fun join() {
        val list = HostList(
            identities.map { ListedHost(it.host, it.peerAddress, false) },
            emptySet()
        )
        hosts.forEach { input(it, HostInput.HostListRead(list)) }
    }

    /** Delivers [entries] to all hosts as the whole configuration log. */
    fun publish(vararg entries: ConfigEntry) {
        val records = entries.mapIndexed { index, entry ->
            ConfigRecord(LogOffset(index.toLong()), WALL_START_MS, entry)
        }
        val end = LogOffset(entries.size.toLong())
        hosts.forEach { input(it, HostInput.ConfigRead(records, LogOffset(0), end, nowMs)) }
    }

    /** Advances by [durationMs], with a tick of each host every 20 ms. */
    fun advance(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += TICK_MS
            hosts.forEach { input(it, HostInput.Tick(WALL_START_MS + nowMs)) }
        }
    }

    /** Handles [input] on [host] and then all messages that follow from it. */
    fun input(host: HostId, input: HostInput) {
        handle(host, input)
        while (true) {
            val next = deliveries.removeFirstOrNull() ?: return
            handle(next.to, HostInput.PeerMessageReceived(next.from, next.message))
        }
    }

    fun resetCounters() {
        cpuUs.clear()
        sentBytes.clear()
        sentMessages.clear()
        bytesByType.clear()
        answeredCount = 0
    }

    private fun handle(host: HostId, input: HostInput) {
        var effects = emptyList<HostEffect>()
        val elapsedCpuUs = Meter.cpuUs { effects = controllers.getValue(host).handle(input, nowMs) }
        cpuUs.merge(host, elapsedCpuUs, Double::plus)
        effects.forEach { perform(host, it) }
    }

    private fun perform(host: HostId, effect: HostEffect) {
        when (effect) {
            is HostEffect.SendPeer -> {
                if (effect.to !in controllers) return
                val size = PeerProtocol.encode(
                    host,
                    effect.to,
                    effect.message,
                    PeerProtocol.NEWEST_VERSION
                ).size + FRAME_HEADER_BYTES
                sentBytes.merge(host, size.toLong(), Long::plus)
                sentMessages.merge(host, 1, Long::plus)
                bytesByType.merge(effect.message.javaClass.simpleName, size.toLong(), Long::plus)
                deliveries += Delivery(host, effect.to, effect.message)
            }

            is HostEffect.Dispatch -> {
                answeredCount++
                val end = StreamEnd.Completed(Samples.completed(effect.grantId), null)
                handle(host, HostInput.StreamEnded(effect.requestId, end))
            }

            is HostEffect.PollLoad -> effect.endpoints.forEach {
                handle(host, HostInput.LoadRead(LoadReport(it.id, 0, 0, 0, false)))
            }

            else -> Unit
        }
    }

    companion object {
        const val WALL_START_MS = 1_796_000_000_000L
        private const val TICK_MS = 20L
        const val FRAME_HEADER_BYTES = 4
    }
}

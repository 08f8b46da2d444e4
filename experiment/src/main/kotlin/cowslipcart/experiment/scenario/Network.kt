package cowslipcart.experiment.scenario

import cowslipcart.core.model.HostId
import cowslipcart.core.node.PeerMessage
import kotlin.random.Random

/** Connections between hosts. Messages of one pair arrive in order; a cut drops them. */
internal class Network(
    private val time: Timeline,
    private val random: Random,
    private val deliver: (from: HostId, to: HostId, message: PeerMessage) -> Unit
) {
    private val lastArrivalMs = HashMap<Pair<HostId, HostId>, Long>()

    /** Hosts that reach only each other; null without a cut. */
    private var side: Set<HostId>? = null

    /** Least time of a message. */
    var delayMs = DELAY_MS

    fun cut(hosts: Set<HostId>) {
        side = hosts
    }

    fun heal() {
        side = null
    }

    fun send(from: HostId, to: HostId, message: PeerMessage) {
        if (isCut(from, to)) return
        val pair = from to to
        val arrivalMs = maxOf(
            time.nowMs + delayMs + random.nextLong(JITTER_MS),
            lastArrivalMs[pair] ?: 0
        )
        lastArrivalMs[pair] = arrivalMs
        time.after(arrivalMs - time.nowMs) {
            if (!isCut(from, to)) deliver(from, to, message)
        }
    }

    private fun isCut(from: HostId, to: HostId): Boolean =
        side?.let { (from in it) != (to in it) } ?: false

    companion object {
        const val DELAY_MS = 1L
        private const val JITTER_MS = 2L
    }
}

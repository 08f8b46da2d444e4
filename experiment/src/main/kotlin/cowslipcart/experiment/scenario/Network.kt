package cowslipcart.experiment.scenario

import cowslipcart.core.host.PeerMessage
import cowslipcart.core.model.HostId
import kotlin.random.Random

/** Connections between hosts. Messages of a pair arrive in order; a network cut drops them. */
internal class Network(
    private val time: Timeline,
    private val random: Random,
    private val deliver: (from: HostId, to: HostId, message: PeerMessage) -> Unit
) {
    private val lastArrivalMs = HashMap<Pair<HostId, HostId>, Long>()

    /** Hosts on one side of a network cut; null without a cut. */
    private var isolatedHosts: Set<HostId>? = null

    private var countedSecond = 0L
    private var messageCount = 0

    /** Minimum delay of a message in ms; jitter is added. */
    var delayMs = DELAY_MS

    fun cut(hosts: Set<HostId>) {
        isolatedHosts = hosts
    }

    fun heal() {
        isolatedHosts = null
    }

    fun send(from: HostId, to: HostId, message: PeerMessage) {
        if (isCut(from, to)) return
        checkRate(from, to, message)
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

    /** Fails a run in which hosts exchange messages in an endless loop. */
    private fun checkRate(from: HostId, to: HostId, message: PeerMessage) {
        val second = time.nowMs / MS_PER_S
        if (second != countedSecond) messageCount = 0
        countedSecond = second
        messageCount++
        check(messageCount <= MAX_MESSAGES_PER_S) {
            "expected at most $MAX_MESSAGES_PER_S messages in a second, found more; the last is " +
                "$message from $from to $to"
        }
    }

    private fun isCut(from: HostId, to: HostId): Boolean =
        isolatedHosts?.let { (from in it) != (to in it) } ?: false

    companion object {
        const val DELAY_MS = 1L
        private const val JITTER_MS = 2L
        private const val MS_PER_S = 1_000L

        /** Ten times the rate of the histories of this package. */
        private const val MAX_MESSAGES_PER_S = 5_000
    }
}

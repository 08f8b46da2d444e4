package cowslipcart.core.membership

import cowslipcart.core.model.HostId
import kotlin.random.Random

/** A ping of the current round that has not been answered yet. */
internal class Probe(val host: HostId, val sentAtMs: Long) {
    /** Time of the latest ping, retries included. */
    var lastSentAtMs: Long = sentAtMs
}

/** Number of consecutive rounds in which one host did not answer its ping. */
internal class MissedPings(val firstSentAtMs: Long) {
    var count: Int = 0
}

/**
 * Decides which hosts to ping in each round: the next host of a shuffled order, so that each host
 * is reached within a bounded number of rounds, and the hosts that did not answer in the last
 * round.
 */
internal class ProbeSchedule(private val random: Random) {
    private val pingOrder = ArrayDeque<HostId>()
    private val probes = linkedMapOf<HostId, Probe>()
    private val missedPings = linkedMapOf<HostId, MissedPings>()
    private val requestedAddresses = linkedMapOf<HostId, String>()

    /** Requests a ping of [host] at [address] in one of the next rounds. */
    fun requestPing(host: HostId, address: String) {
        requestedAddresses[host] = address
    }

    /**
     * Returns the hosts to ping in this round, each with the requested address, or null to use the
     * known one.
     *
     * @param candidates all hosts that are pinged in turn
     * @param overdue hosts that must be pinged in this round
     */
    fun startRound(
        candidates: Set<HostId>,
        overdue: Set<HostId>,
        nowMs: Long
    ): Map<HostId, String?> {
        pingOrder.removeAll { it !in candidates }
        if (pingOrder.isEmpty()) pingOrder += candidates.shuffled(random)
        val targets = linkedMapOf<HostId, String?>()
        pingOrder.removeFirstOrNull()?.let { targets[it] = null }
        (missedPings.keys + overdue).forEach { targets[it] = null }
        requestedAddresses.entries.take(MAX_REQUESTED_PINGS).forEach { targets[it.key] = it.value }
        requestedAddresses -= targets.keys
        targets.keys.forEach { probes[it] = Probe(it, nowMs) }
        return targets
    }

    /** Returns the hosts to ping again at [nowMs], directly and by other hosts. */
    fun takeRetries(nowMs: Long): List<HostId> = probes.values
        .filter { nowMs - it.lastSentAtMs >= RETRY_AFTER_MS }
        .onEach { it.lastSentAtMs = nowMs }
        .map { it.host }

    /** Ends the round and returns the live hosts that missed pings, with the counts. */
    fun endRound(liveHosts: Set<HostId>): Map<HostId, MissedPings> {
        missedPings.keys.retainAll(liveHosts)
        for (probe in probes.values.filter { it.host in liveHosts }) {
            missedPings.getOrPut(probe.host) { MissedPings(probe.sentAtMs) }.count++
        }
        probes.clear()
        return missedPings.toMap()
    }

    /** Stops the pings in every round of a host that was declared dead. */
    fun onDeath(host: HostId) {
        missedPings -= host
    }

    /** Handles an answer of [host], which ends its probe and its misses. */
    fun onAnswer(host: HostId) {
        probes -= host
        missedPings -= host
        requestedAddresses -= host
    }

    /** Discards all unanswered pings, after this host itself was paused. */
    fun reset() {
        probes.clear()
        missedPings.clear()
    }

    private companion object {
        /**
         * Wait before a ping is retried; an answer takes a few milliseconds. With four pings in a
         * round, two hosts that lose one message in ten do not declare each other dead: that takes
         * 16 losses in a row.
         */
        const val RETRY_AFTER_MS = 300L

        /** At the planned size, a host that starts reaches all 350 others within 11 rounds. */
        const val MAX_REQUESTED_PINGS = 32
    }
}

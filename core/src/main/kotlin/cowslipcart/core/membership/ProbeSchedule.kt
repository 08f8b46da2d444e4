package cowslipcart.core.membership

import cowslipcart.core.model.HostId
import kotlin.random.Random

/** A ping that has not been answered yet. */
internal class Probe(val host: HostId, val sentAtMs: Long) {
    /** Time of the latest ping, the repeated and indirect ones included. */
    var repeatedAtMs: Long = sentAtMs
}

/** Unanswered pings of one host in a row. */
internal class MissStreak(val firstSentAtMs: Long) {
    var missedCount: Int = 0
}

/**
 * Which host is pinged when. Each round takes one host from a shuffled order, so that each host is
 * reached within a bounded number of rounds, and repeats the pings that were not answered.
 */
internal class ProbeSchedule(private val random: Random) {
    private val order = ArrayDeque<HostId>()
    private val probes = linkedMapOf<HostId, Probe>()
    private val streaks = linkedMapOf<HostId, MissStreak>()
    private val unconfirmed = linkedMapOf<HostId, String>()

    /** Asks for a ping of [host] at [address] in the next round. */
    fun confirm(host: HostId, address: String) {
        unconfirmed[host] = address
    }

    /**
     * Returns the hosts to ping in this round, with the address if it is not the known one.
     *
     * @param candidates all hosts that take their turn
     * @param overdue hosts that have to be pinged in this round
     */
    fun startRound(
        candidates: Set<HostId>,
        overdue: Set<HostId>,
        nowMs: Long
    ): Map<HostId, String?> {
        order.removeAll { it !in candidates }
        if (order.isEmpty()) order += candidates.shuffled(random)
        val targets = linkedMapOf<HostId, String?>()
        order.removeFirstOrNull()?.let { targets[it] = null }
        (streaks.keys + overdue).forEach { targets[it] = null }
        unconfirmed.entries.take(MAX_CONFIRMED).forEach { targets[it.key] = it.value }
        unconfirmed -= targets.keys
        targets.keys.forEach { probes[it] = Probe(it, nowMs) }
        return targets
    }

    /** Returns the hosts whose ping has to be repeated at [nowMs], directly and by other hosts. */
    fun takeRepeats(nowMs: Long): List<HostId> = probes.values
        .filter { nowMs - it.repeatedAtMs >= REPEAT_AFTER_MS }
        .onEach { it.repeatedAtMs = nowMs }
        .map { it.host }

    /** Counts the unanswered probes of [liveHosts] in the last round and returns the streaks. */
    fun endRound(liveHosts: Set<HostId>): Map<HostId, MissStreak> {
        streaks.keys.retainAll(liveHosts)
        for (probe in probes.values.filter { it.host in liveHosts }) {
            streaks.getOrPut(probe.host) { MissStreak(probe.sentAtMs) }.missedCount++
        }
        probes.clear()
        return streaks.toMap()
    }

    /** Ends the repeated pings of a host that was declared dead. */
    fun onDeath(host: HostId) {
        streaks -= host
    }

    fun onAnswer(host: HostId) {
        probes -= host
        streaks -= host
        unconfirmed -= host
    }

    /** Forgets what is unanswered, after this host itself did not run for a while. */
    fun restart() {
        probes.clear()
        streaks.clear()
    }

    private companion object {
        /**
         * A direct answer takes a few milliseconds. With four pings in a round, two hosts that lose
         * one message in ten do not take each other for dead: that needs 16 losses in a row.
         */
        const val REPEAT_AFTER_MS = 300L

        /** A host that starts at planned size reaches all 350 others within 11 rounds. */
        const val MAX_CONFIRMED = 32
    }
}

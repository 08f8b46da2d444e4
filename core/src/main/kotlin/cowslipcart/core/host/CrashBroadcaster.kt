package cowslipcart.core.host

import cowslipcart.core.membership.MembershipView
import cowslipcart.core.model.HostId
import cowslipcart.core.quarantine.CrashReport

/** Sends crash reports to all live hosts and waits for their acknowledgements. */
internal class CrashBroadcaster(
    private val self: HostId,
    private val membership: MembershipView,
    private val outbox: Outbox
) {
    private class PendingBroadcast(val unacknowledged: MutableSet<HostId>, val sinceMs: Long)

    private val pending = LinkedHashMap<String, PendingBroadcast>()

    /** Sends [report] to all live hosts; returns true if there is no other host to wait for. */
    fun broadcast(report: CrashReport, nowMs: Long): Boolean {
        val others = membership.liveHosts.keys.filterTo(mutableSetOf()) { it != self }
        if (others.isEmpty()) return true
        pending[report.crashId] = PendingBroadcast(others, nowMs)
        others.forEach { outbox.send(it, PeerMessage.CrashNotice(report)) }
        return false
    }

    /** Takes an acknowledgement; returns whether it was the last one. */
    fun onAck(from: HostId, crashId: String): Boolean {
        val acks = pending[crashId] ?: return false
        acks.unacknowledged.remove(from)
        if (acks.unacknowledged.isNotEmpty()) return false
        pending.remove(crashId)
        return true
    }

    /** Removes and returns the crashes whose wait timed out. */
    fun removeExpired(nowMs: Long): List<String> {
        val expired = pending.filterValues { nowMs - it.sinceMs >= ACK_TIMEOUT_MS }.keys.toList()
        expired.forEach { pending.remove(it) }
        return expired
    }

    private companion object {
        /** Longest time that a caller's answer is delayed until all hosts know about the crash. */
        const val ACK_TIMEOUT_MS = 1_000L
    }
}

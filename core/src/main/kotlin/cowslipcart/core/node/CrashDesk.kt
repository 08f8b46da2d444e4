package cowslipcart.core.node

import cowslipcart.core.membership.MembershipView
import cowslipcart.core.model.HostId
import cowslipcart.core.quarantine.CrashReport

/** Spreads crash reports and waits for the acknowledgements of all live hosts. */
internal class CrashDesk(
    private val self: HostId,
    private val membership: MembershipView,
    private val outbox: Outbox
) {
    private class Spreading(val missing: MutableSet<HostId>, val sinceMs: Long)

    private val spreading = LinkedHashMap<String, Spreading>()

    /** Sends [report] to all hosts; returns whether there is nobody to wait for. */
    fun spread(report: CrashReport, nowMs: Long): Boolean {
        val others = membership.liveHosts.keys.filterTo(mutableSetOf()) { it != self }
        if (others.isEmpty()) return true
        spreading[report.crashId] = Spreading(others, nowMs)
        others.forEach { outbox.send(it, PeerMessage.CrashNotice(report)) }
        return false
    }

    /** Takes an acknowledgement; returns whether it was the last one. */
    fun onAck(from: HostId, crashId: String): Boolean {
        val state = spreading[crashId] ?: return false
        state.missing.remove(from)
        if (state.missing.isNotEmpty()) return false
        spreading.remove(crashId)
        return true
    }

    /** Returns the crashes whose wait is over. */
    fun takeExpired(nowMs: Long): List<String> {
        val expired = spreading.filterValues { nowMs - it.sinceMs >= ACK_TIMEOUT_MS }.keys.toList()
        expired.forEach { spreading.remove(it) }
        return expired
    }

    private companion object {
        /** Longest time that a caller waits for its crash to be known to all hosts. */
        const val ACK_TIMEOUT_MS = 1_000L
    }
}

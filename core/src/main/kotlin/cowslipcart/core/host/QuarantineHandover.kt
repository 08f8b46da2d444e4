package cowslipcart.core.host

import cowslipcart.core.membership.MembershipView
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.quarantine.SuspectRegistry

/**
 * Tells hosts that start which requests are quarantined: reports of crashes reach only the hosts
 * that are live then.
 */
internal class QuarantineHandover(
    private val self: HostId,
    private val membership: MembershipView,
    private val suspects: SuspectRegistry,
    private val outbox: Outbox
) {
    /** The live hosts as of the last check, by host. */
    private val known = mutableMapOf<HostId, IncarnationId>()
    private var checkedAtMs = Long.MIN_VALUE / 2

    /** Reports the quarantines to the hosts that have started since the last check. */
    fun tick(nowMs: Long) {
        if (nowMs - checkedAtMs < CHECK_INTERVAL_MS) return
        checkedAtMs = nowMs
        val live = membership.liveHosts - self
        known.keys.retainAll(live.keys)
        val started = live.filter { (host, identity) -> known[host] != identity.incarnation }
        for ((host, identity) in started) {
            known[host] = identity.incarnation
            for (report in suspects.quarantiningReports.takeLast(MAX_REPORTS)) {
                outbox.send(host, PeerMessage.CrashNotice(report))
            }
        }
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 1_000L

        /** Bounds what a host gets from each other one when it starts. */
        const val MAX_REPORTS = 64
    }
}

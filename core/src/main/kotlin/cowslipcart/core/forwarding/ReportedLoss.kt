package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId

/**
 * What hosts that can't connect to one endpoint have reported. One host may be cut off from it
 * alone, so its report is believed only while no request is known to run there; two are believed
 * unless this host has a request there. A host that reaches the endpoint in spite of reports does
 * not believe the next ones for a while.
 */
internal class ReportedLoss {
    private val reporters = mutableSetOf<HostId>()
    private var untilMs = Long.MIN_VALUE / 2
    private var refutedUntilMs = Long.MIN_VALUE / 2

    /** [host] can't connect, which counts until [untilMs]. Returns whether no report counted. */
    fun onReported(host: HostId, untilMs: Long, nowMs: Long): Boolean {
        if (nowMs < refutedUntilMs) return false
        val isNew = nowMs >= this.untilMs
        if (isNew) reporters.clear()
        if (reporters.size < SUFFICIENT_REPORTERS) reporters += host
        this.untilMs = maxOf(this.untilMs, untilMs)
        return isNew
    }

    /** This host has reached the endpoint. */
    fun onReached(nowMs: Long) {
        if (nowMs >= untilMs + REMEMBERED_MS) return
        refutedUntilMs = nowMs + REFUTED_MS
        untilMs = nowMs
    }

    /** Whether the endpoint is taken for lost; [own] and [total] are the loads there. */
    fun isBelieved(own: HostLoad, total: HostLoad, nowMs: Long): Boolean = nowMs < untilMs &&
        (total.running <= 0 || (reporters.size >= SUFFICIENT_REPORTERS && own.running <= 0))

    private companion object {
        const val SUFFICIENT_REPORTERS = 2

        /** A report is refuted by a connection at most so long after it has expired, in ms. */
        const val REMEMBERED_MS = 1_000L

        /** Hosts that stay cut off report again every 2 s, in ms. */
        const val REFUTED_MS = 5_000L
    }
}

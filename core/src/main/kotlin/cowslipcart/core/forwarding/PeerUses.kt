package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId

/**
 * What the other hosts use of one limit. Each is assumed to go on at the moving average of its
 * reports. While the limit is scarce each is assumed to use at least its equal share, since all
 * hosts take what is refilled as soon as it is there, even if they refused requests before.
 */
internal class PeerUses {
    private val peers = mutableMapOf<HostId, PeerUse>()

    /** Sum of the average rates. */
    private var ratePerS = 0.0

    /** What the peers are assumed to use beyond that while the limit is scarce. */
    private var scarceRatePerS = 0.0

    /** Time that the limit has been scarce. */
    private var scarceS = 0.0

    /** Returns the units that the peers are assumed to use in the next [elapsedS]. */
    fun assumedUnits(elapsedS: Double, isScarce: Boolean): Double {
        if (!isScarce) return ratePerS * elapsedS
        scarceS += elapsedS
        return (ratePerS + scarceRatePerS) * elapsedS
    }

    /**
     * Records that [host] has used [totalUsed] since its start. Returns by how many units more the
     * host was assumed to use since its last report, or 0 if it was silent. A host that returns is
     * assumed to use its equal share, [equalPerS], until reports show its rate.
     */
    fun onReport(host: HostId, totalUsed: Double, equalPerS: Double, nowMs: Long): Double {
        val peer = peers.getOrPut(host) { PeerUse(nowMs) }
        deduct(peer)
        val excess = if (peer.isSilent) {
            0.0
        } else {
            peer.assumedSince(nowMs) -
                peer.usedSince(totalUsed)
        }
        if (peer.isSilent) peer.ratePerS = equalPerS else peer.updateRate(totalUsed, nowMs)
        peer.isSilent = false
        peer.scarceRatePerS = maxOf(0.0, equalPerS - peer.ratePerS)
        peer.totalUsed = totalUsed
        peer.reportedAtMs = nowMs
        peer.scarceAtS = scarceS
        add(peer)
        return excess
    }

    /** [host] restarted, so its total starts from 0 again. */
    fun onRestarted(host: HostId) {
        peers[host]?.totalUsed = 0.0
    }

    /** Nothing is assumed of [host] until it reports again. */
    fun onSilent(host: HostId) {
        val peer = peers[host] ?: return
        deduct(peer)
        peer.ratePerS = 0.0
        peer.scarceRatePerS = 0.0
        peer.isSilent = true
    }

    private fun deduct(peer: PeerUse) {
        ratePerS -= peer.ratePerS
        scarceRatePerS -= peer.scarceRatePerS
    }

    private fun add(peer: PeerUse) {
        ratePerS += peer.ratePerS
        scarceRatePerS += peer.scarceRatePerS
    }

    /** What one host used, by its reports. */
    private inner class PeerUse(var reportedAtMs: Long) {
        var totalUsed = 0.0
        var isSilent = true

        /** Moving average of the rate at which it uses units. */
        var ratePerS = 0.0

        /** What it is assumed to use beyond that while the limit is scarce. */
        var scarceRatePerS = 0.0

        /** Value of [scarceS] at its last report. */
        var scarceAtS = 0.0

        fun usedSince(total: Double): Double = total - totalUsed

        fun assumedSince(nowMs: Long): Double =
            ratePerS * (nowMs - reportedAtMs) / MS_PER_S + scarceRatePerS * (scarceS - scarceAtS)

        fun updateRate(total: Double, nowMs: Long) {
            val elapsedMs = (nowMs - reportedAtMs).toDouble()
            if (elapsedMs <= 0) return
            val samplePerS = maxOf(0.0, usedSince(total)) / elapsedMs * MS_PER_S
            ratePerS += (samplePerS - ratePerS) * elapsedMs / (elapsedMs + RATE_TIME_MS)
        }
    }

    private companion object {
        const val MS_PER_S = 1_000.0

        /** Time constant of the average rates; several intervals between reports, in ms. */
        const val RATE_TIME_MS = 800.0
    }
}

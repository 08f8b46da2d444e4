package cowslipcart.core.rollout

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset

/** Another host's part in a roll-out, by its last notice. */
internal class RolloutPeer(
    val incarnation: IncarnationId,
    val heardAtMs: Long,
    val storedOffset: LogOffset?,
    val earlierRunning: Int
)

/** What this host knows of one order: the record, its own figures and those of the others. */
internal class PoolRollout(
    val order: RolloutOrder,
    private val bounds: RolloutBounds,
    nowMs: Long
) {
    val exposure = RolloutExposure(bounds)
    val evidence = RolloutEvidence()
    val verdict = RolloutVerdict()
    val judge = AnswerJudge()
    val peers = mutableMapOf<HostId, RolloutPeer>()

    /** Time at which the first host saw the order, on this host's clock. */
    var startedAtMs = nowMs
        private set

    /** Newest record of this order; null if none is known. */
    var stored: StoredRollout? = null
        private set

    /** Time as of which [stored] is known to be the newest record. */
    var knownAsOfMs = Long.MIN_VALUE / 2
        private set

    /** Since when this host knows the present step. */
    var stepSinceMs = nowMs
        private set

    /** Why the version is taken for bad; null if it isn't. */
    var stopReason: String? = null
        private set

    /** Part of a request by which the new version is behind its share of the step. */
    private var shareOwed = 0.0

    val step: RolloutStep? get() = stored?.record?.step

    val isFinal: Boolean get() = step?.isFinal == true

    /** Whether the version that is ordered was in service before. */
    val isAlreadyServing: Boolean get() = stored?.record?.let { it.to in it.from } == true

    /** Takes a record of this order; returns whether it is newer than the known one. */
    fun onStored(next: StoredRollout, nowMs: Long): Boolean {
        if (stored?.let { next.offset <= it.offset } == true) return false
        if (step != next.record.step) {
            stepSinceMs = nowMs
            shareOwed = 0.0
        }
        stored = next
        return true
    }

    /** No newer record than the known one existed at [asOfMs]. */
    fun onKnown(asOfMs: Long) {
        knownAsOfMs = maxOf(knownAsOfMs, asOfMs)
    }

    /** The order is at least [ageMs] old. */
    fun onAge(ageMs: Long, nowMs: Long) {
        startedAtMs = minOf(startedAtMs, nowMs - ageMs)
    }

    /**
     * The first record of the order says when it began, by the clock of its writer. Clocks may be
     * wrong, so this ends the observation at most, and never brings the deadline.
     */
    fun onWallStart(startedAtWallMs: Long, wallNowMs: Long, nowMs: Long) {
        val ageMs = wallNowMs - startedAtWallMs
        onAge(ageMs.coerceIn(0, RolloutProgress.observeMs(order.durationMs)), nowMs)
    }

    /** Takes the version for bad; returns whether that is new. */
    fun stop(reason: String): Boolean {
        if (stopReason != null || isFinal || isAlreadyServing) return false
        stopReason = reason
        return true
    }

    private val permitMs: Long
        get() = minOf(PERMIT_MS, bounds.rollbackMs * PERMIT_PART_PERCENT / ALL_PERCENT.toLong())

    /** Whether requests may go to the new version: the record allows it and is recent. */
    fun isPermitted(nowMs: Long): Boolean =
        stopReason == null && stored != null && nowMs - knownAsOfMs < permitMs

    /** Whether the next request is due to the new version in a step with [percent]. */
    fun isShareDue(percent: Int): Boolean = shareOwed + percent / ALL_PERCENT >= 1

    /** A request was sent, to the new version or not, in a step with [percent]. */
    fun onShared(isNew: Boolean, percent: Int) {
        val next = shareOwed + percent / ALL_PERCENT - if (isNew) 1 else 0
        shareOwed = next.coerceIn(-MAX_OWED, MAX_OWED)
    }

    /** Hosts that were heard lately. */
    fun livePeers(nowMs: Long): Map<HostId, RolloutPeer> =
        peers.filterValues { nowMs - it.heardAtMs < LIVE_MS }

    /** Whether no host, of those that took part, has requests at earlier versions. */
    fun isEarlierIdle(ownRunning: Int): Boolean {
        val known = stored?.offset ?: return false
        return ownRunning == 0 && peers.values.all { peer ->
            peer.earlierRunning == 0 && peer.storedOffset?.let { it >= known } == true
        }
    }

    companion object {
        /**
         * Life of a permission, in ms. Shorter than the time until a bad version may get no more;
         * longer than an answer of the store and two notices that are lost.
         */
        const val PERMIT_MS = 4_000L

        /** Several notices of a large number of hosts, in ms. */
        const val LIVE_MS = 5_000L
        private const val ALL_PERCENT = 100.0

        /** A permission is over before the bound on the roll-back, in percent of that. */
        private const val PERMIT_PART_PERCENT = 80
        private const val MAX_OWED = 2.0
    }
}

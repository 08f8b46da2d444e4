package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointSpec
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * What the owner knows of one endpoint: its grants, learned speeds and limits.
 *
 * @property index position in the bit sets of [PrefixIndex]; stable while the endpoint exists
 */
internal class EndpointState(spec: EndpointSpec, val index: Int, nowMs: Long) {
    var spec: EndpointSpec = spec
        private set
    val prefillSpeed: SpeedEstimate = SpeedEstimate(spec.prefillTokensPerS, nowMs)
    val decodeSpeed: SpeedEstimate = SpeedEstimate(spec.decodeTokensPerS, nowMs)
    val running: ArrayList<RunningWork> = ArrayList()
    val history: GrantHistory = GrantHistory()

    /** Whether the configuration lets the endpoint take new work. */
    var isEnabled: Boolean = true

    /** Whether the owner knows the endpoint well enough to give it new work. */
    var isReported: Boolean = true

    /** Whether the endpoint announced in its load report that it leaves. */
    var isLeaving: Boolean = false

    /** Suspect that this endpoint is being emptied for. */
    var emptyingFor: QueuedWork? = null

    /** Whether a queued request of higher priority waits for this endpoint in the current pass. */
    var isClaimed: Boolean = false

    /** Cache events that were missing since the prefix index was last cleared of unconfirmed claims. */
    var missingCacheEvents: Long = 0L

    /** Requests that run at the endpoint without a grant of this owner, from its load reports. */
    var foreignCount: Int = 0
        private set
    private var lastForeignCount = 0
    private var foreignAtMs = 0L

    /** Share of this endpoint in the totals of [EndpointTable], which alone sets these. */
    var countedRate: Double = 0.0
    var isCountedTop: Boolean = false
    var isCountedLower: Boolean = false

    /** Until when the endpoint reads the prompts that it was given. */
    var prefillBusyUntilMs: Double = 0.0

    /** Until when a slot should have been freed again, by the estimate at the last change. */
    var slotDueMs: Double = 0.0
        private set

    var reservedTokens: Long = 0L
        private set
    var remainingOutputTokens: Long = 0L
        private set
    var giveWayCount: Int = 0
        private set
    var giveWayTokens: Long = 0L
        private set
    private var lowerCount = 0
    private var suspectCount = 0
    private var slotLimit = spec.slotCount
    private var lowerSlotLimit = spec.slotCount
    private var budgetLimitTokens = spec.budgetTokens

    val isAvailable: Boolean get() = isEnabled && !isLeaving
    val occupiedCount: Int get() = running.size + foreignCount

    /** Whether the endpoint runs a suspect, beside which nothing may start. */
    val isIsolated: Boolean get() = suspectCount > 0

    // Derived values, computed on each change so that a choice among all endpoints is cheap.

    /** Share of the slots in use. */
    var loadShare: Double = 0.0
        private set

    /** Time to read one prompt token. */
    var msPerPrefillToken: Double = 0.0
        private set

    /** Time between output tokens of one stream. */
    var msPerOutputToken: Double = 0.0
        private set

    /** Time by which an output token comes later than the target between tokens. */
    var lateMsPerOutputToken: Double = 0.0
        private set

    /** Expected time until a slot becomes free, for evenly spread ends of the running streams. */
    var slotWaitMs: Double = 0.0
        private set

    /** Recomputes limits and derived values after a change. */
    fun refresh(tokenGapTargetMs: Double, reservedShare: Double) {
        val pace = paceAgainstTarget(tokenGapTargetMs)
        val scale = min(1.0, 1.0 / pace)
        slotLimit = max(1, (spec.slotCount * scale).toInt())
        budgetLimitTokens = (spec.budgetTokens * scale).toLong()
        val reservedCount = ceil(slotLimit * reservedShare - ROUNDING_SLACK).toInt()
        // A small endpoint keeps one slot for lower tiers unless all slots are reserved.
        val leastLower = if (reservedShare >= 1.0) 0 else 1
        lowerSlotLimit = max(leastLower, slotLimit - reservedCount)
        loadShare = occupiedCount.toDouble() / slotLimit
        msPerPrefillToken = msPerToken(prefillSpeed)
        msPerOutputToken = msPerToken(decodeSpeed)
        lateMsPerOutputToken = msPerOutputToken * (1 - scale)
        val count = max(1, running.size)
        val meanRemainingMs = remainingOutputTokens * msPerOutputToken / count
        slotWaitMs = max(LEAST_SLOT_WAIT_MS, meanRemainingMs * 2 / (count + 1))
    }

    /** Whether any request of this class of tiers could be admitted. */
    fun isOpen(isTop: Boolean): Boolean = isAvailable && isReported && !isClaimed &&
        !isIsolated && emptyingFor == null && hasSlot(isTop, 0)

    /** Whether a request that needs [tokens] can start now. */
    fun admits(isTop: Boolean, tokens: Long, nowMs: Long): Boolean =
        hasRoom(isTop, tokens) && hasReadEnough(isTop, nowMs)

    /** Whether a request that needs [tokens] has a slot and fits in the budget. */
    fun hasRoom(isTop: Boolean, tokens: Long): Boolean = isOpen(isTop) && hasBudget(tokens, 0, 0)

    /** Whether a request could start after [count] running ones with [freedTokens] have ended. */
    fun admitsAfter(isTop: Boolean, tokens: Long, count: Int, freedTokens: Long): Boolean =
        hasSlot(isTop, count) && hasBudget(tokens, count, freedTokens)

    /** Expected time until the endpoint has read the prompts that it was given. */
    fun prefillWaitMs(nowMs: Long): Double = max(0.0, prefillBusyUntilMs - nowMs)

    fun add(work: RunningWork) {
        running += work
        reservedTokens += work.reservedTokens
        remainingOutputTokens += work.remainingTokens
        if (work.request.tier.rank > 0) lowerCount++
        if (work.request.isSuspect) suspectCount++
        history.recordGrant(work.grantedAtMs, work.uncachedTokens)
    }

    fun remove(work: RunningWork, nowMs: Long) {
        running -= work
        reservedTokens -= work.reservedTokens
        remainingOutputTokens -= work.remainingTokens
        if (work.request.tier.rank > 0) lowerCount--
        if (work.request.isSuspect) suspectCount--
        if (work.giveWaySinceMs != null) {
            giveWayCount--
            giveWayTokens -= work.reservedTokens
        }
        history.recordEnd(nowMs)
    }

    fun recordGiveWay(work: RunningWork, nowMs: Long) {
        work.giveWaySinceMs = nowMs
        giveWayCount++
        giveWayTokens += work.reservedTokens
    }

    fun recordProgress(work: RunningWork, sentTokens: Int, nowMs: Long) {
        remainingOutputTokens += work.recordProgress(sentTokens, nowMs)
    }

    /** Records that a slot was taken or freed, from which the next change is estimated. */
    fun recordTurnover(nowMs: Long) {
        slotDueMs = nowMs + slotWaitMs * SLOT_WAIT_TOLERANCE
    }

    /** Takes a foreign count; the less of two reports counts, as one may be off by a delay. */
    fun recordForeign(count: Int, nowMs: Long) {
        foreignCount = min(count, lastForeignCount)
        lastForeignCount = count
        foreignAtMs = nowMs
    }

    /** Forgets foreign load that was not reported again. */
    fun expireForeign(nowMs: Long) {
        if (nowMs - foreignAtMs <= FOREIGN_LIFETIME_MS) return
        foreignCount = 0
        lastForeignCount = 0
    }

    fun redeclare(spec: EndpointSpec) {
        this.spec = spec
        prefillSpeed.redeclare(spec.prefillTokensPerS)
        decodeSpeed.redeclare(spec.decodeTokensPerS)
    }

    // Time between tokens divided by its target. An endpoint that is declared slower than the
    // target is measured against its declaration.
    private fun paceAgainstTarget(tokenGapTargetMs: Double): Double {
        if (spec.decodeTokensPerS <= 0.0) return 1.0
        val expectedPerS = min(spec.decodeTokensPerS, MS_PER_S / tokenGapTargetMs)
        return expectedPerS / decodeSpeed.perS
    }

    /**
     * Whether the prompts that the endpoint was given are nearly read. Engines read prompts first
     * come first served, so one that waits there can no longer be overtaken by more urgent work; it
     * waits at the owner instead.
     */
    fun hasReadEnough(isTop: Boolean, nowMs: Long): Boolean =
        prefillBusyUntilMs - nowMs <= if (isTop) MOST_TOP_BACKLOG_MS else MOST_LOWER_BACKLOG_MS

    private fun hasSlot(isTop: Boolean, freedCount: Int): Boolean =
        occupiedCount - freedCount < slotLimit &&
            (isTop || lowerCount + foreignCount - freedCount < lowerSlotLimit)

    // An empty endpoint takes any request, or one larger than every budget could never run.
    private fun hasBudget(tokens: Long, freedCount: Int, freedTokens: Long): Boolean =
        reservedTokens - freedTokens + tokens <= budgetLimitTokens ||
            occupiedCount - freedCount <= 0

    private fun msPerToken(speed: SpeedEstimate): Double =
        if (speed.perS <= 0.0) 0.0 else MS_PER_S / speed.perS

    private companion object {
        const val MS_PER_S = 1_000.0
        const val FOREIGN_LIFETIME_MS = 5_000L
        const val LEAST_SLOT_WAIT_MS = 20.0

        // Ends come irregularly; a gap of four times the mean is rare for independent streams.
        const val SLOT_WAIT_TOLERANCE = 4.0

        const val MOST_TOP_BACKLOG_MS = 500.0
        const val MOST_LOWER_BACKLOG_MS = 50.0

        // Keeps 0.3 * 10 from being rounded up to 4.
        const val ROUNDING_SLACK = 1e-9
    }
}

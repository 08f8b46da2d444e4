package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointSpec
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Grants, estimated speeds and limits of one endpoint. An `isTop` parameter tells whether the
 * request is of the top tier; lower tiers cannot use the reserved slots.
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

    /** Whether the configuration allows new work on the endpoint. */
    var isEnabled: Boolean = true

    /** Whether the load of the endpoint is known; if not, it gets no new work. */
    var isReported: Boolean = true

    /** Whether the last load report announced that the endpoint is leaving. */
    var isLeaving: Boolean = false

    /** Suspect that the endpoint is being emptied for, or null; see [IsolationRule]. */
    var emptyingFor: QueuedWork? = null

    /** Whether the endpoint is kept for a queued request during the current dispatch. */
    var isEarmarked: Boolean = false

    /** Cache events missed since old entries were last removed; see [PrefixIndexUpdater]. */
    var missingCacheEvents: Long = 0L

    /** Running requests, by the load reports, that have no grant of this owner. */
    var ungrantedCount: Int = 0
        private set
    private var lastUngrantedCount = 0
    private var ungrantedAtMs = 0L

    // What this endpoint contributes to the totals of [EndpointTable], which alone sets these.

    var countedRate: Double = 0.0
    var isCountedTop: Boolean = false
    var isCountedLower: Boolean = false

    /** Estimated time at which the prefill of all granted prompts is finished. */
    var prefillBusyUntilMs: Double = 0.0

    /** Time by which a slot should become free again, estimated at the last [recordTurnover]. */
    var slotDueMs: Double = 0.0
        private set

    var reservedTokens: Long = 0L
        private set
    var remainingOutputTokens: Long = 0L
        private set
    var preemptedCount: Int = 0
        private set
    var preemptedTokens: Long = 0L
        private set
    private var lowerCount = 0
    private var suspectCount = 0
    private var slotLimit = spec.slotCount
    private var lowerSlotLimit = spec.slotCount
    private var budgetLimitTokens = spec.budgetTokens

    val isAvailable: Boolean get() = isEnabled && !isLeaving
    val occupiedCount: Int get() = running.size + ungrantedCount

    /** Whether the endpoint runs a suspect; nothing else may start then. */
    val isIsolated: Boolean get() = suspectCount > 0

    // Derived values, computed on each change to keep the placement over all endpoints cheap.

    /** Occupied slots divided by the slot limit. */
    var loadShare: Double = 0.0
        private set

    /** Prefill time of one prompt token. */
    var msPerPrefillToken: Double = 0.0
        private set

    /** Time between output tokens of one stream. */
    var msPerOutputToken: Double = 0.0
        private set

    /** How much the time between output tokens exceeds its target. */
    var lateMsPerOutputToken: Double = 0.0
        private set

    /** Expected time until a slot becomes free if the running streams end evenly spread. */
    var slotWaitMs: Double = 0.0
        private set

    /** Recomputes limits and derived values after a change. */
    fun refresh(tokenGapTargetMs: Double, reservedShare: Double) {
        val slowdown = slowdownFactor(tokenGapTargetMs)
        val scale = min(1.0, 1.0 / slowdown)
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
        slotWaitMs = max(MIN_SLOT_WAIT_MS, meanRemainingMs * 2 / (count + 1))
    }

    /** Whether the endpoint has a slot and nothing else closes it to such requests. */
    fun isOpen(isTop: Boolean): Boolean = isAvailable && isReported && !isEarmarked &&
        !isIsolated && emptyingFor == null && hasSlot(isTop, 0)

    /** Whether a request that reserves [tokens] can start now. */
    fun admits(isTop: Boolean, tokens: Long, nowMs: Long): Boolean =
        hasRoom(isTop, tokens) && hasShortBacklog(isTop, nowMs)

    /** Whether a request that reserves [tokens] gets a slot and fits in the token budget. */
    fun hasRoom(isTop: Boolean, tokens: Long): Boolean = isOpen(isTop) && hasBudget(tokens, 0, 0)

    /**
     * Whether a request that reserves [tokens] gets a slot and fits in the token budget once
     * [count] running requests that reserve [freedTokens] in total have ended.
     */
    fun admitsAfter(isTop: Boolean, tokens: Long, count: Int, freedTokens: Long): Boolean =
        hasSlot(isTop, count) && hasBudget(tokens, count, freedTokens)

    /** Expected time until the prefill of all granted prompts is finished. */
    fun prefillWaitMs(nowMs: Long): Double = max(0.0, prefillBusyUntilMs - nowMs)

    /** Counts the capacity that [work] takes; [refresh] has to follow. */
    fun add(work: RunningWork) {
        running += work
        reservedTokens += work.reservedTokens
        remainingOutputTokens += work.remainingTokens
        if (work.request.tier.rank > 0) lowerCount++
        if (work.request.isSuspect) suspectCount++
        history.recordGrant(work.grantedAtMs, work.uncachedTokens)
    }

    /** Reverts [add] for ended [work]; [refresh] has to follow. */
    fun remove(work: RunningWork, nowMs: Long) {
        running -= work
        reservedTokens -= work.reservedTokens
        remainingOutputTokens -= work.remainingTokens
        if (work.request.tier.rank > 0) lowerCount--
        if (work.request.isSuspect) suspectCount--
        if (work.preemptedAtMs != null) {
            preemptedCount--
            preemptedTokens -= work.reservedTokens
        }
        history.recordEnd(nowMs)
    }

    /** Counts the capacity that [work] will free, as its origin was told to preempt it. */
    fun recordPreemption(work: RunningWork, nowMs: Long) {
        work.preemptedAtMs = nowMs
        preemptedCount++
        preemptedTokens += work.reservedTokens
    }

    /** Updates the remaining output tokens by a progress report of [work]. */
    fun recordProgress(work: RunningWork, sentTokens: Int, nowMs: Long) {
        remainingOutputTokens += work.recordProgress(sentTokens, nowMs)
    }

    /** Records that a slot was taken or freed, and estimates when the next one becomes free. */
    fun recordTurnover(nowMs: Long) {
        slotDueMs = nowMs + slotWaitMs * SLOT_WAIT_TOLERANCE
    }

    /**
     * Records the number of requests without a grant. The lower of the last two counts is used, as
     * a single one may be wrong because of delays.
     */
    fun recordUngranted(count: Int, nowMs: Long) {
        ungrantedCount = min(count, lastUngrantedCount)
        lastUngrantedCount = count
        ungrantedAtMs = nowMs
    }

    /** Resets [ungrantedCount] when no load report has confirmed it for a while. */
    fun expireUngranted(nowMs: Long) {
        if (nowMs - ungrantedAtMs <= UNGRANTED_LIFETIME_MS) return
        ungrantedCount = 0
        lastUngrantedCount = 0
    }

    /** Applies a changed declaration of the endpoint. */
    fun redeclare(spec: EndpointSpec) {
        this.spec = spec
        prefillSpeed.redeclare(spec.prefillTokensPerS)
        decodeSpeed.redeclare(spec.decodeTokensPerS)
    }

    // Estimated time between tokens divided by its target. An endpoint that is declared slower than
    // the target is compared with its declaration.
    private fun slowdownFactor(tokenGapTargetMs: Double): Double {
        if (spec.decodeTokensPerS <= 0.0) return 1.0
        val expectedPerS = min(spec.decodeTokensPerS, MS_PER_S / tokenGapTargetMs)
        return expectedPerS / decodeSpeed.tokensPerS
    }

    /**
     * Whether the prefill of the granted prompts is nearly finished. Engines process prompts in the
     * order of arrival, so more urgent work cannot overtake a prompt that waits there; requests
     * wait in the queue of the owner instead.
     */
    fun hasShortBacklog(isTop: Boolean, nowMs: Long): Boolean =
        prefillBusyUntilMs - nowMs <= if (isTop) MAX_TOP_BACKLOG_MS else MAX_LOWER_BACKLOG_MS

    private fun hasSlot(isTop: Boolean, freedCount: Int): Boolean =
        occupiedCount - freedCount < slotLimit &&
            (isTop || lowerCount + ungrantedCount - freedCount < lowerSlotLimit)

    // An empty endpoint accepts any request; one larger than every budget could never run
    // otherwise.
    private fun hasBudget(tokens: Long, freedCount: Int, freedTokens: Long): Boolean =
        reservedTokens - freedTokens + tokens <= budgetLimitTokens ||
            occupiedCount - freedCount <= 0

    private fun msPerToken(speed: SpeedEstimate): Double =
        if (speed.tokensPerS <= 0.0) 0.0 else MS_PER_S / speed.tokensPerS

    private companion object {
        const val MS_PER_S = 1_000.0
        const val UNGRANTED_LIFETIME_MS = 5_000L
        const val MIN_SLOT_WAIT_MS = 20.0

        // Streams end irregularly; a gap of four times the mean is rare for independent streams.
        const val SLOT_WAIT_TOLERANCE = 4.0

        const val MAX_TOP_BACKLOG_MS = 500.0
        const val MAX_LOWER_BACKLOG_MS = 50.0

        // Keeps 0.3 * 10 from being rounded up to 4.
        const val ROUNDING_SLACK = 1e-9
    }
}

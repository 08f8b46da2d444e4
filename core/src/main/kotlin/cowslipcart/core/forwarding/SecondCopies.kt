package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.routing.WorkKind

/** Makes the command that sends an attempt, from the values of [CallCommand.Send] in order. */
internal typealias SendCommand = (EndpointEntry, Int, Long, HostId?) -> CallCommand.Send

/** An endpoint for a second copy, and the command that sends it there. */
internal class SecondCopy(val selected: PlacementResult.Found, val command: SendCommand)

/**
 * Decides on a second attempt beside one in flight: for a request whose endpoint is silent, and,
 * within the limit of [HedgeRule], for one that is slow for its kind.
 */
internal class SecondCopies(
    private val known: ForwardingState,
    private val retries: RetryRule,
    private val placement: Placement
) {
    private val hedges = HedgeRule(known.settings.hedgeShare)

    /** Time on the monotonic clock at which a request may become slow. */
    var nextCheckAtMs = Long.MAX_VALUE
        private set

    /** Counts a request that was admitted. */
    fun recordRequest(pool: PoolId) = hedges.recordRequest(pool)

    /** An attempt of [state] was dispatched. */
    fun onDispatched(state: CallState, nowMs: Long) {
        val mayBeCopied = isCopyable(state.call) && state.inFlight.size == 1 && !state.isCopied
        if (!hedges.isEnabled || !mayBeCopied) return
        state.copyDueAtMs = nowMs + hedges.slowAfterMs(state.call)
        nextCheckAtMs = minOf(nextCheckAtMs, state.copyDueAtMs)
    }

    /**
     * The answer of [attempt] has begun. If that is the second copy, the first attempt would have
     * taken longer.
     */
    fun onAnswerBegun(state: CallState, attempt: CurrentAttempt, nowMs: Long) {
        recordTime(state, attempt, nowMs)
        val oldest = state.inFlight.first()
        if (oldest !== attempt && !oldest.hasStarted) recordTime(state, oldest, nowMs)
    }

    /** [attempt] ended without an answer. */
    fun onUnanswered(state: CallState, attempt: CurrentAttempt, nowMs: Long) {
        if (!attempt.hasStarted) recordTime(state, attempt, nowMs)
    }

    private fun recordTime(state: CallState, attempt: CurrentAttempt, nowMs: Long) {
        if (isCopyable(state.call)) hedges.recordTime(state.call, nowMs - attempt.sentAtMs)
    }

    /**
     * Whether a slow request may run at two endpoints at once. A stream may not: it would have to
     * leave an endpoint that is only slow, and might have begun there meanwhile.
     */
    private fun isCopyable(call: ForwardedCall): Boolean = when (call.route.kind) {
        WorkKind.Idempotent -> true
        WorkKind.AtMostOnce, is WorkKind.EventStream -> false
    }

    /** Returns the requests of [calls] that have become slow, and schedules the next look. */
    fun takeSlow(calls: Collection<CallState>, nowMs: Long): List<CallState> {
        if (nowMs < nextCheckAtMs) return emptyList()
        val slow = calls.filter { nowMs >= it.copyDueAtMs }
        for (state in slow) {
            val isWaitingForFirst = state.inFlight.singleOrNull()?.hasStarted == false
            val mayBeCopied = isWaitingForFirst && retries.isAllowed(state, nowMs)
            state.copyDueAtMs = if (mayBeCopied) nowMs + RECHECK_MS else Long.MAX_VALUE
        }
        nextCheckAtMs = calls.minOfOrNull { it.copyDueAtMs } ?: Long.MAX_VALUE
        return slow.filter { it.copyDueAtMs != Long.MAX_VALUE }
    }

    /** Returns where a copy of the slow request [state] goes; null if none is sent now. */
    fun forSlow(state: CallState, nowMs: Long): SecondCopy? {
        val call = state.call
        if (!hedges.hasAllowance(call.pool) || hedges.isMostlySlow(call)) return null
        val inPool = known.endpoints.inPool(call.pool)
        if (freeShare(inPool, nowMs) < MIN_FREE_SHARE) return null
        val slowAfterMs = hedges.slowAfterMs(call)
        val copy = select(state, nowMs) {
            it.endpoint.freeSlots > 0 && it.firstTokenMs < slowAfterMs
        } ?: return null
        hedges.spend(call.pool)
        state.isCopied = true
        state.copyDueAtMs = Long.MAX_VALUE
        return copy
    }

    /**
     * Returns where a request whose endpoint is silent is sent as well; null if no endpoint has a
     * free slot. A silent endpoint may still answer, so its attempt goes on: that of a stream until
     * the other endpoint has accepted the request, that of any other request until one of both is
     * answered.
     */
    fun forStalled(state: CallState, nowMs: Long): SecondCopy? {
        if (state.inFlight.size > 1 || !retries.isAllowed(state, nowMs)) return null
        return select(state, nowMs) { true }
    }

    /** Returns an endpoint that can answer in time, and spends a retry; null if there is none. */
    private fun select(
        state: CallState,
        nowMs: Long,
        isUseful: (PlacementResult.Found) -> Boolean
    ): SecondCopy? {
        val call = state.call
        val command = commandFor(call.route.kind) ?: return null
        if (known.listAge.isOutdated(nowMs)) return null
        val inPool = known.eligibleEndpoints(state, nowMs)
        val topology = known.hostRegistry.topology
        val ownSlots = known.ownSlots(call.pool, nowMs)
        placement.onLoadsChanged()
        val result = placement.choose(call, inPool, state.tried, topology, nowMs, ownSlots)
        val selected = result as? PlacementResult.Found ?: return null
        val isWorthwhile = !selected.endpoint.health.isEjected(nowMs) &&
            selected.firstTokenMs < state.remainingMs(nowMs) && isUseful(selected)
        if (!isWorthwhile || !retries.trySpend(call.pool, nowMs)) return null
        return SecondCopy(selected, command)
    }

    /** Returns the command that sends a second copy of a request of [kind]; null if none may. */
    private fun commandFor(kind: WorkKind): SendCommand? = when (kind) {
        WorkKind.AtMostOnce -> null
        WorkKind.Idempotent -> CallCommand::Hedge
        is WorkKind.EventStream -> if (kind.isResumable) CallCommand::TakeOver else null
    }

    private companion object {
        /** Share of the slots of a pool that must be free, since a copy must not delay others. */
        const val MIN_FREE_SHARE = 0.25

        /** Time after which a slow request that could not be copied is looked at again, in ms. */
        const val RECHECK_MS = 40L
    }
}

package cowslipcart.core.origin

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.limits.RetryBudget
import cowslipcart.core.membership.rendezvousIndex
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import kotlin.random.Random

/** The part of a request's life in which it waits for a grant. */
internal class CapacityPhase(
    private val self: AttemptOrigin,
    private val table: RequestTable,
    private val budget: RetryBudget,
    private val random: Random,
    private val shardCounts: ShardCounts
) {
    fun begin(tracked: TrackedRequest, nowMs: Long): List<OriginEffect> =
        ask(tracked, firstShard(tracked.request), emptySet(), nowMs, nowMs)

    /** Waits again at the same shard after the request gave way. */
    fun beginResume(
        tracked: TrackedRequest,
        shard: ShardId,
        resume: Resume,
        nowMs: Long
    ): CapacityRequest {
        val asks = mapOf(1L to nowMs)
        tracked.state = RequestState.Waiting(shard, 1, asks, emptySet(), nowMs, resume)
        return capacityRequest(tracked, resume, nowMs)
    }

    fun onGranted(tracked: TrackedRequest?, grant: ReceivedGrant, nowMs: Long): List<OriginEffect> {
        val state = tracked?.state
        if (state is RequestState.Dispatched && state.grantId == grant.grantId) return emptyList()
        val isUsable = state is RequestState.Waiting &&
            state.shard == grant.shard &&
            isFresh(state, grant, nowMs) &&
            (state.resume == null || state.resume.endpoint == grant.endpoint)
        if (tracked == null || state !is RequestState.Waiting || !isUsable) {
            return listOf(OriginEffect.SendReleased(grant.shard, unusedReport(grant.grantId)))
        }
        tracked.state = RequestState.Dispatched(
            grant.shard,
            grant.grantId,
            grant.endpoint,
            isInterrupting = false,
            resume = state.resume
        )
        return listOf(
            OriginEffect.Dispatch(
                tracked.request.requestId,
                grant.grantId,
                grant.shard,
                grant.endpoint,
                isResume = state.resume != null
            )
        )
    }

    fun onRefused(
        tracked: TrackedRequest,
        state: RequestState.Waiting,
        reason: RefusalReason,
        retryAfterMs: Long?,
        nowMs: Long
    ): List<OriginEffect> {
        if (state.resume != null) {
            return table.endUnknown(tracked, stoppedForUrgentWork(), nowMs)
        }
        if (reason == RefusalReason.SHARD_FULL || reason == RefusalReason.NO_ENDPOINT) {
            val tried = shardsThatCount(state, nowMs) + state.shard
            val next = nextShard(tracked.request, tried)
            if (next != null) return ask(tracked, next, tried, state.sinceMs, nowMs)
        }
        val detail = when (reason) {
            RefusalReason.SHARD_FULL -> "no capacity"
            RefusalReason.DEADLINE -> "the deadline cannot be met"
            RefusalReason.TIER_STOPPED -> "the preset in force stops this tier"
            RefusalReason.NO_ENDPOINT -> "no endpoint is available"
        }
        return table.endNotRun(tracked, Rejection.NotRun(detail, retryAfterMs), nowMs)
    }

    /** Sends the ask again, to whoever owns the shard now. */
    private fun repeatAsk(
        tracked: TrackedRequest,
        state: RequestState.Waiting,
        nowMs: Long
    ): List<OriginEffect> {
        val askCount = state.askCount + 1
        val recent = state.askSentAtMs.filterValues {
            nowMs - it <= OriginController.MAX_GRANT_AGE_MS
        }
        tracked.state = state.copy(
            askCount = askCount,
            askSentAtMs = recent + (askCount to nowMs),
            askAgainAtMs = null
        )
        val request = capacityRequest(tracked, state.resume, nowMs)
        return listOf(OriginEffect.SendAsk(state.shard, request, askCount))
    }

    fun tick(
        tracked: TrackedRequest,
        state: RequestState.Waiting,
        nowMs: Long
    ): List<OriginEffect> {
        val timeLeftMs = tracked.timeLeftMs(nowMs)
            ?: (state.sinceMs + OriginController.MAX_WAIT_MS - nowMs)
        if (timeLeftMs <= 0) return giveUp(tracked, state, "waited too long for capacity", nowMs)
        val lastSentAtMs = state.askSentAtMs[state.askCount] ?: 0
        val dueAtMs = state.askAgainAtMs ?: (lastSentAtMs + OriginController.REPEAT_INTERVAL_MS)
        return if (nowMs < dueAtMs) emptyList() else repeatAsk(tracked, state, nowMs)
    }

    /**
     * Plans the ask to the new owner of the shard, spread over [OriginController.MAX_JITTER_MS] so
     * that the hosts do not all ask at once. Beyond the retry budget the request ends as not run,
     * except in the top tier, which is not shed while lower tiers run, and except for a stream that
     * has run before.
     */
    fun onOwnerChanged(
        tracked: TrackedRequest,
        state: RequestState.Waiting,
        nowMs: Long
    ): List<OriginEffect> {
        if (state.askAgainAtMs != null) return emptyList()
        val isKept = tracked.request.tier == TOP_TIER || state.resume != null
        if (!budget.trySpend(nowMs) && !isKept) {
            return giveUp(tracked, state, "the retry budget of this host is used up", nowMs)
        }
        val jitterMs = random.nextLong(OriginController.MAX_JITTER_MS + 1)
        tracked.state = state.copy(askAgainAtMs = nowMs + jitterMs)
        return emptyList()
    }

    /** Ends a waiting request and withdraws its ask. */
    fun giveUp(
        tracked: TrackedRequest,
        state: RequestState.Waiting,
        detail: String,
        nowMs: Long
    ): List<OriginEffect> {
        val withdraw = OriginEffect.SendCancelAsk(state.shard, tracked.request.requestId)
        val end = if (state.resume != null) {
            table.endUnknown(tracked, stoppedForUrgentWork(), nowMs)
        } else {
            table.endNotRun(tracked, Rejection.NotRun(detail, RETRY_AFTER_MS), nowMs)
        }
        return end + withdraw
    }

    fun capacityRequest(tracked: TrackedRequest, resume: Resume?, nowMs: Long): CapacityRequest {
        val request = tracked.request
        return CapacityRequest(
            requestId = request.requestId,
            origin = self.host,
            organisation = request.organisation,
            tier = request.tier,
            pool = request.pool,
            timeLeftMs = tracked.timeLeftMs(nowMs),
            prefillTokens = request.prefillTokens,
            outputTokens = (request.outputTokens - (resume?.sentTokens ?: 0)).coerceAtLeast(1),
            prefixBlocks = request.prefixBlocks,
            isSuspect = tracked.isSuspect,
            isInterruptible = request.isInterruptible,
            resumeOn = resume?.endpoint
        )
    }

    private fun ask(
        tracked: TrackedRequest,
        shard: ShardId,
        triedShards: Set<ShardId>,
        sinceMs: Long,
        nowMs: Long
    ): List<OriginEffect> {
        val asks = mapOf(1L to nowMs)
        tracked.state = RequestState.Waiting(
            shard,
            1,
            asks,
            triedShards,
            sinceMs,
            resume = null,
            askedAtMs = nowMs
        )
        return listOf(OriginEffect.SendAsk(shard, capacityRequest(tracked, null, nowMs), 1))
    }

    /**
     * Shards whose earlier refusal still counts. While the request waited in a queue, the others may
     * have got room or work of a lower tier, so they are asked again before it is shed. Refusals
     * that follow one another at once all count, so that a round through full shards ends.
     */
    private fun shardsThatCount(state: RequestState.Waiting, nowMs: Long): Set<ShardId> =
        if (nowMs - state.askedAtMs < STALE_REFUSAL_MS) state.triedShards else emptySet()

    private fun firstShard(request: CallerRequest): ShardId =
        checkNotNull(nextShard(request, emptySet())) {
            "expected a shard of ${request.pool}, found none"
        }

    /**
     * The shard to ask next. Requests with the same [shardKey] ask the shards in the same order, so
     * that they find the same prefix caches.
     */
    private fun nextShard(request: CallerRequest, tried: Set<ShardId>): ShardId? {
        val untried = (0 until shardCounts.shardCountFor(request))
            .filter { ShardId(request.pool, it) !in tried }
        if (untried.isEmpty()) return null
        return ShardId(request.pool, rendezvousIndex(shardKey(request), untried))
    }

    /** The session, else the first prefix block; a short prompt without either is spread. */
    private fun shardKey(request: CallerRequest): String =
        request.session?.let { "${request.organisation}/$it" }
            ?: request.prefixBlocks.firstOrNull()?.value?.toString()
            ?: request.requestId.value

    /** The owner granted after it had received the echoed ask, so the ask's age bounds the grant's. */
    private fun isFresh(state: RequestState.Waiting, grant: ReceivedGrant, nowMs: Long): Boolean {
        val sentAtMs = state.askSentAtMs[grant.echoedAskCount] ?: return false
        return nowMs - sentAtMs <= OriginController.MAX_GRANT_AGE_MS
    }

    private fun stoppedForUrgentWork() = Rejection.OutcomeUnknown(
        "the request was stopped for more urgent work and could not be continued"
    )

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
        const val STALE_REFUSAL_MS = 1_000L
        val TOP_TIER = Tier(0)
    }
}

/** Report for a grant that was not used. */
internal fun unusedReport(grantId: GrantId): GrantReport =
    GrantReport(grantId, GrantEnd.UNUSED, 0, 0, 0, null, 0)

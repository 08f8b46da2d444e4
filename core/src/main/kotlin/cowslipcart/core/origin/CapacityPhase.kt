package cowslipcart.core.origin

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.limits.RetryBudget
import cowslipcart.core.membership.rendezvousIndex
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import kotlin.random.Random

/** Handles requests that wait for a grant of capacity. */
internal class CapacityPhase(
    private val self: ProcessId,
    private val table: RequestTable,
    private val budget: RetryBudget,
    private val random: Random,
    private val shardCounts: ShardCounts
) {
    /** Asks the first shard for capacity. */
    fun begin(tracked: TrackedRequest, nowMs: Long): List<OriginEffect> =
        sendAsk(tracked, firstShard(tracked.request), emptySet(), nowMs, nowMs)

    /**
     * Makes a preempted request wait at the same shard again; returns the request to queue there.
     */
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

    /** Dispatches the request if the grant is usable, else gives the grant back. */
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

    /** Asks the next shard if another one may have capacity, else ends the request. */
    fun onRefused(
        tracked: TrackedRequest,
        state: RequestState.Waiting,
        reason: RefusalReason,
        retryAfterMs: Long?,
        nowMs: Long
    ): List<OriginEffect> {
        if (state.resume != null) {
            return table.endUnknown(tracked, preemptedRejection(), nowMs)
        }
        if (reason == RefusalReason.SHARD_FULL || reason == RefusalReason.NO_ENDPOINT) {
            val excluded = recentlyRefusedBy(state, nowMs) + state.shard
            val next = nextShard(tracked.request, excluded)
            if (next != null) return sendAsk(tracked, next, excluded, state.sinceMs, nowMs)
        }
        val detail = when (reason) {
            RefusalReason.SHARD_FULL -> "no capacity"
            RefusalReason.DEADLINE -> "the deadline cannot be met"
            RefusalReason.TIER_STOPPED -> "the preset in force stops this tier"
            RefusalReason.NO_ENDPOINT -> "no endpoint is available"
        }
        return table.endNotRun(tracked, Rejection.NotRun(detail, retryAfterMs), nowMs)
    }

    /** Sends the ask again, to the current owner of the shard. */
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
            nextAskAtMs = null
        )
        val request = capacityRequest(tracked, state.resume, nowMs)
        return listOf(OriginEffect.SendAsk(state.shard, request, askCount))
    }

    /** Repeats the ask if it is due; ends the request if it waited too long. */
    fun tick(
        tracked: TrackedRequest,
        state: RequestState.Waiting,
        nowMs: Long
    ): List<OriginEffect> {
        val timeLeftMs = tracked.timeLeftMs(nowMs)
            ?: (state.sinceMs + OriginController.MAX_WAIT_MS - nowMs)
        if (timeLeftMs <= 0) return giveUp(tracked, state, "waited too long for capacity", nowMs)
        val lastSentAtMs = state.askSentAtMs[state.askCount] ?: 0
        val dueAtMs = state.nextAskAtMs ?: (lastSentAtMs + OriginController.REPEAT_INTERVAL_MS)
        return if (nowMs < dueAtMs) emptyList() else repeatAsk(tracked, state, nowMs)
    }

    /**
     * Schedules the ask to the new owner of the shard with a jitter of up to
     * [OriginController.MAX_JITTER_MS], so that the hosts do not all ask at once. Beyond the retry
     * budget the request ends as not run. Exempt are the top tier, which is not shed while lower
     * tiers run, and a preempted stream, which has run before.
     */
    fun onOwnerChanged(
        tracked: TrackedRequest,
        state: RequestState.Waiting,
        nowMs: Long
    ): List<OriginEffect> {
        if (state.nextAskAtMs != null) return emptyList()
        val isExempt = tracked.request.tier == TOP_TIER || state.resume != null
        if (!budget.trySpend(nowMs) && !isExempt) {
            return giveUp(tracked, state, "the retry budget of this host is used up", nowMs)
        }
        val jitterMs = random.nextLong(OriginController.MAX_JITTER_MS + 1)
        tracked.state = state.copy(nextAskAtMs = nowMs + jitterMs)
        return emptyList()
    }

    /** Ends a waiting request and cancels its ask. */
    fun giveUp(
        tracked: TrackedRequest,
        state: RequestState.Waiting,
        detail: String,
        nowMs: Long
    ): List<OriginEffect> {
        val cancelAsk = OriginEffect.SendCancelAsk(state.shard, tracked.request.requestId)
        val end = if (state.resume != null) {
            table.endUnknown(tracked, preemptedRejection(), nowMs)
        } else {
            table.endNotRun(tracked, Rejection.NotRun(detail, RETRY_AFTER_MS), nowMs)
        }
        return end + cancelAsk
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

    private fun sendAsk(
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
            firstAskAtMs = nowMs
        )
        return listOf(OriginEffect.SendAsk(shard, capacityRequest(tracked, null, nowMs), 1))
    }

    /**
     * Returns the shards that are not asked again because of an earlier refusal. While the request
     * waited in a queue, the other shards may have got free capacity or work of a lower tier to
     * shed, so they are asked again before this request is shed. Refusals within [STALE_REFUSAL_MS]
     * all count, so that a round through full shards ends.
     */
    private fun recentlyRefusedBy(state: RequestState.Waiting, nowMs: Long): Set<ShardId> =
        if (nowMs - state.firstAskAtMs < STALE_REFUSAL_MS) state.triedShards else emptySet()

    private fun firstShard(request: CallerRequest): ShardId =
        checkNotNull(nextShard(request, emptySet())) {
            "expected a shard of ${request.pool}, found none"
        }

    /**
     * Returns the shard to ask next; null if all are excluded. Requests with the same [shardKey]
     * ask the shards in the same order, so that they find the same prefix caches.
     */
    private fun nextShard(request: CallerRequest, excluded: Set<ShardId>): ShardId? {
        val candidates = (0 until shardCounts.shardCountFor(request))
            .filter { ShardId(request.pool, it) !in excluded }
        if (candidates.isEmpty()) return null
        return ShardId(request.pool, rendezvousIndex(shardKey(request), candidates))
    }

    /**
     * The session, else the first prefix block, else the request id, which spreads short prompts.
     */
    private fun shardKey(request: CallerRequest): String =
        request.session?.let { "${request.organisation}/$it" }
            ?: request.prefixBlocks.firstOrNull()?.value?.toString()
            ?: request.requestId.value

    /**
     * The owner granted after it received the echoed ask, so the age of the ask bounds the grant's.
     */
    private fun isFresh(state: RequestState.Waiting, grant: ReceivedGrant, nowMs: Long): Boolean {
        val sentAtMs = state.askSentAtMs[grant.echoedAskCount] ?: return false
        return nowMs - sentAtMs <= OriginController.MAX_GRANT_AGE_MS
    }

    private fun preemptedRejection() = Rejection.OutcomeUnknown(
        "the request was stopped for more urgent work and could not be continued"
    )

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
        const val STALE_REFUSAL_MS = 1_000L
        val TOP_TIER = Tier(0)
    }
}

/** Returns the report for a grant that was not used. */
internal fun unusedReport(grantId: GrantId): GrantReport =
    GrantReport(grantId, GrantEnd.UNUSED, 0, 0, 0, null, 0)

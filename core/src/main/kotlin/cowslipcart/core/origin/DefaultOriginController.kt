package cowslipcart.core.origin

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.capacity.RunningGrant
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.limits.RetryBudget
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import kotlin.random.Random

internal class DefaultOriginController(self: ProcessId, random: Random, shardCounts: ShardCounts) :
    OriginController {
    private val table = RequestTable()
    private val budget = RetryBudget()
    private val capacity = CapacityPhase(self, table, budget, random, shardCounts)
    private val claims = ClaimPhase(self, table, capacity)
    private val streams = StreamPhase(self, table, budget, capacity)
    private var drainUntilMs: Long? = null

    override val openCount: Int get() = table.open.size

    override fun start(
        request: CallerRequest,
        isSuspect: Boolean,
        nowMs: Long
    ): List<OriginEffect> {
        check(table.find(request.requestId) == null) {
            "expected a new request id, found ${request.requestId} twice"
        }
        val waiting = RequestState.Waiting(
            ShardId(request.pool, 0),
            askCount = 0,
            askSentAtMs = emptyMap(),
            triedShards = emptySet(),
            sinceMs = nowMs,
            resume = null
        )
        val tracked = TrackedRequest(request, isSuspect, nowMs, waiting)
        table.add(tracked)
        budget.recordRequest(nowMs)
        if (drainUntilMs != null) {
            val rejection = Rejection.NotRun("this host is shutting down", RETRY_AFTER_MS)
            return table.endNotRun(tracked, rejection, nowMs)
        }
        val key = request.key ?: return capacity.begin(tracked, nowMs)
        return claims.begin(tracked, key, nowMs)
    }

    override fun onClaimVerdict(
        attempt: AttemptId,
        verdict: ClaimVerdict,
        nowMs: Long
    ): List<OriginEffect> {
        val tracked = table.find(RequestId(attempt.value)) ?: return emptyList()
        return claims.onVerdict(tracked, verdict, nowMs)
    }

    override fun onClaimUndecidable(
        requestId: RequestId,
        detail: String,
        nowMs: Long
    ): List<OriginEffect> {
        val tracked = table.find(requestId) ?: return emptyList()
        if (tracked.state !is RequestState.Claiming) return emptyList()
        return claims.queryKey(tracked, detail, nowMs)
    }

    override fun onOutcome(
        organisation: OrganisationId?,
        queried: RequestId,
        outcome: RequestOutcome,
        nowMs: Long
    ): List<OriginEffect> = table.open.toList().flatMap { tracked ->
        val state = tracked.state
        val isSameOrganisation = tracked.request.organisation == organisation
        if (isSameOrganisation && state is RequestState.QueryingOutcome &&
            state.queried == queried
        ) {
            claims.onOutcome(tracked, state, outcome, nowMs)
        } else {
            emptyList()
        }
    }

    override fun onKeyStatus(
        requestId: RequestId,
        status: KeyStatus,
        nowMs: Long
    ): List<OriginEffect> {
        val tracked = table.find(requestId) ?: return emptyList()
        val state = tracked.state as? RequestState.QueryingKey ?: return emptyList()
        return claims.onKeyStatus(tracked, state, status, nowMs)
    }

    override fun statusOf(key: RequestKey, except: RequestId?): KeyStatus = table.all
        .filter { it.request.key == key && it.request.requestId != except }
        .maxOfOrNull { it.keyStatus }
        ?: KeyStatus.UNSEEN

    override fun onGranted(grant: ReceivedGrant, nowMs: Long): List<OriginEffect> =
        capacity.onGranted(table.find(grant.requestId), grant, nowMs)

    override fun onRefused(
        shard: ShardId,
        requestId: RequestId,
        reason: RefusalReason,
        retryAfterMs: Long?,
        nowMs: Long
    ): List<OriginEffect> {
        val tracked = table.find(requestId) ?: return emptyList()
        val state = tracked.state
        if (state !is RequestState.Waiting || state.shard != shard) return emptyList()
        return capacity.onRefused(tracked, state, reason, retryAfterMs, nowMs)
    }

    override fun onPreempt(requestId: RequestId, grantId: GrantId): List<OriginEffect> =
        table.find(requestId)?.let { streams.onPreempt(it, grantId) }.orEmpty()

    override fun onStreamEnd(
        requestId: RequestId,
        end: StreamEnd,
        nowMs: Long
    ): List<OriginEffect> {
        val tracked = table.find(requestId) ?: return emptyList()
        val state = tracked.state
        if (state !is RequestState.Dispatched || state.grantId != end.report.grantId) {
            return emptyList()
        }
        return streams.onEnd(tracked, state, end, nowMs)
    }

    override fun onCrashAcknowledged(crashId: String, nowMs: Long): List<OriginEffect> =
        table.open.toList().flatMap { tracked ->
            val state = tracked.state
            if (state is RequestState.ReportingCrash && state.crashId == crashId) {
                streams.onCrashAcknowledged(tracked, state.detail, nowMs)
            } else {
                emptyList()
            }
        }

    override fun onCallerDisconnected(requestId: RequestId, nowMs: Long): List<OriginEffect> {
        val tracked = table.find(requestId) ?: return emptyList()
        return when (val state = tracked.state) {
            is RequestState.Claiming -> claims.queryKey(tracked, "the caller left", nowMs)

            is RequestState.QueryingKey -> claims.onKeyStatus(
                tracked,
                state,
                KeyStatus.UNKNOWN,
                nowMs
            )

            is RequestState.QueryingOutcome -> claims.onOutcome(
                tracked,
                state,
                RequestOutcome.Unknown,
                nowMs
            )

            is RequestState.Waiting -> capacity.giveUp(tracked, state, "the caller left", nowMs)

            // A keyed request keeps running, so that its caller gets the answer when it retries.
            is RequestState.Dispatched ->
                if (tracked.request.key == null) {
                    listOf(OriginEffect.CancelStream(requestId))
                } else {
                    emptyList()
                }

            is RequestState.ReportingCrash,
            RequestState.Done,
            RequestState.NotRun,
            RequestState.Unknown
            -> emptyList()
        }
    }

    override fun onOwnerChanged(shard: ShardId, nowMs: Long): List<OriginEffect> {
        val running = table.open.mapNotNull { tracked ->
            val state = tracked.state
            if (state !is RequestState.Dispatched || state.shard != shard) return@mapNotNull null
            val request = capacity.capacityRequest(tracked, state.resume, nowMs)
            RunningGrant(state.grantId, state.endpoint, request, state.resume?.sentTokens ?: 0)
        }
        val rejections = table.open.sortedBy { it.request.tier.rank }.flatMap { tracked ->
            val state = tracked.state
            if (state is RequestState.Waiting && state.shard == shard) {
                capacity.onOwnerChanged(tracked, state, nowMs)
            } else {
                emptyList()
            }
        }
        return listOf(OriginEffect.SendRunning(shard, running)) + rejections
    }

    override fun drain(limitMs: Long, nowMs: Long): List<OriginEffect> {
        if (drainUntilMs == null) drainUntilMs = nowMs + limitMs
        return emptyList()
    }

    override fun outcomeOf(organisation: OrganisationId?, requestId: RequestId): RequestOutcome {
        val tracked = table.find(requestId) ?: return RequestOutcome.Unknown
        if (organisation != null && tracked.request.organisation != organisation) {
            return RequestOutcome.Unknown
        }
        return when (tracked.state) {
            RequestState.Done ->
                table.answers.find(requestId)
                    ?.let { RequestOutcome.Answered(it) }
                    ?: RequestOutcome.Unknown

            RequestState.NotRun -> RequestOutcome.NotRun

            RequestState.Unknown -> RequestOutcome.Unknown

            is RequestState.Claiming,
            is RequestState.QueryingOutcome,
            is RequestState.QueryingKey,
            is RequestState.Waiting,
            is RequestState.Dispatched,
            is RequestState.ReportingCrash
            -> RequestOutcome.Running
        }
    }

    override fun tick(nowMs: Long): List<OriginEffect> {
        table.removeExpired(nowMs)
        return table.open.toList().flatMap { tick(it, nowMs) }
    }

    private fun tick(tracked: TrackedRequest, nowMs: Long): List<OriginEffect> {
        val state = tracked.state
        if (state !is RequestState.Waiting) return claims.tick(tracked, nowMs)
        val drainUntil = drainUntilMs
        if (drainUntil != null && nowMs >= drainUntil) {
            return capacity.giveUp(tracked, state, "this host is shutting down", nowMs)
        }
        return capacity.tick(tracked, state, nowMs)
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}

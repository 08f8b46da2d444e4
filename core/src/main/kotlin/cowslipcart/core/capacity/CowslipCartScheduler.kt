package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import kotlin.random.Random

/**
 * The main policy. Each input updates the shared state; then requests are refused, granted and
 * preempted by the rules for it.
 */
internal class CowslipCartScheduler(config: ShardConfig, random: Random, rebuild: Boolean) :
    ShardScheduler {
    private val state = ShardState(config, rebuild)
    private val placement = Placement(state.endpoints)
    private val preemption = PreemptionRule(state, placement)
    private val isolation = IsolationRule(state, preemption)
    private val issuer = GrantIssuer(state, GrantIds(random))
    private val dispatcher = Dispatcher(state, placement, issuer, isolation)
    private val refusals = RefusalRule(state, placement, isolation)
    private val shed = ShedRule(state, preemption, refusals)
    private val lostGrants = LostGrantRule(state)
    private val prefixUpdater = PrefixIndexUpdater(state.endpoints)
    private var sequence = 0L
    private var lastMaintenanceMs = Long.MIN_VALUE

    override fun submit(request: CapacityRequest, nowMs: Long): List<SchedulerDecision> {
        state.start(nowMs)
        state.recordSeen(request.origin, nowMs)
        val running = state.grants.find(request.requestId)
        if (running != null) {
            if (!lostGrants.wasLost(running, nowMs)) return emptyList()
            end(running, nowMs)
        }
        val refused = enqueue(request, isCharged = false, nowMs)
        if (refused.isNotEmpty()) return refused + decide(nowMs)
        return decide(nowMs) { out -> afterQueued(request.requestId, nowMs, out) }
    }

    override fun cancel(requestId: RequestId, nowMs: Long): List<SchedulerDecision> {
        state.start(nowMs)
        state.queue.find(requestId)?.let(refusals::withdraw)
        return decide(nowMs)
    }

    override fun release(report: GrantReport, nowMs: Long): List<SchedulerDecision> {
        state.start(nowMs)
        val work = state.grants.find(report.grantId) ?: return emptyList()
        state.recordSeen(work.request.origin, nowMs)
        learnFromEnd(work, report, nowMs)
        end(work, nowMs)
        return decide(nowMs)
    }

    override fun onPreempted(
        report: GrantReport,
        resume: CapacityRequest?,
        nowMs: Long
    ): List<SchedulerDecision> {
        state.start(nowMs)
        val work = state.grants.find(report.grantId) ?: return emptyList()
        state.recordSeen(work.request.origin, nowMs)
        learnFromEnd(work, report, nowMs)
        end(work, nowMs)
        if (resume == null) return decide(nowMs)
        val refused = enqueue(resume, isCharged = true, nowMs)
        return decide(nowMs) { out -> out += refused }
    }

    override fun applyProgress(reports: List<GrantProgress>, nowMs: Long): List<SchedulerDecision> {
        state.start(nowMs)
        for (report in reports) {
            val work = state.grants.find(report.grantId) ?: continue
            state.recordSeen(work.request.origin, nowMs)
            LoadCorrection.applyProgress(work, report.sentTokens, nowMs)
            state.endpoints.refresh(work.endpoint)
        }
        return decide(nowMs)
    }

    override fun applyLoadReport(report: LoadReport, nowMs: Long): List<SchedulerDecision> {
        state.start(nowMs)
        val endpoint = state.endpoints.find(report.endpoint) ?: return emptyList()
        val wasAvailable = endpoint.isAvailable
        LoadCorrection.applyLoad(endpoint, report, nowMs)
        state.endpoints.refresh(endpoint)
        return decide(nowMs) { out ->
            if (wasAvailable && !endpoint.isAvailable) onAvailabilityChanged(nowMs, out)
        }
    }

    override fun applyCacheEvents(events: List<CacheEvent>, nowMs: Long) {
        state.start(nowMs)
        prefixUpdater.apply(events, nowMs)
    }

    override fun applyCacheGap(endpoint: EndpointId, gap: CacheGap, nowMs: Long) {
        state.start(nowMs)
        prefixUpdater.apply(endpoint, gap, nowMs)
    }

    override fun adopt(grants: List<RunningGrant>, nowMs: Long): List<SchedulerDecision> {
        state.start(nowMs)
        for (grant in grants) {
            state.recordSeen(grant.request.origin, nowMs)
            if (state.grants.find(grant.grantId) != null) continue
            state.queue.find(grant.request.requestId)?.let(refusals::withdraw)
            issuer.adopt(grant, nowMs)
        }
        return decide(nowMs)
    }

    override fun dropOrigin(origin: HostId, nowMs: Long): List<SchedulerDecision> {
        state.start(nowMs)
        state.forgetOrigin(origin)
        state.queue.filter { it.request.origin == origin }.forEach(refusals::withdraw)
        state.grants.filter { it.request.origin == origin }.forEach { end(it, nowMs) }
        return decide(nowMs)
    }

    override fun reconfigure(config: ShardConfig, nowMs: Long): List<SchedulerDecision> {
        state.start(nowMs)
        state.configure(config, nowMs)
        return decide(nowMs) { out -> onAvailabilityChanged(nowMs, out) }
    }

    override fun tick(nowMs: Long): List<SchedulerDecision> {
        state.start(nowMs)
        if (lastMaintenanceMs == Long.MIN_VALUE ||
            nowMs - lastMaintenanceMs >= MAINTENANCE_INTERVAL_MS
        ) {
            lastMaintenanceMs = nowMs
            runMaintenance(nowMs)
        }
        return decide(nowMs) { out -> preemption.preemptForQueued(nowMs, out) }
    }

    /**
     * Refuses overdue requests, dispatches, and then lets [after] act on the requests still queued.
     */
    private inline fun decide(
        nowMs: Long,
        after: (MutableList<SchedulerDecision>) -> Unit = {}
    ): List<SchedulerDecision> {
        val out = ArrayList<SchedulerDecision>(2)
        refusals.refuseOverdue(nowMs, out)
        dispatcher.dispatch(nowMs, out)
        after(out)
        return out
    }

    /**
     * Queues [request]. A request that replaces a queued one with the same id keeps the time and
     * order of arrival. Returns the refusals if the request cannot run; if it had been queued or
     * running before, they may include requests of lower tiers.
     */
    private fun enqueue(
        request: CapacityRequest,
        isCharged: Boolean,
        nowMs: Long
    ): List<SchedulerDecision> {
        val queued = state.queue.find(request.requestId)
        if (queued != null) state.queue.remove(queued)
        val work = queued ?: QueuedWork(
            request = request,
            sequence = sequence++,
            firstTokenDueMs = nowMs + state.firstTokenTargetMs(request.tier),
            isCharged = isCharged
        )
        work.request = request
        work.outputTokens = state.outputs.estimate(request)
        work.deadlineMs = request.timeLeftMs?.let { nowMs + it } ?: QueuedWork.NO_DEADLINE
        work.nextCheckMs = QueuedWork.NO_DEADLINE
        val reason = refusals.findReason(work, nowMs)
        if (reason != null) {
            isolation.forget(work)
            val out = ArrayList<SchedulerDecision>()
            val hasWaited = queued != null || isCharged
            if (hasWaited && reason == RefusalReason.DEADLINE) refusals.shedBelow(work, out)
            return out + refusals.refusal(work, reason)
        }
        state.queue.add(work)
        return emptyList()
    }

    private fun afterQueued(
        requestId: RequestId,
        nowMs: Long,
        out: MutableList<SchedulerDecision>
    ) {
        val work = state.queue.find(requestId) ?: return
        if (!work.request.isSuspect && state.mayGrant(work.request.tier, nowMs)) {
            val position = state.queue.countThrough(work.request.tier) - 1
            preemption.preemptIfLate(work, position, nowMs, out)
        }
        shed.onQueued(work, nowMs, out)
    }

    private fun onAvailabilityChanged(nowMs: Long, out: MutableList<SchedulerDecision>) {
        refusals.refuseUnplaceable(out)
        dispatcher.dispatch(nowMs, out)
    }

    private fun learnFromEnd(work: RunningWork, report: GrantReport, nowMs: Long) {
        when (report.end) {
            GrantEnd.COMPLETED -> {
                LoadCorrection.applyEnd(work, report, nowMs)
                val organisation = work.request.organisation
                val estimatedTokens = work.request.outputTokens
                if (!work.isAdopted) {
                    state.outputs.observe(organisation, estimatedTokens, report.outputTokens)
                }
            }

            GrantEnd.CANCELLED -> LoadCorrection.applyEnd(work, report, nowMs)

            GrantEnd.UNUSED -> undoPrefill(work)

            GrantEnd.FAILED -> Unit
        }
    }

    /** Reverts the effects of a grant whose prompt was never sent to the endpoint. */
    private fun undoPrefill(work: RunningWork) {
        val endpoint = work.endpoint
        endpoint.prefillBusyUntilMs -= work.uncachedTokens * endpoint.msPerPrefillToken
        val knownBlocks = work.cachedTokens / CapacityRequest.PREFIX_BLOCK_TOKENS
        for (block in work.request.prefixBlocks.drop(knownBlocks)) {
            state.endpoints.prefixes.evict(endpoint.index, block)
        }
    }

    private fun end(work: RunningWork, nowMs: Long) {
        state.grants.remove(work, nowMs)
        if (work.request.isSuspect) isolation.onEnded(work, nowMs)
    }

    private fun runMaintenance(nowMs: Long) {
        for (endpoint in state.endpoints.all) {
            endpoint.prefillSpeed.decay(nowMs)
            endpoint.decodeSpeed.decay(nowMs)
            endpoint.expireUngranted(nowMs)
        }
        prefixUpdater.applyDeferred(nowMs)
        lostGrants.findLost().forEach { end(it, nowMs) }
        state.endpoints.refreshAll()
    }

    private companion object {
        const val MAINTENANCE_INTERVAL_MS = 1_000L
    }
}

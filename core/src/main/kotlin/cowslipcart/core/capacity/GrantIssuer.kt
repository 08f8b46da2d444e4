package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import kotlin.math.max

/** Starts and adopts grants. */
internal class GrantIssuer(private val state: ShardState, private val ids: GrantIds) {
    private var sequence = 0L

    /**
     * Grants [endpoint] to [work], which was removed from its tier's queue.
     *
     * @param uncachedTokens prompt tokens that the endpoint has to read
     */
    fun issue(
        work: QueuedWork,
        endpoint: EndpointState,
        uncachedTokens: Int,
        nowMs: Long
    ): RunningWork {
        val request = work.request
        val waitMs = endpoint.prefillWaitMs(nowMs)
        val readMs = uncachedTokens * endpoint.msPerPrefillToken
        val running = RunningWork(
            grantId = ids.next(),
            request = request,
            endpoint = endpoint,
            sequence = sequence++,
            grantedAtMs = nowMs,
            uncachedTokens = uncachedTokens,
            cachedTokens = request.prefillTokens - uncachedTokens,
            aheadTokens = waitMs * endpoint.prefillSpeed.perS / 1_000,
            outputTokens = work.outputTokens,
            expectedFirstTokenMs = waitMs + readMs,
            isAdopted = false,
            isConfirmed = false
        )
        endpoint.prefillBusyUntilMs = nowMs + waitMs + readMs
        state.grants.add(running)
        if (request.resumeOn == null) {
            state.endpoints.prefixes.touch(endpoint.index, request.prefixBlocks, nowMs)
        }
        return running
    }

    /** Takes over a grant of an earlier owner. */
    fun adopt(grant: RunningGrant, nowMs: Long) {
        val endpoint = state.endpoints.find(grant.endpoint) ?: return
        val outputTokens = max(state.outputs.estimate(grant.request), grant.sentTokens)
        val running = RunningWork(
            grantId = grant.grantId,
            request = grant.request,
            endpoint = endpoint,
            sequence = sequence++,
            grantedAtMs = nowMs,
            uncachedTokens = if (grant.sentTokens > 0) 0 else grant.request.prefillTokens,
            cachedTokens = 0,
            aheadTokens = 0.0,
            outputTokens = outputTokens,
            expectedFirstTokenMs = Double.POSITIVE_INFINITY,
            isAdopted = true,
            isConfirmed = true
        )
        state.grants.add(running)
        endpoint.recordProgress(running, grant.sentTokens, nowMs)
        state.endpoints.refresh(endpoint)
        state.endpoints.prefixes.touch(endpoint.index, grant.request.prefixBlocks, nowMs)
    }

    /** Endpoints and reason of a grant in the form of the log. */
    fun decision(
        running: RunningWork,
        candidates: List<EndpointId>,
        reason: String
    ): SchedulerDecision.Grant = SchedulerDecision.Grant(
        running.request,
        running.grantId,
        running.endpoint.spec.id,
        candidates,
        reason
    )
}

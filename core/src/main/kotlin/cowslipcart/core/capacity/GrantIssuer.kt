package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import kotlin.math.max

/** Issues grants and adopts those of earlier owners. */
internal class GrantIssuer(private val state: ShardState, private val ids: GrantIds) {
    private var sequence = 0L

    /**
     * Grants [endpoint] to [work], which was removed from its tier's queue.
     *
     * @param uncachedTokens prompt tokens that the endpoint does not cache
     */
    fun issue(
        work: QueuedWork,
        endpoint: EndpointState,
        uncachedTokens: Int,
        nowMs: Long
    ): RunningWork {
        val request = work.request
        val waitMs = endpoint.prefillWaitMs(nowMs)
        val prefillMs = uncachedTokens * endpoint.msPerPrefillToken
        val running = RunningWork(
            grantId = ids.next(),
            request = request,
            endpoint = endpoint,
            sequence = sequence++,
            grantedAtMs = nowMs,
            uncachedTokens = uncachedTokens,
            cachedTokens = request.prefillTokens - uncachedTokens,
            aheadTokens = waitMs * endpoint.prefillSpeed.tokensPerS / 1_000,
            outputTokens = work.outputTokens,
            expectedFirstTokenMs = waitMs + prefillMs,
            isAdopted = false,
            isConfirmed = false
        )
        endpoint.prefillBusyUntilMs = nowMs + waitMs + prefillMs
        state.grants.add(running)
        if (request.resumeOn == null) {
            state.endpoints.prefixes.touch(endpoint.index, request.prefixBlocks, nowMs)
        }
        return running
    }

    /** Adopts a running grant that an earlier owner issued; ignores one on an unknown endpoint. */
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

    /**
     * Returns the decision that announces [running].
     *
     * @param candidates endpoints that were considered, best first
     */
    fun grantDecision(
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

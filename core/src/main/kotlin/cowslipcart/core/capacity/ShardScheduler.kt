package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierSpec

/**
 * Scheduler of one shard, run by the host that owns the shard: decides which request runs next and
 * on which endpoint. The host that received a request from its caller is the origin of the request.
 *
 * Every call returns the decisions that it caused, which may concern other requests. `nowMs` is
 * monotonic time in milliseconds and never decreases.
 */
public interface ShardScheduler {
    /**
     * Queues [request]. It replaces a queued request with the same id, and is ignored if a request
     * with this id is running.
     */
    public fun submit(request: CapacityRequest, nowMs: Long): List<SchedulerDecision>

    /** Removes a queued request whose caller disconnected. A running one ends through [release]. */
    public fun cancel(requestId: RequestId, nowMs: Long): List<SchedulerDecision>

    /** Frees the capacity of an ended grant and learns from [report]; ignores an unknown grant. */
    public fun release(report: GrantReport, nowMs: Long): List<SchedulerDecision>

    /**
     * Frees the capacity of a preempted request and queues the request again.
     *
     * @param resume the rest of the request, with `resumeOn` set; null if it cannot continue
     */
    public fun onPreempted(
        report: GrantReport,
        resume: CapacityRequest?,
        nowMs: Long
    ): List<SchedulerDecision>

    /** Updates the estimated speeds and remaining output from running streams. */
    public fun applyProgress(reports: List<GrantProgress>, nowMs: Long): List<SchedulerDecision>

    /** Applies a load report of an endpoint. */
    public fun applyLoadReport(report: LoadReport, nowMs: Long): List<SchedulerDecision>

    /** Applies changes of prefix caches, which arrive late. */
    public fun applyCacheEvents(events: List<CacheEvent>, nowMs: Long)

    /** Records that changes of a prefix cache are missing; call it after [applyCacheEvents]. */
    public fun applyCacheGap(endpoint: EndpointId, gap: CacheGap, nowMs: Long)

    /** Takes over running grants that an earlier owner of the shard issued. */
    public fun adopt(grants: List<RunningGrant>, nowMs: Long): List<SchedulerDecision>

    /** Frees all grants and drops all queued requests of a dead origin. */
    public fun dropOrigin(origin: HostId, nowMs: Long): List<SchedulerDecision>

    /** Applies a changed configuration to new decisions. */
    public fun reconfigure(config: ShardConfig, nowMs: Long): List<SchedulerDecision>

    /** Handles deadlines, unconfirmed grants, the end of the rebuild wait and other timeouts. */
    public fun tick(nowMs: Long): List<SchedulerDecision>
}

/**
 * Configuration of one shard.
 *
 * @property endpoints endpoints of the shard, drained and leaving ones included
 * @property unavailable endpoints that take no new work: drained, leaving or dead
 * @property weights weight of each organisation; 1.0 where absent
 * @property awaitingReport endpoints that get no new work before their next load report; requests
 * wait for them as for full endpoints
 */
public data class ShardConfig(
    public val shard: ShardId,
    public val endpoints: List<EndpointSpec>,
    public val unavailable: Set<EndpointId>,
    public val tiers: Map<Tier, TierSpec>,
    public val preset: PresetSpec?,
    public val weights: Map<OrganisationId, Double>,
    public val awaitingReport: Set<EndpointId> = emptySet()
)

/** Scheduling policy; all except [CowslipCart] are baselines to compare it with. */
public sealed interface SchedulerPolicy {
    /** Endpoints in turn, no queue. */
    public data object RoundRobin : SchedulerPolicy

    /** The endpoint with the least load in its last report, no queue. */
    public data object LeastReportedLoad : SchedulerPolicy

    /** The less loaded of two random endpoints, no queue. */
    public data object TwoRandomChoices : SchedulerPolicy

    /** Tiered fair queue, prefix-aware placement and preemption; see [CowslipCartScheduler]. */
    public data object CowslipCart : SchedulerPolicy
}

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
 * Owner side of one shard: decides which request runs next and on which endpoint. Every call
 * returns the decisions that it caused, also about other requests. `nowMs` is monotonic time in
 * milliseconds and never decreases.
 */
public interface ShardScheduler {
    /** Queues [request]. A repeated request id replaces the queued one; a running one is ignored. */
    public fun submit(request: CapacityRequest, nowMs: Long): List<SchedulerDecision>

    /** Removes a queued request whose caller left. A running request ends through [release]. */
    public fun cancel(requestId: RequestId, nowMs: Long): List<SchedulerDecision>

    /** Frees the capacity of a grant and learns from the report. An unknown grant is ignored. */
    public fun release(report: GrantReport, nowMs: Long): List<SchedulerDecision>

    /**
     * Frees the capacity of a request that gave way and queues it again.
     *
     * @param resume the request as it continues, with `resumeOn` set; null if it cannot continue
     */
    public fun gaveWay(
        report: GrantReport,
        resume: CapacityRequest?,
        nowMs: Long
    ): List<SchedulerDecision>

    /** Learns speeds from running streams. */
    public fun progress(reports: List<GrantProgress>, nowMs: Long): List<SchedulerDecision>

    /** Takes a load report. */
    public fun reportLoad(report: LoadReport, nowMs: Long): List<SchedulerDecision>

    /** Takes late changes of prefix caches. */
    public fun reportCache(events: List<CacheEvent>, nowMs: Long)

    /** Takes that changes of a prefix cache are not known; call it after [reportCache]. */
    public fun reportCacheGap(endpoint: EndpointId, gap: CacheGap, nowMs: Long)

    /** Adopts grants of an earlier owner that are still running. */
    public fun adopt(running: List<RunningGrant>, nowMs: Long): List<SchedulerDecision>

    /** Frees all grants and drops all queued requests of an origin that is dead. */
    public fun dropOrigin(origin: HostId, nowMs: Long): List<SchedulerDecision>

    /** Puts a changed configuration in force for new decisions. */
    public fun reconfigure(config: ShardConfig, nowMs: Long): List<SchedulerDecision>

    /** Acts on what is due by time: deadlines, unused grants, end of the rebuild wait. */
    public fun tick(nowMs: Long): List<SchedulerDecision>
}

/**
 * Configuration of one shard.
 *
 * @property endpoints endpoints of the shard, drained and leaving ones included
 * @property unavailable endpoints that take no new work: drained, leaving or dead
 * @property weights weight of each organisation; 1.0 where absent
 * @property unreported endpoints that get no new work before their next load report; requests wait
 * for them as for full ones
 */
public data class ShardConfig(
    public val shard: ShardId,
    public val endpoints: List<EndpointSpec>,
    public val unavailable: Set<EndpointId>,
    public val tiers: Map<Tier, TierSpec>,
    public val preset: PresetSpec?,
    public val weights: Map<OrganisationId, Double>,
    public val unreported: Set<EndpointId> = emptySet()
)

/** Policy of a [ShardScheduler]; all but [CowslipCart] are baselines for measurements. */
public sealed interface SchedulerPolicy {
    /** Endpoints in turn, no queue. */
    public data object RoundRobin : SchedulerPolicy

    /** The endpoint with the least load in its last report, no queue. */
    public data object LeastReportedLoad : SchedulerPolicy

    /** The less loaded of two random endpoints, no queue. */
    public data object TwoRandomChoices : SchedulerPolicy

    /** The policy of this project. */
    public data object CowslipCart : SchedulerPolicy
}

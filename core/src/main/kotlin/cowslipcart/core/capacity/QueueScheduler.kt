package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import kotlin.random.Random

/**
 * First version of the main policy: a queue by tier and arrival, slots of each endpoint, and the
 * endpoint with the smallest share of its slots in use.
 */
internal class QueueScheduler(
    private var config: ShardConfig,
    random: Random,
    private val rebuild: Boolean
) : ShardScheduler {
    private val grantIds = GrantIds(random)
    private val queued = LinkedHashMap<RequestId, Queued>()
    private val running = LinkedHashMap<GrantId, Running>()
    private val leaving = HashSet<EndpointId>()
    private var firstCallMs: Long? = null

    override fun submit(request: CapacityRequest, nowMs: Long): List<SchedulerDecision> {
        if (running.values.any { it.request.requestId == request.requestId }) return emptyList()
        queued[request.requestId] = Queued(request, request.timeLeftMs?.let { nowMs + it })
        return tick(nowMs)
    }

    override fun cancel(requestId: RequestId, nowMs: Long): List<SchedulerDecision> {
        queued.remove(requestId)
        return tick(nowMs)
    }

    override fun release(report: GrantReport, nowMs: Long): List<SchedulerDecision> {
        running.remove(report.grantId)
        return tick(nowMs)
    }

    override fun gaveWay(
        report: GrantReport,
        resume: CapacityRequest?,
        nowMs: Long
    ): List<SchedulerDecision> {
        running.remove(report.grantId)
        return resume?.let { submit(it, nowMs) } ?: tick(nowMs)
    }

    override fun progress(reports: List<GrantProgress>, nowMs: Long): List<SchedulerDecision> =
        emptyList()

    override fun reportLoad(report: LoadReport, nowMs: Long): List<SchedulerDecision> {
        if (report.isLeaving) leaving += report.endpoint else leaving -= report.endpoint
        return tick(nowMs)
    }

    override fun reportCache(events: List<CacheEvent>, nowMs: Long): Unit = Unit

    override fun adopt(running: List<RunningGrant>, nowMs: Long): List<SchedulerDecision> {
        for (grant in running) {
            queued.remove(grant.request.requestId)
            this.running[grant.grantId] = Running(grant.request, grant.endpoint)
        }
        return tick(nowMs)
    }

    override fun dropOrigin(origin: HostId, nowMs: Long): List<SchedulerDecision> {
        queued.values.removeIf { it.request.origin == origin }
        running.values.removeIf { it.request.origin == origin }
        return tick(nowMs)
    }

    override fun reconfigure(config: ShardConfig, nowMs: Long): List<SchedulerDecision> {
        this.config = config
        return tick(nowMs)
    }

    override fun tick(nowMs: Long): List<SchedulerDecision> {
        val startMs = firstCallMs ?: nowMs.also { firstCallMs = it }
        val isRebuilding = rebuild && nowMs - startMs < 1_000
        val decisions = ArrayList<SchedulerDecision>()
        for (entry in queued.values.sortedBy { it.request.tier }) {
            if (entry.deadlineMs != null && entry.deadlineMs <= nowMs) {
                decisions += SchedulerDecision.Refuse(entry.request, RefusalReason.DEADLINE, null)
                queued.remove(entry.request.requestId)
            } else if (!isRebuilding || entry.request.tier.rank == 0) {
                grant(entry.request)?.let { decisions += it }
            }
        }
        return decisions
    }

    private fun grant(request: CapacityRequest): SchedulerDecision? {
        val used = running.values.groupingBy { it.endpoint }.eachCount()
        val endpoint = config.endpoints
            .filter { it.id !in config.unavailable && it.id !in leaving }
            .filter { request.resumeOn == null || it.id == request.resumeOn }
            .filter { (used[it.id] ?: 0) < it.slotCount }
            .minByOrNull { (used[it.id] ?: 0).toDouble() / it.slotCount } ?: return null
        val grantId = grantIds.next()
        queued.remove(request.requestId)
        running[grantId] = Running(request, endpoint.id)
        val candidates = listOf(endpoint.id)
        return SchedulerDecision.Grant(request, grantId, endpoint.id, candidates, "least-slots")
    }

    private class Queued(val request: CapacityRequest, val deadlineMs: Long?)

    private class Running(val request: CapacityRequest, val endpoint: EndpointId)
}

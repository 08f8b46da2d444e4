package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import kotlin.random.Random

/**
 * Scheduler without a queue, to compare the main policy with. It grants every request at once,
 * since endpoints accept whatever they are sent. Baselines differ only in the choice of the
 * endpoint.
 */
internal class BaselineScheduler(
    config: ShardConfig,
    random: Random,
    private val choice: BaselineChoice
) : ShardScheduler {
    private val grantIds = GrantIds(random)
    private val running = HashMap<GrantId, CapacityRequest>()
    private val runningIds = HashSet<RequestId>()
    private val leaving = HashSet<EndpointId>()
    private var config = config
    private var available: List<EndpointId> = selectAvailable()

    override fun submit(request: CapacityRequest, nowMs: Long): List<SchedulerDecision> {
        if (request.requestId in runningIds) return emptyList()
        val endpoint = chooseEndpoint(request)
            ?: return listOf(
                SchedulerDecision.Refuse(request, RefusalReason.NO_ENDPOINT, RETRY_NO_ENDPOINT_MS)
            )
        val grantId = grantIds.next()
        running[grantId] = request
        runningIds += request.requestId
        val candidates = listOf(endpoint)
        return listOf(
            SchedulerDecision.Grant(request, grantId, endpoint, candidates, choice.name)
        )
    }

    override fun cancel(requestId: RequestId, nowMs: Long): List<SchedulerDecision> = emptyList()

    override fun release(report: GrantReport, nowMs: Long): List<SchedulerDecision> {
        running.remove(report.grantId)?.let { runningIds -= it.requestId }
        return emptyList()
    }

    override fun onPreempted(
        report: GrantReport,
        resume: CapacityRequest?,
        nowMs: Long
    ): List<SchedulerDecision> {
        release(report, nowMs)
        return resume?.let { submit(it, nowMs) } ?: emptyList()
    }

    override fun applyProgress(reports: List<GrantProgress>, nowMs: Long): List<SchedulerDecision> =
        emptyList()

    override fun applyLoadReport(report: LoadReport, nowMs: Long): List<SchedulerDecision> {
        choice.applyLoadReport(report)
        val isChanged =
            if (report.isLeaving) leaving.add(report.endpoint) else leaving.remove(report.endpoint)
        if (isChanged) available = selectAvailable()
        return emptyList()
    }

    override fun applyCacheEvents(events: List<CacheEvent>, nowMs: Long): Unit = Unit

    override fun applyCacheGap(endpoint: EndpointId, gap: CacheGap, nowMs: Long): Unit = Unit

    override fun adopt(grants: List<RunningGrant>, nowMs: Long): List<SchedulerDecision> {
        for (grant in grants) {
            this.running[grant.grantId] = grant.request
            runningIds += grant.request.requestId
        }
        return emptyList()
    }

    override fun dropOrigin(origin: HostId, nowMs: Long): List<SchedulerDecision> {
        running.values.removeIf { request ->
            (request.origin == origin).also { if (it) runningIds -= request.requestId }
        }
        return emptyList()
    }

    override fun reconfigure(config: ShardConfig, nowMs: Long): List<SchedulerDecision> {
        this.config = config
        available = selectAvailable()
        return emptyList()
    }

    override fun tick(nowMs: Long): List<SchedulerDecision> = emptyList()

    private fun chooseEndpoint(request: CapacityRequest): EndpointId? = when {
        request.resumeOn != null -> request.resumeOn.takeIf { it in available }
        available.isEmpty() -> null
        else -> choice.choose(available)
    }

    private fun selectAvailable(): List<EndpointId> =
        config.endpoints.map { it.id }.filter { it !in config.unavailable && it !in leaving }
}

/** Time after which a request refused for lack of an available endpoint may be retried. */
internal const val RETRY_NO_ENDPOINT_MS: Long = 1_000

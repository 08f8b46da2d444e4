package cowslipcart.core.node

import cowslipcart.core.capacity.RunningGrant
import cowslipcart.core.capacity.SchedulerDecision
import cowslipcart.core.capacity.ShardScheduler
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.unusedReport

/**
 * A scheduler with what is needed to talk to origins over a network that loses messages: the last
 * ask count of each waiting request and the grant of each running one.
 */
internal class OwnedShard(val scheduler: ShardScheduler) {
    private class Granted(val requestId: RequestId, val origin: HostId, val endpoint: EndpointId)

    private val askCounts = HashMap<RequestId, Long>()
    private val grants = HashMap<GrantId, Granted>()
    private val grantIds = HashMap<RequestId, GrantId>()

    /**
     * Takes an ask. If the request already has a grant, the grant was lost or crossed this ask: it
     * is repeated, unless its endpoint takes no new work any more.
     */
    fun onAsk(
        message: PeerMessage.AskCapacity,
        isUnavailable: (EndpointId) -> Boolean,
        nowMs: Long
    ): Reaction {
        val request = message.request
        val grantId = grantIds[request.requestId]
        val granted = grantId?.let { grants[it] }
        if (grantId != null && granted != null && !isUnavailable(granted.endpoint)) {
            val repeated = PeerMessage.CapacityGranted(
                message.shard,
                request.requestId,
                grantId,
                granted.endpoint,
                message.askCount
            )
            return Reaction(emptyList(), repeated)
        }
        val freed = grantId?.let {
            forget(it)
            scheduler.release(unusedReport(it), nowMs)
        }
        askCounts[request.requestId] = message.askCount
        return Reaction(freed.orEmpty() + scheduler.submit(request, nowMs), null)
    }

    fun onCancel(requestId: RequestId, nowMs: Long): List<SchedulerDecision> {
        askCounts.remove(requestId)
        return scheduler.cancel(requestId, nowMs)
    }

    fun onReleased(message: PeerMessage.CapacityReleased, nowMs: Long): List<SchedulerDecision> {
        forget(message.report.grantId)
        return scheduler.release(message.report, nowMs)
    }

    fun onGaveWay(message: PeerMessage.GaveWay, nowMs: Long): List<SchedulerDecision> {
        forget(message.report.grantId)
        message.resume?.let { askCounts[it.requestId] = 1 }
        return scheduler.gaveWay(message.report, message.resume, nowMs)
    }

    fun onRunning(running: List<RunningGrant>, nowMs: Long): List<SchedulerDecision> {
        for (grant in running) {
            remember(grant.grantId, grant.request.requestId, grant.request.origin, grant.endpoint)
        }
        return scheduler.adopt(running, nowMs)
    }

    fun onHostDied(host: HostId, nowMs: Long): List<SchedulerDecision> {
        grants.filterValues { it.origin == host }.keys.forEach { forget(it) }
        return scheduler.dropOrigin(host, nowMs)
    }

    /** Notes a decision and returns the ask count that a grant has to echo. */
    fun onDecision(decision: SchedulerDecision): Long {
        val request = decision.request
        return when (decision) {
            is SchedulerDecision.Grant -> {
                remember(decision.grantId, request.requestId, request.origin, decision.endpoint)
                askCounts.remove(request.requestId) ?: 0
            }

            is SchedulerDecision.Refuse -> askCounts.remove(request.requestId) ?: 0

            is SchedulerDecision.GiveWay -> 0
        }
    }

    private fun remember(
        grantId: GrantId,
        requestId: RequestId,
        origin: HostId,
        endpoint: EndpointId
    ) {
        grants[grantId] = Granted(requestId, origin, endpoint)
        grantIds[requestId] = grantId
    }

    private fun forget(grantId: GrantId) {
        val granted = grants.remove(grantId) ?: return
        grantIds.remove(granted.requestId, grantId)
    }

    /** Decisions of the scheduler, and a grant to send again. */
    class Reaction(
        val decisions: List<SchedulerDecision>,
        val repeatedGrant: PeerMessage.CapacityGranted?
    )
}

package cowslipcart.core.host

import cowslipcart.core.capacity.RunningGrant
import cowslipcart.core.capacity.SchedulerDecision
import cowslipcart.core.capacity.ShardScheduler
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.unusedReport

/**
 * A shard's scheduler with the state that makes its exchange with origins tolerate lost messages:
 * the last ask count of each waiting request and the grant of each running one.
 */
internal class OwnedShard(val scheduler: ShardScheduler) {
    private class GrantRecord(
        val requestId: RequestId,
        val origin: HostId,
        val endpoint: EndpointId
    )

    private val askCounts = HashMap<RequestId, Long>()
    private val grants = HashMap<GrantId, GrantRecord>()
    private val grantIds = HashMap<RequestId, GrantId>()

    /**
     * Handles an ask. If the request already has a grant, the grant was lost or crossed this ask on
     * the way. It is sent again, or released first if its endpoint no longer takes new work.
     */
    fun onAsk(
        message: PeerMessage.AskCapacity,
        isUnavailable: (EndpointId) -> Boolean,
        nowMs: Long
    ): AskResult {
        val request = message.request
        val grantId = grantIds[request.requestId]
        val record = grantId?.let { grants[it] }
        if (grantId != null && record != null && !isUnavailable(record.endpoint)) {
            val repeated = PeerMessage.CapacityGranted(
                message.shard,
                request.requestId,
                grantId,
                record.endpoint,
                message.askCount
            )
            return AskResult(emptyList(), repeated)
        }
        val onRelease = grantId?.let {
            removeGrant(it)
            scheduler.release(unusedReport(it), nowMs)
        }
        askCounts[request.requestId] = message.askCount
        return AskResult(onRelease.orEmpty() + scheduler.submit(request, nowMs), null)
    }

    fun onCancel(requestId: RequestId, nowMs: Long): List<SchedulerDecision> {
        askCounts.remove(requestId)
        return scheduler.cancel(requestId, nowMs)
    }

    fun onReleased(message: PeerMessage.CapacityReleased, nowMs: Long): List<SchedulerDecision> {
        removeGrant(message.report.grantId)
        return scheduler.release(message.report, nowMs)
    }

    /** Releases the grant of a preempted request and queues the request if it can resume. */
    fun onPreempted(message: PeerMessage.GaveWay, nowMs: Long): List<SchedulerDecision> {
        removeGrant(message.report.grantId)
        message.resume?.let { askCounts[it.requestId] = 1 }
        return scheduler.onPreempted(message.report, message.resume, nowMs)
    }

    /** Adopts grants that an earlier owner gave and that are still in use. */
    fun onRunning(running: List<RunningGrant>, nowMs: Long): List<SchedulerDecision> {
        for (grant in running) {
            addGrant(grant.grantId, grant.request.requestId, grant.request.origin, grant.endpoint)
        }
        return scheduler.adopt(running, nowMs)
    }

    /** Drops the waiting requests and grants of an origin that died. */
    fun onHostDied(host: HostId, nowMs: Long): List<SchedulerDecision> {
        grants.filterValues { it.origin == host }.keys.forEach { removeGrant(it) }
        return scheduler.dropOrigin(host, nowMs)
    }

    /** Records a decision; returns the last ask count, which a grant has to echo. */
    fun onDecision(decision: SchedulerDecision): Long {
        val request = decision.request
        return when (decision) {
            is SchedulerDecision.Grant -> {
                addGrant(decision.grantId, request.requestId, request.origin, decision.endpoint)
                askCounts.remove(request.requestId) ?: 0
            }

            is SchedulerDecision.Refuse -> askCounts.remove(request.requestId) ?: 0

            is SchedulerDecision.Preempt -> 0
        }
    }

    private fun addGrant(
        grantId: GrantId,
        requestId: RequestId,
        origin: HostId,
        endpoint: EndpointId
    ) {
        grants[grantId] = GrantRecord(requestId, origin, endpoint)
        grantIds[requestId] = grantId
    }

    private fun removeGrant(grantId: GrantId) {
        val record = grants.remove(grantId) ?: return
        grantIds.remove(record.requestId, grantId)
    }

    /** Decisions of the scheduler, and a grant to send again; null if there is none. */
    class AskResult(
        val decisions: List<SchedulerDecision>,
        val repeatedGrant: PeerMessage.CapacityGranted?
    )
}

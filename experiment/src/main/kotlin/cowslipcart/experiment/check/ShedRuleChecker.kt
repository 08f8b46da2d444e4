package cowslipcart.experiment.check

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import cowslipcart.experiment.sim.TraceEvent

/**
 * Checks the shed rule on the trace of a run, without any code of the policy: no request is shed
 * while a less urgent one that competes for the same endpoint is queued or could be preempted. A
 * request counts as shed if it was refused for lack of capacity or if its deadline passed while it
 * waited.
 */
public fun findShedRuleBreaches(trace: List<TraceEvent>): List<ShedRuleBreach> {
    val checker = ShedRuleChecker()
    return trace.mapNotNull(checker::check)
}

private class ShedRuleChecker {
    private val live = LinkedHashMap<RequestId, LiveRequest>()

    fun check(event: TraceEvent): ShedRuleBreach? {
        when (event) {
            is TraceEvent.Asked -> live[event.requestId] = LiveRequest(event)

            is TraceEvent.Granted -> live[event.requestId]?.endpoint = event.endpoint

            is TraceEvent.GaveWay -> live[event.requestId]?.let {
                it.endpoint = null
                it.boundTo = event.resumesOn
                if (event.resumesOn == null) live -= event.requestId
            }

            is TraceEvent.Released -> live -= event.requestId

            is TraceEvent.HostKilled -> live.values.removeIf { it.origin == event.host }

            is TraceEvent.Refused -> return checkRefusal(event)

            is TraceEvent.Expired -> return checkShed(event.atMs, event.requestId)

            is TraceEvent.Dispatched, is TraceEvent.GiveWayOrdered -> Unit
        }
        return null
    }

    private fun checkRefusal(event: TraceEvent.Refused): ShedRuleBreach? = when (event.reason) {
        RefusalReason.SHARD_FULL -> checkShed(event.atMs, event.requestId)

        // A refusal on arrival means that the deadline cannot be met even on an empty endpoint.
        RefusalReason.DEADLINE -> if (live[event.requestId]?.askedAtMs == event.atMs) {
            live -= event.requestId
            null
        } else {
            checkShed(event.atMs, event.requestId)
        }

        RefusalReason.TIER_STOPPED, RefusalReason.NO_ENDPOINT -> {
            live -= event.requestId
            null
        }
    }

    /** Returns a breach if a less urgent request could have freed capacity for the shed one. */
    private fun checkShed(atMs: Long, requestId: RequestId): ShedRuleBreach? {
        val shed = live.remove(requestId)?.takeIf { it.endpoint == null } ?: return null
        val lower = live.values.firstOrNull {
            it.tier > shed.tier && canFreeCapacity(it) && sharesEndpoint(it, shed)
        }
        return lower?.let {
            ShedRuleBreach(atMs, requestId, shed.tier, it.requestId, it.tier)
        }
    }

    private fun canFreeCapacity(request: LiveRequest): Boolean =
        request.endpoint == null || request.isInterruptible

    /** A queued request that is bound to no endpoint competes for every endpoint. */
    private fun sharesEndpoint(lower: LiveRequest, shed: LiveRequest): Boolean {
        val lowerEndpoint = lower.endpoint ?: lower.boundTo ?: return true
        return shed.boundTo == null || shed.boundTo == lowerEndpoint
    }
}

private class LiveRequest(event: TraceEvent.Asked) {
    val requestId: RequestId = event.requestId
    val origin: HostId = event.origin
    val tier: Tier = event.tier
    val isInterruptible: Boolean = event.isInterruptible
    val askedAtMs: Long = event.atMs
    var endpoint: EndpointId? = null
    var boundTo: EndpointId? = null
}

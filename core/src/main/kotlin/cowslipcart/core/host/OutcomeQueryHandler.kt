package cowslipcart.core.host

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.membership.MembershipView
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.OriginController
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.core.origin.originOf

/** Looks up the outcome of a request, on this host or by a query to the host that received it. */
internal class OutcomeQueryHandler(
    private val self: ProcessId,
    private val origin: OriginController,
    private val membership: MembershipView,
    private val outbox: Outbox
) {
    private class PendingFind(val queryId: Long, val sinceMs: Long)

    /** Contains the organisation, so that two of them do not get each other's answer. */
    private data class QueryKey(val organisation: OrganisationId?, val requestId: RequestId)

    private val pending = HashMap<QueryKey, MutableList<PendingFind>>()

    /** Answers at once if the outcome can be known here, else queries the origin of the request. */
    fun onFind(input: HostInput.FindOutcome, nowMs: Long) {
        val originProcess = originOf(input.requestId)
        if (originProcess == self) {
            emitOutcome(input.queryId, origin.outcomeOf(input.organisation, input.requestId))
        } else if (originProcess == null ||
            membership.liveHosts[originProcess.host]?.incarnation != originProcess.incarnation
        ) {
            emitOutcome(input.queryId, RequestOutcome.Unknown)
        } else {
            val queryKey = QueryKey(input.organisation, input.requestId)
            pending.getOrPut(queryKey) { mutableListOf() } += PendingFind(input.queryId, nowMs)
            val query = PeerMessage.OutcomeQuery(
                input.organisation,
                input.requestId,
                originProcess.incarnation
            )
            outbox.send(originProcess.host, query)
        }
    }

    /** Answers a peer's query; the outcome is unknown if it asks for another incarnation. */
    fun onQuery(from: HostId, query: PeerMessage.OutcomeQuery) {
        val outcome = if (query.incarnation == self.incarnation) {
            origin.outcomeOf(query.organisation, query.requestId)
        } else {
            RequestOutcome.Unknown
        }
        outbox.send(
            from,
            PeerMessage.OutcomeReply(query.organisation, query.requestId, outcome)
        )
    }

    /** Passes the answer on to all who wait for it. */
    fun onReply(organisation: OrganisationId?, requestId: RequestId, outcome: RequestOutcome) {
        pending.remove(QueryKey(organisation, requestId))?.forEach {
            emitOutcome(it.queryId, outcome)
        }
    }

    /** Answers queries that timed out as unknown. */
    fun tick(nowMs: Long) {
        for (queryKey in pending.keys.toList()) {
            val isOld = pending.getValue(queryKey)
                .any { nowMs - it.sinceMs >= OriginController.OUTCOME_TIMEOUT_MS }
            if (isOld) onReply(queryKey.organisation, queryKey.requestId, RequestOutcome.Unknown)
        }
    }

    private fun emitOutcome(queryId: Long, outcome: RequestOutcome) {
        outbox.emit(HostEffect.ReportOutcome(queryId, outcome))
    }
}

package cowslipcart.core.node

import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.membership.MembershipView
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.OriginController
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.core.origin.originOf

/** Answers what became of a request, of this host or of the one that took it. */
internal class OutcomeDesk(
    private val self: AttemptOrigin,
    private val origin: OriginController,
    private val membership: MembershipView,
    private val outbox: Outbox
) {
    private class Pending(val queryId: Long, val sinceMs: Long)

    /** Organisations that ask for the same request must not get each other's answer. */
    private data class Question(val organisation: OrganisationId?, val requestId: RequestId)

    private val pending = HashMap<Question, MutableList<Pending>>()

    fun onFind(input: NodeInput.FindOutcome, nowMs: Long) {
        val process = originOf(input.requestId)
        if (process == self) {
            found(input.queryId, origin.outcomeOf(input.organisation, input.requestId))
        } else if (process == null ||
            membership.liveHosts[process.host]?.incarnation != process.incarnation
        ) {
            found(input.queryId, RequestOutcome.Unknown)
        } else {
            val question = Question(input.organisation, input.requestId)
            pending.getOrPut(question) { mutableListOf() } += Pending(input.queryId, nowMs)
            val query = PeerMessage.OutcomeQuery(
                input.organisation,
                input.requestId,
                process.incarnation
            )
            outbox.send(process.host, query)
        }
    }

    /** Answers a peer's query; a query about an earlier incarnation is answered as unknown. */
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

    fun onReply(organisation: OrganisationId?, requestId: RequestId, outcome: RequestOutcome) {
        pending.remove(Question(organisation, requestId))?.forEach { found(it.queryId, outcome) }
    }

    fun tick(nowMs: Long) {
        for (question in pending.keys.toList()) {
            val isOld = pending.getValue(question)
                .any { nowMs - it.sinceMs >= OriginController.OUTCOME_TIMEOUT_MS }
            if (isOld) onReply(question.organisation, question.requestId, RequestOutcome.Unknown)
        }
    }

    private fun found(queryId: Long, outcome: RequestOutcome) {
        outbox.emit(NodeEffect.OutcomeFound(queryId, outcome))
    }
}

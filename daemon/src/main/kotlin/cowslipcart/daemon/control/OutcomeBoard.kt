package cowslipcart.daemon.control

import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.node.NodeInput
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.daemon.http.OutcomeLookup
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Asks control what became of a request and awaits the answer. */
internal class OutcomeBoard(private val control: (NodeInput) -> Unit) : OutcomeLookup {
    private val nextId = AtomicLong()
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<RequestOutcome>>()

    override suspend fun find(organisation: OrganisationId?, requestId: RequestId): RequestOutcome {
        val queryId = nextId.incrementAndGet()
        val answer = CompletableDeferred<RequestOutcome>()
        waiting[queryId] = answer
        try {
            control(NodeInput.FindOutcome(queryId, organisation, requestId))
            return withTimeoutOrNull(TIMEOUT_MS) { answer.await() } ?: RequestOutcome.Unknown
        } finally {
            waiting.remove(queryId)
        }
    }

    fun found(queryId: Long, outcome: RequestOutcome) {
        waiting[queryId]?.complete(outcome)
    }

    private companion object {
        const val TIMEOUT_MS = 2_000L
    }
}

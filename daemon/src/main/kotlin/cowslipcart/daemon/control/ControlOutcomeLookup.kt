package cowslipcart.daemon.control

import cowslipcart.core.host.HostInput
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.daemon.http.OutcomeLookup
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Looks up outcomes through the controller: submits a query and awaits its result. */
internal class ControlOutcomeLookup(private val submit: (HostInput) -> Unit) : OutcomeLookup {
    private val nextId = AtomicLong()
    private val pending = ConcurrentHashMap<Long, CompletableDeferred<RequestOutcome>>()

    override suspend fun find(organisation: OrganisationId?, requestId: RequestId): RequestOutcome {
        val queryId = nextId.incrementAndGet()
        val result = CompletableDeferred<RequestOutcome>()
        pending[queryId] = result
        try {
            submit(HostInput.FindOutcome(queryId, organisation, requestId))
            return withTimeoutOrNull(TIMEOUT_MS) { result.await() } ?: RequestOutcome.Unknown
        } finally {
            pending.remove(queryId)
        }
    }

    /** Ends the lookup with [queryId]; does nothing if it has timed out. */
    fun complete(queryId: Long, outcome: RequestOutcome) {
        pending[queryId]?.complete(outcome)
    }

    private companion object {
        const val TIMEOUT_MS = 2_000L
    }
}

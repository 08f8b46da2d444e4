package cowslipcart.daemon.http

import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.wire.admin.RequestDocument
import io.ktor.server.application.ApplicationCall

/** Looks up the outcome of a request, on this host or on the host that accepted it. */
internal fun interface OutcomeLookup {
    /** Returns the outcome. An [organisation] sees only its own requests; null sees all. */
    suspend fun find(organisation: OrganisationId?, requestId: RequestId): RequestOutcome
}

/** Shows the outcomes of requests to callers and operators. */
internal class OutcomeApi(
    private val authenticator: CallerAuthenticator,
    private val lookup: OutcomeLookup
) {
    /** Handles `GET /v1/requests/{id}`. */
    suspend fun showToCaller(call: ApplicationCall, id: String) {
        authenticator.authenticateLookup(call.request.headers).fold(
            { call.respondProblem(it.toProblem(), null) },
            { show(call, it.id, id) }
        )
    }

    /** Handles `GET /admin/requests/{id}`. */
    suspend fun showToOperator(call: ApplicationCall, id: String) = show(call, null, id)

    private suspend fun show(call: ApplicationCall, organisation: OrganisationId?, id: String) {
        val outcome = when (lookup.find(organisation, RequestId(id))) {
            is RequestOutcome.Answered -> "answered"
            RequestOutcome.NotRun -> "not-run"
            RequestOutcome.Running -> "running"
            RequestOutcome.Unknown -> "unknown"
        }
        call.respondJson(RequestDocument(id, outcome))
    }
}

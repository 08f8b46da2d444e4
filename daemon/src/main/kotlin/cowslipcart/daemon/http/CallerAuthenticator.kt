package cowslipcart.daemon.http

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.daemon.control.PublishedState
import io.ktor.http.Headers

/** Authenticates callers by their headers; fails while this host cannot serve them. */
internal class CallerAuthenticator(private val published: PublishedState) {
    /** Returns the organisation of a new request, or an error if this host is not ready. */
    fun authenticateRequest(headers: Headers): Either<HttpError, OrganisationSpec> = either {
        ensure(published.isReady) {
            val hasKey = headers[IDEMPOTENCY_KEY_HEADER] != null
            HttpError.NotServing("this host does not accept requests now", mayHaveRun = hasKey)
        }
        authenticateLookup(headers).bind()
    }

    /**
     * Returns the organisation of a caller that looks up a request, which works until the end of a
     * shutdown. A host that has not read the configuration yet knows no organisation, so it cannot
     * tell a valid token from an invalid one and returns [HttpError.NotServing].
     */
    fun authenticateLookup(headers: Headers): Either<HttpError, OrganisationSpec> = either {
        ensure(published.readiness.value.isReady) {
            HttpError.NotServing("this host has not read the configuration yet", mayHaveRun = true)
        }
        authenticate(headers, published.configuration.value.configuration).bind()
    }
}

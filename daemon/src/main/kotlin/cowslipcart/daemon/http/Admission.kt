package cowslipcart.daemon.http

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.daemon.control.PublishedState
import io.ktor.http.Headers

/** Decides from the headers alone whether this host takes a request. */
internal class Admission(private val published: PublishedState) {
    /** Returns the organisation of a new request. A host that does not serve takes none. */
    fun admit(headers: Headers): Either<HttpError, OrganisationSpec> = either {
        ensure(published.isReady) {
            val hasKey = headers[IDEMPOTENCY_KEY_HEADER] != null
            HttpError.NotServing("this host does not take requests now", mayHaveRun = hasKey)
        }
        identify(headers).bind()
    }

    /**
     * Returns the organisation of a caller that asks about a request, which a host that shuts down
     * still answers. A host that has just started knows no organisation and cannot tell a wrong
     * token from a right one.
     */
    fun identify(headers: Headers): Either<HttpError, OrganisationSpec> = either {
        ensure(published.readiness.value.isReady) {
            HttpError.NotServing("this host has not read the configuration yet", mayHaveRun = true)
        }
        authenticate(headers, published.configuration.value.configuration).bind()
    }
}

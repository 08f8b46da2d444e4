package cowslipcart.daemon.http

import cowslipcart.core.log.LogError
import cowslipcart.core.origin.Rejection
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Error of the HTTP layer; errors of the layers below are converted to it. */
internal sealed interface HttpError {
    val detail: String

    /** The request is invalid; [status] is 400, 404, 405, 413 or 422. */
    data class BadRequest(override val detail: String, val status: Int = 400) : HttpError

    data class Unauthenticated(override val detail: String) : HttpError

    /**
     * This host does not serve now. The call did not run here; [mayHaveRun] if the request that it
     * concerns may have run at another host, which this host does not ask.
     */
    data class NotServing(override val detail: String, val mayHaveRun: Boolean) : HttpError

    /** The controller rejected the request. */
    data class Rejected(val rejection: Rejection) : HttpError {
        override val detail: String get() = rejection.detail
    }
}

/** Problem document of RFC 9457. */
@Serializable
internal data class ProblemDocument(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    @SerialName("request_id") val requestId: String? = null
) {
    fun toJson(): String = Json.encodeToString(serializer(), this)
}

/**
 * Problem to answer with.
 *
 * @property name last part of the type URN
 * @property retryAfterMs value of `Retry-After`, rounded up to seconds; null for no header
 */
internal data class Problem(
    val name: String,
    val title: String,
    val status: Int,
    val detail: String,
    val retryAfterMs: Long? = null
) {
    fun toDocument(requestId: String?) =
        ProblemDocument("urn:cowslipcart:problem:$name", title, status, detail, requestId)

    companion object {
        const val CONTENT_TYPE = "application/problem+json"
    }
}

/** Converts an error to the problem that the caller gets. */
internal fun HttpError.toProblem(): Problem = when (this) {
    is HttpError.BadRequest -> Problem("bad-request", "Bad request", status, detail)

    is HttpError.Unauthenticated ->
        Problem("unauthenticated", "Unauthenticated", 401, detail)

    is HttpError.NotServing -> if (mayHaveRun) {
        Problem("outcome-unknown", "Outcome unknown", 503, detail, RETRY_AFTER_MS)
    } else {
        Problem("not-run", "Not run", 503, detail, RETRY_AFTER_MS)
    }

    is HttpError.Rejected -> rejection.toProblem()
}

private fun Rejection.toProblem(): Problem = when (this) {
    is Rejection.NotRun -> Problem("not-run", "Not run", 503, detail, retryAfterMs)

    is Rejection.OutcomeUnknown ->
        Problem("outcome-unknown", "Outcome unknown", 502, detail)

    is Rejection.StillRunning ->
        Problem("outcome-unknown", "Still running", 409, detail, retryAfterMs)

    is Rejection.LimitExceeded ->
        Problem("limit-exceeded", "Limit exceeded", 429, detail, retryAfterMs)

    is Rejection.Quarantined -> Problem("quarantined", "Quarantined", 422, detail)

    is Rejection.BadRequest -> Problem("bad-request", "Bad request", 422, detail)
}

/** Converts an error of the log to the problem that an operator gets. */
internal fun LogError.toProblem(): Problem = when (this) {
    is LogError.Unavailable ->
        Problem("not-run", "Not run", 503, "the log is down: $detail", RETRY_AFTER_MS)

    is LogError.Unknown ->
        Problem("outcome-unknown", "Outcome unknown", 502, "the log's answer was lost: $detail")
}

private const val RETRY_AFTER_MS = 1_000L

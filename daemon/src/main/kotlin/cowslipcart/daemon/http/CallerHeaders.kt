package cowslipcart.daemon.http

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.claims.parseRequestKey
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.SessionId
import cowslipcart.core.model.Tier
import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import java.security.MessageDigest

/** Optional scheduling headers of a request, validated; null where none was sent. */
internal class CallerHints(val tier: Tier?, val deadlineMs: Long?, val session: SessionId?)

/** Returns the organisation of the bearer token; the configuration holds only token hashes. */
internal fun authenticate(
    headers: Headers,
    configuration: Configuration
): Either<HttpError, OrganisationSpec> {
    val token = bearerToken(headers)
        ?: return HttpError.Unauthenticated("expected one bearer token").left()
    return configuration.organisationsByTokenSha256[sha256Hex(token)]?.right()
        ?: HttpError.Unauthenticated("the bearer token belongs to no organisation").left()
}

/** Returns the bearer token, or null if there is none or more than one. */
internal fun bearerToken(headers: Headers): String? =
    headers.getAll(HttpHeaders.Authorization).orEmpty().singleOrNull()
        ?.takeIf { it.startsWith(BEARER_PREFIX) }
        ?.removePrefix(BEARER_PREFIX)?.trim()

/** Reads the tier, deadline and session of a request. */
internal fun readHints(
    headers: Headers,
    organisation: OrganisationSpec,
    configuration: Configuration
): Either<HttpError, CallerHints> = either {
    val tierText = single(headers, "X-Tier").bind()
    val tier = tierText?.let { text ->
        configuration.tiers.values.firstOrNull { it.name == text }?.tier
            ?: text.toIntOrNull()?.let { Tier(it) }?.takeIf { it in configuration.tiers }
            ?: raise(
                HttpError.BadRequest(
                    "X-Tier: expected one of ${configuration.tiers.values.map { it.name }}, " +
                        "found '${text.take(MAX_QUOTED)}'"
                )
            )
    }
    ensure(tier == null || tier >= organisation.highestTier) {
        HttpError.BadRequest(
            "X-Tier: expected tier ${organisation.highestTier} or a lower one, found $tierText"
        )
    }
    val deadlineText = single(headers, "X-Deadline-Ms").bind()
    val deadlineMs = deadlineText?.toLongOrNull()
    ensure(deadlineText == null || deadlineMs in 1..MAX_DEADLINE_MS) {
        HttpError.BadRequest(
            "X-Deadline-Ms: expected 1 to $MAX_DEADLINE_MS, " +
                "found '${deadlineText?.take(MAX_QUOTED)}'"
        )
    }
    CallerHints(tier, deadlineMs, readSession(headers).bind())
}

private fun readSession(headers: Headers): Either<HttpError, SessionId?> = either {
    val text = single(headers, "X-Session").bind()
    ensure(text == null || text.length in 1..MAX_SESSION_LENGTH) {
        HttpError.BadRequest(
            "X-Session: expected 1 to $MAX_SESSION_LENGTH characters, found ${text?.length}"
        )
    }
    text?.let { SessionId(it) }
}

/** Reads the idempotency key, null if none was sent. */
internal fun readKey(
    headers: Headers,
    organisation: OrganisationSpec
): Either<HttpError, RequestKey?> = either {
    val text = single(headers, IDEMPOTENCY_KEY_HEADER).bind()?.trim()?.removeSurrounding("\"")
    text?.let { value ->
        parseRequestKey(organisation.id, value)
            .mapLeft { HttpError.BadRequest("$IDEMPOTENCY_KEY_HEADER: ${it.message}") }
            .bind()
    }
}

/** Reads the content type, null if none was sent. */
internal fun readContentType(headers: Headers): Either<HttpError, ContentType?> = either {
    val text = single(headers, HttpHeaders.ContentType).bind()
    try {
        text?.let { ContentType.parse(it) }
    } catch (_: BadContentTypeFormatException) {
        raise(
            HttpError.BadRequest(
                "Content-Type: expected type/subtype, found '${text?.take(MAX_QUOTED)}'"
            )
        )
    }
}

/** Lower-case hex SHA-256 of [text]. */
internal fun sha256Hex(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        .joinToString("") { "%02x".format(it) }

/** Returns the value of a header, null if it is absent, or an error if it is repeated. */
private fun single(headers: Headers, name: String): Either<HttpError, String?> {
    val values = headers.getAll(name).orEmpty()
    return if (values.size <= 1) {
        values.firstOrNull().right()
    } else {
        HttpError.BadRequest("$name: expected at most one value, found ${values.size}").left()
    }
}

internal const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
private const val BEARER_PREFIX = "Bearer "
private const val MAX_DEADLINE_MS = 24 * 3_600_000L
private const val MAX_QUOTED = 40

/** Fits a UUID with a prefix. Bounded because the name is hashed once per shard. */
private const val MAX_SESSION_LENGTH = 128

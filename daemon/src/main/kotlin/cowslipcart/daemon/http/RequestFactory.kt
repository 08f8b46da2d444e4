package cowslipcart.daemon.http

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.RouteSpec
import cowslipcart.core.model.Tier
import cowslipcart.core.origin.CallerRequest
import cowslipcart.wire.content.countTokens
import cowslipcart.wire.content.fingerprintOf
import cowslipcart.wire.content.prefixBlocksOf
import io.ktor.http.Headers

/** Converts callers' HTTP requests to the [CallerRequest] of the core. */
internal class RequestFactory(private val newRequestId: () -> RequestId) {
    /** Builds a chat completion request. */
    fun chat(
        chat: ChatRequest,
        headers: Headers,
        organisation: OrganisationSpec,
        configuration: Configuration
    ): Either<HttpError, CallerRequest> = either {
        val pool = ensureNotNull(configuration.findModelPool(chat.model)) {
            HttpError.BadRequest("model: no pool serves '${chat.model.take(MAX_QUOTED)}'", 404)
        }
        val hints = readHints(headers, organisation, configuration).bind()
        CallerRequest(
            requestId = newRequestId(),
            organisation = organisation.id,
            tier = hints.tier ?: lowestTier(configuration, organisation),
            pool = pool.id,
            key = readKey(headers, organisation).bind(),
            isIdempotent = true,
            isInterruptible = true,
            fingerprint = fingerprintOf(organisation.id, chat.toEndpointBody().encodeToByteArray()),
            timeLeftMs = hints.deadlineMs,
            prefillTokens = countTokens(chat.prompt),
            outputTokens = chat.maxTokens ?: DEFAULT_OUTPUT_TOKENS,
            prefixBlocks = prefixBlocksOf(chat.prompt),
            session = hints.session
        )
    }

    /** Builds a call to a plain service. */
    fun service(
        call: IncomingServiceCall,
        headers: Headers,
        organisation: OrganisationSpec,
        configuration: Configuration
    ): Either<HttpError, CallerRequest> = either {
        val (pool, route) = findRoute(call, configuration).bind()
        val hints = readHints(headers, organisation, configuration).bind()
        val key = readKey(headers, organisation).bind()
        ensure(route.isIdempotent || key != null) {
            HttpError.BadRequest("Idempotency-Key: expected a UUIDv7 for this route, found none")
        }
        val content = "${call.method} ${call.pathAndQuery}\n".encodeToByteArray() + call.body
        CallerRequest(
            requestId = newRequestId(),
            organisation = organisation.id,
            tier = hints.tier ?: maxOf(route.tier, organisation.highestTier),
            pool = pool.id,
            key = key,
            isIdempotent = route.isIdempotent,
            isInterruptible = false,
            fingerprint = fingerprintOf(organisation.id, content),
            timeLeftMs = hints.deadlineMs,
            prefillTokens = 1,
            outputTokens = 1,
            prefixBlocks = emptyList(),
            session = hints.session
        )
    }

    private fun findRoute(
        call: IncomingServiceCall,
        configuration: Configuration
    ): Either<HttpError, Pair<PoolSpec, RouteSpec>> {
        val pool = configuration.pools[PoolId(call.pool)]
        val kind = pool?.kind as? PoolKind.Service
            ?: return HttpError.BadRequest("no service '${call.pool.take(MAX_QUOTED)}'", 404).left()
        val route = kind.routes.firstOrNull { it.matches(call.method, call.path) }
            ?: return HttpError.BadRequest(
                "no route for ${call.method} ${call.path.take(MAX_QUOTED)}",
                404
            ).left()
        return (pool to route).right()
    }

    private fun RouteSpec.matches(method: String, path: String): Boolean {
        if (this.method != method) return false
        return if (this.path.endsWith('*')) {
            path.startsWith(this.path.dropLast(1))
        } else {
            path == this.path
        }
    }

    private fun lowestTier(configuration: Configuration, organisation: OrganisationSpec): Tier =
        configuration.tiers.keys.maxOrNull() ?: organisation.highestTier

    private companion object {
        /** Estimate for a chat without `max_tokens`; shard owners learn the actual lengths. */
        const val DEFAULT_OUTPUT_TOKENS = 256
        const val MAX_QUOTED = 80
    }
}

/** A call under `/services/{pool}`. */
internal class IncomingServiceCall(
    val pool: String,
    val method: String,
    val path: String,
    val pathAndQuery: String,
    val body: ByteArray
)

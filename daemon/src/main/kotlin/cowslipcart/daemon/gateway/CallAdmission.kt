package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.membership.StableHasher
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import cowslipcart.core.routing.OrganisationAccess
import cowslipcart.core.routing.Route
import cowslipcart.core.routing.RoutingTable
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.RequestHead
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Admits or rejects requests by the configuration in force. An admitted request becomes a
 * [ForwardedCall].
 */
internal class CallAdmission(
    private val headerCodec: HeaderCodec,
    private val state: GatewayState,
    private val clock: RuntimeClock,
    private val random: Random
) {
    private val lastCallId = AtomicLong()

    sealed interface Result {
        class Admitted(val call: ForwardedCall) : Result

        class Rejected(
            val requestId: RequestId?,
            val status: Int,
            val reason: String,
            retryAfterMs: Long? = null
        ) : Result {
            val headers: List<Header> = listOfNotNull(retryAfterMs?.let { retryAfterHeader(it) })
        }
    }

    /** Admits [request], or rejects it with a status for its caller. */
    fun admit(request: BufferedRequest): Result {
        val metadata = headerCodec.decodeRequest(request.head)
        val table = state.routing
        if (table == null || !state.areEndpointsLoaded) {
            return rejectTemporarily(metadata, "no-configuration")
        }
        if (state.isRefusing) return rejectTemporarily(metadata, "stopping")
        val route = table.match(hostName(request.head), request.head.path)
            ?: return Result.Rejected(metadata.requestId, NOT_FOUND, "no-route")
        val requestId = metadata.requestId
            ?: return Result.Rejected(null, BAD_REQUEST, "no-request-id")
        val access = metadata.key?.let { table.organisation(it) }
        if (access == null && table.requiresKey && !route.isPublic) {
            return Result.Rejected(requestId, UNAUTHORIZED, "unknown-key")
        }
        val pool = route.poolAt(random.nextDouble())
            ?: return Result.Rejected(requestId, UNAVAILABLE, "no-pool")
        return Result.Admitted(createCall(request, metadata, requestId, route, access, table, pool))
    }

    /** Rejects a request that another host, or this one soon, can serve. */
    private fun rejectTemporarily(metadata: RequestMetadata, reason: String) =
        Result.Rejected(metadata.requestId, UNAVAILABLE, reason, RETRY_AFTER_MS)

    private fun createCall(
        request: BufferedRequest,
        metadata: RequestMetadata,
        requestId: RequestId,
        route: Route,
        access: OrganisationAccess?,
        table: RoutingTable,
        pool: PoolId
    ): ForwardedCall {
        val nowMs = clock.nowMs()
        val tier: Tier = access?.tier ?: route.tier
        return ForwardedCall(
            id = CallId(lastCallId.incrementAndGet()),
            requestId = requestId,
            organisation = access?.id,
            route = route,
            pool = pool,
            tier = tier,
            rankInPool = table.rankInPool(pool, route.tier),
            statedSize = metadata.size,
            prompt = metadata.prompt,
            fingerprint = fingerprint(request, access?.id),
            arrivedAtMs = nowMs,
            deadlineAtMs = nowMs + minOf(route.timeoutMs, metadata.remainingMs ?: Long.MAX_VALUE),
            resumption = metadata.resumption
        )
    }

    private fun hostName(head: RequestHead): String =
        head.headers["Host"].orEmpty().substringBefore(':')

    private fun fingerprint(request: BufferedRequest, organisation: OrganisationId?): Fingerprint {
        val hasher = StableHasher()
            .add("${organisation?.value} ${request.head.method} ${request.head.target} ")
        for (piece in request.body.pieces) hasher.add(piece)
        return Fingerprint(hasher.value.toULong().toString(HEX_RADIX))
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val HEX_RADIX = 16

        /** Time after which a starting host is usually ready, in ms. */
        const val RETRY_AFTER_MS = 300L
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.membership.stableHash
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

/** Turns a request into a call, or rejects it by the configuration in force. */
internal class CallAdmission(
    private val dialect: EdgeDialect,
    private val state: GatewayState,
    private val clock: RuntimeClock,
    private val random: Random
) {
    private val lastId = AtomicLong()

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

    fun admit(request: ReceivedRequest): Result {
        val facts = dialect.decodeCall(request.head)
        val table = state.routing
        if (table == null || !state.areEndpointsKnown) {
            return refuseForNow(facts, "no-configuration")
        }
        if (state.isRefusing) return refuseForNow(facts, "stopping")
        val route = table.match(hostName(request.head), request.head.path)
            ?: return Result.Rejected(facts.requestId, NOT_FOUND, "no-route")
        val requestId = facts.requestId
            ?: return Result.Rejected(null, BAD_REQUEST, "no-request-id")
        val access = facts.key?.let { table.organisation(it) }
        if (access == null && table.requiresKey && !route.isPublic) {
            return Result.Rejected(requestId, UNAUTHORIZED, "unknown-key")
        }
        val pool = route.poolAt(random.nextDouble())
            ?: return Result.Rejected(requestId, UNAVAILABLE, "no-pool")
        return Result.Admitted(createCall(request, facts, requestId, route, access, table, pool))
    }

    /** Another host, or this one soon, can serve the request. */
    private fun refuseForNow(facts: CallFacts, reason: String) =
        Result.Rejected(facts.requestId, UNAVAILABLE, reason, RETURN_MS)

    private fun createCall(
        request: ReceivedRequest,
        facts: CallFacts,
        requestId: RequestId,
        route: Route,
        access: OrganisationAccess?,
        table: RoutingTable,
        pool: PoolId
    ): ForwardedCall {
        val nowMs = clock.nowMs()
        val tier: Tier = access?.tier ?: route.tier
        return ForwardedCall(
            id = CallId(lastId.incrementAndGet()),
            requestId = requestId,
            organisation = access?.id,
            route = route,
            pool = pool,
            tier = tier,
            rankInPool = table.rankInPool(pool, route.tier),
            statedSize = facts.size,
            prompt = facts.prompt,
            fingerprint = fingerprint(request, access?.id),
            arrivedAtMs = nowMs,
            givenUpAtMs = nowMs + minOf(route.timeoutMs, facts.leftMs ?: Long.MAX_VALUE)
        )
    }

    private fun hostName(head: RequestHead): String =
        head.headers["Host"].orEmpty().substringBefore(':')

    private fun fingerprint(request: ReceivedRequest, organisation: OrganisationId?): Fingerprint {
        val body = String(request.body, Charsets.ISO_8859_1)
        val text = "${organisation?.value} ${request.head.method} ${request.head.target} $body"
        return Fingerprint(stableHash(text).toULong().toString(HEX_RADIX))
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val HEX_RADIX = 16

        /** A host that starts is ready after about this time, in ms. */
        const val RETURN_MS = 300L
    }
}

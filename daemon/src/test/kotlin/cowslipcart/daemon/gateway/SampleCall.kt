package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.Tier
import cowslipcart.core.routing.Route
import cowslipcart.core.routing.RouteId
import cowslipcart.core.routing.WeightedPool
import cowslipcart.core.routing.WorkKind

/** A request of [kind] that arrived at [nowMs] and may take 10 s and two attempts. */
internal fun sampleCall(kind: WorkKind, nowMs: Long = 0): ForwardedCall {
    val pool = PoolId("pool")
    val route = Route(
        id = RouteId("route"),
        host = "shop.example",
        pathPrefix = "/a/",
        kind = kind,
        targets = listOf(WeightedPool(pool, 1.0)),
        timeoutMs = DEADLINE_MS,
        objectiveMs = DEADLINE_MS,
        tier = Tier(0),
        maxAttempts = 2,
        isPublic = true
    )
    return ForwardedCall(
        id = CallId(1),
        requestId = BareHeaderCodec.REQUEST_ID,
        organisation = null,
        route = route,
        pool = pool,
        tier = route.tier,
        rankInPool = 0,
        statedSize = null,
        prompt = emptyList(),
        fingerprint = Fingerprint("f"),
        arrivedAtMs = nowMs,
        deadlineAtMs = nowMs + DEADLINE_MS
    )
}

private const val DEADLINE_MS = 10_000L

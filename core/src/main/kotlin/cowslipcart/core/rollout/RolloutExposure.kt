package cowslipcart.core.rollout

import cowslipcart.core.routing.RouteId

/**
 * How many of this host's requests may go to a version without a verdict. The bound holds for the
 * sum of all hosts if it holds for each one, so a host counts its own requests only: old figures of
 * other hosts, a lost connection or a restart can't break it. A request counts as one of the pool
 * when an endpoint has answered it, and as exposed as soon as it is sent. The slack of the bound is
 * not handed out.
 */
internal class RolloutExposure(bounds: RolloutBounds) {
    private class RouteCount(var seen: Int = 0, var exposed: Int = 0, var seenAtMs: Long = 0)

    private val share = bounds.exposureShare * USED_PART
    private val routes = mutableMapOf<RouteId, RouteCount>()

    /** Requests that have reached endpoints of the pool. */
    var reachedCount = 0L
        private set

    /** Requests that were sent to the new version, or are being sent. */
    var exposedCount = 0L
        private set

    /** Requests that may be exposed beyond those that were. */
    private val balance: Double get() = share * reachedCount - exposedCount

    /** Whether a request of [route] may go to the new version at [nowMs]. */
    fun mayExpose(route: RouteId, nowMs: Long): Boolean {
        if (balance < 1) return false
        val count = routes[route] ?: return false
        if (count.exposed + 1 > count.seen * MAX_ROUTE_PART) return false
        val active = routes.values.filter { nowMs - it.seenAtMs < ACTIVE_MS }
        val least = active.minOfOrNull { it.exposed } ?: count.exposed
        // A route that gets few requests doesn't hold up the others for good.
        return count.exposed <= least + AHEAD || balance > MAX_BALANCE
    }

    /** A request of [route] was sent to some endpoint of the pool for the first time. */
    fun onSeen(route: RouteId, nowMs: Long) {
        val count = routes.getOrPut(route) { RouteCount() }
        count.seen++
        count.seenAtMs = nowMs
    }

    /** A request of [route] was sent to the new version. */
    fun onExposed(route: RouteId) {
        exposedCount++
        routes[route]?.let { it.exposed++ }
    }

    /** A request of [route] that was counted as exposed was certainly not sent. */
    fun onWithheld(route: RouteId) {
        exposedCount--
        routes[route]?.let { it.exposed-- }
    }

    /** A request has reached an endpoint of the pool, in its first attempt. */
    fun onReached() {
        reachedCount++
    }

    private companion object {
        /** The rest of the share is kept for the steps after the verdict. */
        const val USED_PART = 0.8

        /** Largest part of a route's requests that a version without a verdict gets. */
        const val MAX_ROUTE_PART = 0.25

        /** Requests by which the exposure of a route may be ahead of the least exposed one. */
        const val AHEAD = 1
        const val MAX_BALANCE = 3.0
        const val ACTIVE_MS = 10_000L
    }
}

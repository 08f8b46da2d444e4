package cowslipcart.core.orders

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.EngineRole
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.LogOffset
import kotlin.random.Random

/** Behind [createOrderPlanner]. */
internal class PoolOrderPlanner(
    private var pool: OrderedPool,
    private val random: Random,
    nowMs: Long,
    private val settings: OrderSettings
) : OrderPlanner {
    private class OpenOrder(val order: EndpointOrder, val issuedAtMs: Long)

    /** What is known of an endpoint. */
    private class Progress {
        var deployed: DeployedState? = null
        var reportedAtMs = 0L
        var failureCount = 0
        var notBeforeMs = Long.MIN_VALUE
        var isHeld = false
    }

    private val progressOf = HashMap<EndpointId, Progress>()
    private val bucket = OrderBucket(nowMs)
    private var open: OpenOrder? = null

    override fun configure(pool: OrderedPool) {
        val desiredBefore = this.pool.endpoints.associate { it.id to it.desired }
        this.pool = pool
        for (endpoint in pool.endpoints) {
            if (endpoint.desired != desiredBefore[endpoint.id]) {
                progress(endpoint.id).notBeforeMs = Long.MIN_VALUE
            }
        }
        val declared = pool.endpoints.mapTo(mutableSetOf()) { it.id }
        progressOf.keys.retainAll(declared)
        if (open?.order?.endpoint !in declared) open = null
    }

    override fun onDeployed(endpoint: EndpointId, deployed: DeployedState, nowMs: Long) {
        if (pool.endpoints.none { it.id == endpoint }) return
        val progress = progress(endpoint)
        progress.deployed = deployed
        progress.reportedAtMs = nowMs
    }

    override fun onResult(order: OrderId, result: OrderResult, nowMs: Long): List<OrderDecision> {
        val current = open?.order?.takeIf { it.id == order } ?: return emptyList()
        return when (result) {
            OrderResult.Accepted -> emptyList()
            is OrderResult.Failed -> listOf(fail(current, result.detail, nowMs))
        }
    }

    override fun plan(ownerOffset: LogOffset?, nowMs: Long): List<OrderDecision> {
        val closed = closeOpen(nowMs)
        if (open != null || ownerOffset == null) return closed
        return closed + next(ownerOffset, nowMs)
    }

    private fun closeOpen(nowMs: Long): List<OrderDecision> {
        val current = open ?: return emptyList()
        val order = current.order
        val progress = progress(order.endpoint)
        if (progress.isAt(order.desired, nowMs)) {
            open = null
            progress.failureCount = 0
            return listOf(OrderDecision.Applied(order))
        }
        val ageMs = nowMs - current.issuedAtMs
        if (ageMs < settings.orderTimeoutMs) return emptyList()
        val detail = "expected the state within ${settings.orderTimeoutMs} ms, waited $ageMs ms"
        return listOf(fail(order, detail, nowMs))
    }

    private fun fail(order: EndpointOrder, detail: String, nowMs: Long): OrderDecision {
        open = null
        val progress = progress(order.endpoint)
        progress.failureCount++
        val doublings = (progress.failureCount - 1).coerceAtMost(MAX_DOUBLINGS)
        val delayMs = (settings.firstRetryMs shl doublings).coerceAtMost(settings.maxRetryMs)
        val jitteredMs = delayMs / 2 + random.nextLong(delayMs)
        progress.notBeforeMs = nowMs + jitteredMs
        return OrderDecision.Failed(order, detail, jitteredMs)
    }

    /** Endpoints are taken by id, so that a new owner first repeats what the last one was at. */
    private fun next(ownerOffset: LogOffset, nowMs: Long): List<OrderDecision> {
        val decisions = mutableListOf<OrderDecision>()
        for (endpoint in pool.endpoints) {
            val steps = stepsOf(endpoint, nowMs)
            val progress = progress(endpoint.id)
            val desired = endpoint.desired
            if (desired == null || progress.isAt(desired, nowMs)) progress.failureCount = 0
            val isHeld = steps.isNotEmpty() && takesLastServing(endpoint, steps, nowMs)
            if (isHeld && !progress.isHeld) decisions += OrderDecision.Held(endpoint.id)
            progress.isHeld = isHeld
            if (steps.isEmpty() || isHeld || nowMs < progress.notBeforeMs) continue
            if (!bucket.take(pool.ordersPerMinute, nowMs)) break
            decisions += issue(endpoint, steps, ownerOffset, nowMs)
            break
        }
        return decisions
    }

    private fun stepsOf(endpoint: EndpointSpec, nowMs: Long): List<OrderStep> {
        val desired = endpoint.desired ?: return emptyList()
        val deployed = progress(endpoint.id).currentState(nowMs) ?: return emptyList()
        return if (endpoint.id in pool.leaving) emptyList() else desired.stepsFrom(deployed)
    }

    private fun issue(
        endpoint: EndpointSpec,
        steps: List<OrderStep>,
        ownerOffset: LogOffset,
        nowMs: Long
    ): OrderDecision {
        val order = EndpointOrder(
            OrderId(random.nextLong()),
            endpoint.id,
            FencingNumber(pool.revision, ownerOffset),
            checkNotNull(endpoint.desired) { "expected a desired state of ${endpoint.id}" },
            steps
        )
        open = OpenOrder(order, nowMs)
        return OrderDecision.Issue(order)
    }

    /** An adapter is loaded beside running work; all other steps may interrupt the endpoint. */
    private fun takesLastServing(
        endpoint: EndpointSpec,
        steps: List<OrderStep>,
        nowMs: Long
    ): Boolean {
        if (steps.all { it is OrderStep.LoadAdapter }) return false
        if (!isServing(endpoint.id, nowMs)) return false
        return pool.endpoints.none { it.id != endpoint.id && canReplace(it.id, nowMs) }
    }

    /** After a failed order an endpoint may be between two states, so no other relies on it. */
    private fun canReplace(endpoint: EndpointId, nowMs: Long) =
        isServing(endpoint, nowMs) && progress(endpoint).failureCount == 0

    private fun isServing(endpoint: EndpointId, nowMs: Long): Boolean {
        if (endpoint in pool.leaving || endpoint in pool.drained) return false
        val deployed = progress(endpoint).currentState(nowMs) ?: return false
        return deployed.model == pool.model && deployed.role == EngineRole.MIXED
    }

    private fun progress(endpoint: EndpointId) = progressOf.getOrPut(endpoint) { Progress() }

    private fun Progress.currentState(nowMs: Long): DeployedState? =
        deployed?.takeIf { nowMs - reportedAtMs <= settings.reportAgeMs }

    private fun Progress.isAt(desired: EngineState, nowMs: Long): Boolean =
        currentState(nowMs)?.let { desired.stepsFrom(it).isEmpty() } ?: false

    private companion object {
        /** Beyond this the longest wait applies; more would overflow the shift. */
        const val MAX_DOUBLINGS = 20
    }
}

package cowslipcart.core.orders

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.EngineRole
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.LogOffset
import kotlin.random.Random

/** The planner that [createOrderPlanner] creates. */
internal class PoolOrderPlanner(
    private var pool: ManagedPool,
    private val random: Random,
    nowMs: Long,
    private val settings: OrderSettings
) : OrderPlanner {
    private class OpenOrder(val order: EndpointOrder, val issuedAtMs: Long)

    /** Last reported state of an endpoint and the backoff after its failed orders. */
    private class EndpointStatus {
        var deployed: DeployedState? = null
        var reportedAtMs = 0L

        /** Failed orders since the desired state was last reached. */
        var failureCount = 0

        /** Earliest time of the next order. */
        var notBeforeMs = Long.MIN_VALUE

        /** Whether [OrderDecision.Held] was reported and still holds. */
        var isHeld = false
    }

    private val statuses = HashMap<EndpointId, EndpointStatus>()
    private val rateLimiter = OrderRateLimiter(nowMs)
    private var openOrder: OpenOrder? = null

    override fun configure(pool: ManagedPool) {
        val desiredBefore = this.pool.endpoints.associate { it.id to it.desired }
        this.pool = pool
        for (endpoint in pool.endpoints) {
            if (endpoint.desired != desiredBefore[endpoint.id]) {
                status(endpoint.id).notBeforeMs = Long.MIN_VALUE
            }
        }
        val declared = pool.endpoints.mapTo(mutableSetOf()) { it.id }
        statuses.keys.retainAll(declared)
        if (openOrder?.order?.endpoint !in declared) openOrder = null
    }

    override fun onStateReported(endpoint: EndpointId, deployed: DeployedState, nowMs: Long) {
        if (pool.endpoints.none { it.id == endpoint }) return
        val status = status(endpoint)
        status.deployed = deployed
        status.reportedAtMs = nowMs
    }

    override fun onResult(order: OrderId, result: OrderResult, nowMs: Long): List<OrderDecision> {
        val current = openOrder?.order?.takeIf { it.id == order } ?: return emptyList()
        return when (result) {
            OrderResult.Accepted -> emptyList()
            is OrderResult.Failed -> listOf(fail(current, result.detail, nowMs))
        }
    }

    override fun plan(ownerOffset: LogOffset?, nowMs: Long): List<OrderDecision> {
        val closed = closeOpenOrder(nowMs)
        if (openOrder != null || ownerOffset == null) return closed
        return closed + issueNext(ownerOffset, nowMs)
    }

    private fun closeOpenOrder(nowMs: Long): List<OrderDecision> {
        val current = openOrder ?: return emptyList()
        val order = current.order
        val status = status(order.endpoint)
        if (status.isInState(order.desired, nowMs)) {
            openOrder = null
            status.failureCount = 0
            return listOf(OrderDecision.Applied(order))
        }
        val ageMs = nowMs - current.issuedAtMs
        if (ageMs < settings.orderTimeoutMs) return emptyList()
        val detail = "expected the state within ${settings.orderTimeoutMs} ms, waited $ageMs ms"
        return listOf(fail(order, detail, nowMs))
    }

    private fun fail(order: EndpointOrder, detail: String, nowMs: Long): OrderDecision {
        openOrder = null
        val status = status(order.endpoint)
        status.failureCount++
        val doublings = (status.failureCount - 1).coerceAtMost(MAX_DOUBLINGS)
        val baseMs = (settings.initialBackoffMs shl doublings).coerceAtMost(settings.maxBackoffMs)
        val backoffMs = baseMs / 2 + random.nextLong(baseMs)
        status.notBeforeMs = nowMs + backoffMs
        return OrderDecision.Failed(order, detail, backoffMs)
    }

    /**
     * Takes the endpoints in the order of their ids, so that a new owner first repeats the order
     * that the previous owner may have left unfinished.
     */
    private fun issueNext(ownerOffset: LogOffset, nowMs: Long): List<OrderDecision> {
        val decisions = mutableListOf<OrderDecision>()
        for (endpoint in pool.endpoints) {
            val steps = stepsToDesired(endpoint, nowMs)
            val status = status(endpoint.id)
            val desired = endpoint.desired
            if (desired == null || status.isInState(desired, nowMs)) status.failureCount = 0
            val isHeld = steps.isNotEmpty() && interruptsLastServing(endpoint, steps, nowMs)
            if (isHeld && !status.isHeld) decisions += OrderDecision.Held(endpoint.id)
            status.isHeld = isHeld
            if (steps.isEmpty() || isHeld || nowMs < status.notBeforeMs) continue
            if (!rateLimiter.tryAcquire(pool.ordersPerMinute, nowMs)) break
            decisions += issue(endpoint, steps, ownerOffset, nowMs)
            break
        }
        return decisions
    }

    private fun stepsToDesired(endpoint: EndpointSpec, nowMs: Long): List<OrderStep> {
        val desired = endpoint.desired ?: return emptyList()
        val deployed = status(endpoint.id).currentState(nowMs) ?: return emptyList()
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
        openOrder = OpenOrder(order, nowMs)
        return OrderDecision.Issue(order)
    }

    /**
     * Whether [steps] may interrupt the last serving endpoint of the pool. An adapter is loaded
     * while requests run; all other steps may interrupt the endpoint.
     */
    private fun interruptsLastServing(
        endpoint: EndpointSpec,
        steps: List<OrderStep>,
        nowMs: Long
    ): Boolean {
        if (steps.all { it is OrderStep.LoadAdapter }) return false
        if (!isServing(endpoint.id, nowMs)) return false
        return pool.endpoints.none { it.id != endpoint.id && canReplace(it.id, nowMs) }
    }

    /** An endpoint may be between two states after a failed order, so it cannot stand in. */
    private fun canReplace(endpoint: EndpointId, nowMs: Long) =
        isServing(endpoint, nowMs) && status(endpoint).failureCount == 0

    private fun isServing(endpoint: EndpointId, nowMs: Long): Boolean {
        if (endpoint in pool.leaving || endpoint in pool.drained) return false
        val deployed = status(endpoint).currentState(nowMs) ?: return false
        return deployed.model == pool.model && deployed.role == EngineRole.MIXED
    }

    private fun status(endpoint: EndpointId) = statuses.getOrPut(endpoint) { EndpointStatus() }

    private fun EndpointStatus.currentState(nowMs: Long): DeployedState? =
        deployed?.takeIf { nowMs - reportedAtMs <= settings.maxReportAgeMs }

    private fun EndpointStatus.isInState(desired: EngineState, nowMs: Long): Boolean =
        currentState(nowMs)?.let { desired.stepsFrom(it).isEmpty() } ?: false

    private companion object {
        /** The longest wait applies well before this; more doublings would overflow the shift. */
        const val MAX_DOUBLINGS = 20
    }
}

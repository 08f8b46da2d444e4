package cowslipcart.core.orders

import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.EngineRole
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.Revision
import kotlin.random.Random

internal const val MODEL = "fitting"
internal val ownOffset = LogOffset(4)
internal val first = EndpointId("runner-1")
internal val second = EndpointId("runner-2")
internal val oldState = DeployedState(MODEL, "v1", emptySet(), EngineRole.MIXED)
internal val newState = DeployedState(MODEL, "v2", emptySet(), EngineRole.MIXED)

internal fun endpoint(id: EndpointId, desired: EngineState? = EngineState(MODEL, "v2")) =
    EndpointSpec(
        id,
        PoolId("drafts"),
        "127.0.0.1:1",
        DomainId("d"),
        slotCount = 8,
        budgetTokens = 64_000,
        prefillTokensPerS = 8_000.0,
        decodeTokensPerS = 40.0,
        cacheTokens = 0,
        canResume = false,
        checksFencing = true,
        desired = desired
    )

/** A planner in virtual time whose engines report their states before each call of `plan`. */
internal class OrderFixture(
    vararg endpoints: EndpointSpec = arrayOf(endpoint(first), endpoint(second)),
    ordersPerMinute: Double = 6.0
) {
    var pool = ManagedPool(
        MODEL,
        endpoints.toList(),
        leaving = emptySet(),
        drained = emptySet(),
        ordersPerMinute,
        Revision(7)
    )
        set(value) {
            field = value
            planner.configure(value)
        }
    var nowMs = 0L
    val deployed = endpoints.associateTo(mutableMapOf()) { it.id to oldState }
    private val planner = createOrderPlanner(pool, Random(SEED), nowMs)

    fun planAt(timeMs: Long, ownerOffset: LogOffset? = ownOffset): List<OrderDecision> {
        nowMs = timeMs
        deployed.forEach { (id, state) -> planner.onStateReported(id, state, nowMs) }
        return planner.plan(ownerOffset, nowMs)
    }

    /** Plans once a second up to [endMs] and returns the orders issued. */
    fun ordersUntil(endMs: Long): List<EndpointOrder> =
        (nowMs + PLAN_INTERVAL_MS..endMs step PLAN_INTERVAL_MS).flatMap { orders(planAt(it)) }

    /** Plans once a second until an order is issued, and returns it. */
    fun nextOrder(): EndpointOrder = generateSequence { orders(planAt(nowMs + PLAN_INTERVAL_MS)) }
        .take(MAX_PLANS)
        .first { it.isNotEmpty() }
        .single()

    fun refuse(order: EndpointOrder): List<OrderDecision> =
        planner.onResult(order.id, OrderResult.Failed("refused"), nowMs)

    fun fail(order: EndpointOrder) = refuse(order).single() as OrderDecision.Failed

    fun orders(decisions: List<OrderDecision>) =
        decisions.filterIsInstance<OrderDecision.Issue>().map { it.order }

    companion object {
        const val SEED = 11
        const val PLAN_INTERVAL_MS = 1_000L
        const val MAX_PLANS = 1_000
    }
}

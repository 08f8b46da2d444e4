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

/** A planner in virtual time whose engines report their states before each turn. */
internal class OrderFixture(
    vararg endpoints: EndpointSpec = arrayOf(endpoint(first), endpoint(second)),
    ordersPerMinute: Double = 6.0
) {
    var pool = OrderedPool(
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

    fun turnAt(timeMs: Long, owner: LogOffset? = ownOffset): List<OrderDecision> {
        nowMs = timeMs
        deployed.forEach { (id, state) -> planner.onDeployed(id, state, nowMs) }
        return planner.plan(owner, nowMs)
    }

    /** Takes a turn each second up to [endMs] and returns the orders issued. */
    fun ordersUntil(endMs: Long): List<EndpointOrder> =
        (nowMs + TURN_MS..endMs step TURN_MS).flatMap { orders(turnAt(it)) }

    /** Takes turns until an order is issued. */
    fun nextOrder(): EndpointOrder = generateSequence { orders(turnAt(nowMs + TURN_MS)) }
        .take(MAX_TURNS)
        .first { it.isNotEmpty() }
        .single()

    fun refuse(order: EndpointOrder): List<OrderDecision> =
        planner.onResult(order.id, OrderResult.Failed("refused"), nowMs)

    fun fail(order: EndpointOrder) = refuse(order).single() as OrderDecision.Failed

    fun orders(decisions: List<OrderDecision>) =
        decisions.filterIsInstance<OrderDecision.Issue>().map { it.order }

    companion object {
        const val SEED = 11
        const val TURN_MS = 1_000L
        const val MAX_TURNS = 1_000
    }
}

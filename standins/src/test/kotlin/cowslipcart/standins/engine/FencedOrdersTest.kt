package cowslipcart.standins.engine

import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.Revision
import cowslipcart.core.orders.DeployedState
import cowslipcart.core.orders.EndpointOrder
import cowslipcart.core.orders.ManagedPool
import cowslipcart.core.orders.OrderDecision
import cowslipcart.core.orders.OrderPlanner
import cowslipcart.core.orders.OrderStep
import cowslipcart.core.orders.createOrderPlanner
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

/** Guards against a paused owner whose orders undo or interleave with those of its successor. */
class FencedOrdersTest {
    private val id = EndpointId("runner-1")
    private val desired = EngineState("fitting", "v2", setOf("a", "b"))

    private fun planner(): OrderPlanner {
        val endpoint = EndpointSpec(
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
        val pool = ManagedPool(
            "fitting",
            listOf(endpoint),
            leaving = emptySet(),
            drained = emptySet(),
            ordersPerMinute = 60.0,
            Revision(3)
        )
        return createOrderPlanner(pool, Random(1), nowMs = 0)
    }

    private fun OrderPlanner.orderFor(engine: EngineModel, offset: Long): EndpointOrder {
        onStateReported(id, engine.deployment.toDeployed(), 1_000)
        return plan(LogOffset(offset), 1_000)
            .filterIsInstance<OrderDecision.Issue>().single().order
    }

    private fun EngineModel.submitStep(step: OrderStep, order: EndpointOrder) = order(
        step.toEngineOrder(),
        FencingNumber(order.fencing.revision, order.fencing.ownerOffset),
        1_000
    )

    private fun EngineDeployment.toDeployed() = DeployedState(
        model,
        version,
        adapters,
        cowslipcart.core.model.EngineRole.valueOf(role.name)
    )

    private fun OrderStep.toEngineOrder(): EngineOrder = when (this) {
        is OrderStep.LoadModel -> EngineOrder.LoadModel(model)
        is OrderStep.LoadVersion -> EngineOrder.LoadVersion(version)
        is OrderStep.LoadAdapter -> EngineOrder.LoadAdapter(adapter)
        is OrderStep.SetRole -> EngineOrder.SetRole(EngineRole.valueOf(role.name))
    }

    @Nested
    inner class CheckingEngine {
        @Test
        fun `orders of a paused owner are refused after its successor has issued orders`() {
            val engine = createEngineModel(EngineSettings())
            val paused = planner().orderFor(engine, offset = 4)
            val current = planner().orderFor(engine, offset = 9)
            current.steps.forEach { engine.submitStep(it, current) }

            for (step in paused.steps) {
                assertIs<EngineError.StaleFencing>(engine.submitStep(step, paused).leftOrNull())
            }
        }
    }

    @Nested
    inner class IgnoringEngine {
        @Test
        fun `steps of two owners in any interleaving end in the desired state`() {
            val random = Random(1)
            repeat(200) { round ->
                val engine = createEngineModel(EngineSettings(checksFencing = false))
                val orders = List(2) { planner().orderFor(engine, offset = it.toLong()) }
                val remaining = orders.map { ArrayDeque(it.steps) }
                while (remaining.any { it.isNotEmpty() }) {
                    val index = random.nextInt(2)
                    val step = remaining[index].removeFirstOrNull() ?: continue
                    engine.submitStep(step, orders[index])
                }
                engine.advance(60_000)

                val deployed = engine.deployment
                assertEquals("v2", deployed.version, "round $round")
                assertEquals(setOf("a", "b"), deployed.adapters, "round $round")
            }
        }
    }
}

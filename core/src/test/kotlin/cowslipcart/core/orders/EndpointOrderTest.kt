package cowslipcart.core.orders

import cowslipcart.core.model.EngineRole
import cowslipcart.core.model.EngineState
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against orders that leave an engine in another state than the desired one. */
class EndpointOrderTest {
    private val desired = EngineState(MODEL, "v2", setOf("b", "a"), EngineRole.DECODE)
    private val loadAll = listOf(
        OrderStep.LoadModel(MODEL),
        OrderStep.LoadVersion("v2"),
        OrderStep.LoadAdapter("a"),
        OrderStep.LoadAdapter("b")
    )

    @Nested
    inner class Steps {
        @Test
        fun `an engine in the desired state needs no steps`() {
            val reached = DeployedState(MODEL, "v2", setOf("a", "b"), EngineRole.DECODE)

            assertEquals(emptyList(), desired.stepsFrom(reached))
        }

        @Test
        fun `an engine without a model gets all steps`() {
            val empty = DeployedState(null, null, emptySet(), EngineRole.MIXED)

            assertEquals(loadAll + OrderStep.SetRole(EngineRole.DECODE), desired.stepsFrom(empty))
        }

        @Test
        fun `a surplus adapter reloads the model and everything that this unloads`() {
            val surplus = DeployedState(MODEL, "v2", setOf("a", "b", "c"), EngineRole.DECODE)

            assertEquals(loadAll, desired.stepsFrom(surplus))
        }

        @Test
        fun `an undeclared version leaves the loaded one in place`() {
            val unversioned = EngineState(MODEL)

            assertEquals(emptyList(), unversioned.stepsFrom(oldState))
        }
    }
}

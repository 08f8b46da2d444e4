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
        fun `an engine in the desired state needs none`() {
            val there = DeployedState(MODEL, "v2", setOf("a", "b"), EngineRole.DECODE)

            assertEquals(emptyList(), desired.stepsFrom(there))
        }

        @Test
        fun `an empty engine gets everything`() {
            val empty = DeployedState(null, null, emptySet(), EngineRole.MIXED)

            assertEquals(loadAll + OrderStep.SetRole(EngineRole.DECODE), desired.stepsFrom(empty))
        }

        @Test
        fun `an adapter too many reloads the model and all that this drops`() {
            val other = DeployedState(MODEL, "v2", setOf("a", "b", "c"), EngineRole.DECODE)

            assertEquals(loadAll, desired.stepsFrom(other))
        }

        @Test
        fun `a version that is not declared is left as it is`() {
            val any = EngineState(MODEL)

            assertEquals(emptyList(), any.stepsFrom(oldState))
        }
    }
}

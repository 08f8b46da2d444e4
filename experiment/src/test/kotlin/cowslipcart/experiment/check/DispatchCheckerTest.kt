package cowslipcart.experiment.check

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.RequestId
import cowslipcart.experiment.sim.TraceEvent
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against a checker that misses a second dispatch of a request. */
class DispatchCheckerTest {
    @Nested
    inner class Breaches {
        @Test
        fun `two dispatches`() = assertBreaches(1, dispatched("a"), dispatched("b"))

        @Test
        fun `two dispatches to the same endpoint`() =
            assertBreaches(1, dispatched("a"), dispatched("a"))

        @Test
        fun `a resume on another endpoint`() = assertBreaches(1, dispatched("a"), resumed("b"))

        @Test
        fun `a resume without a dispatch`() = assertBreaches(1, resumed("a"))
    }

    @Nested
    inner class Permitted {
        @Test
        fun `one dispatch with two resumes`() =
            assertBreaches(0, dispatched("a"), resumed("a"), resumed("a"))
    }

    private fun assertBreaches(expected: Int, vararg trace: TraceEvent) =
        assertEquals(expected, findDispatchBreaches(trace.toList()).size)

    private fun dispatched(endpoint: String) =
        TraceEvent.Dispatched(10, RequestId("r1"), EndpointId(endpoint), isResume = false)

    private fun resumed(endpoint: String) =
        TraceEvent.Dispatched(20, RequestId("r1"), EndpointId(endpoint), isResume = true)
}

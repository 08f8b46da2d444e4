package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against baselines that queue, ignore their policy or use an unavailable endpoint. */
class BaselineSchedulerTest {
    private val two = config(endpoint("a", slots = 1), endpoint("b", slots = 1))

    private fun load(endpoint: String, running: Int, isLeaving: Boolean = false) =
        LoadReport(EndpointId(endpoint), 0, running, 0, isLeaving)

    @Nested
    inner class AllBaselines {
        private val policies = listOf(
            SchedulerPolicy.RoundRobin,
            SchedulerPolicy.LeastReportedLoad,
            SchedulerPolicy.TwoRandomChoices
        )

        @Test
        fun `grant at once beyond the slots`() {
            for (policy in policies) {
                val scheduler = schedulerOf(two, policy)
                repeat(20) { assertEquals(1, scheduler.submit(request("r$it"), 0).grants.size) }
            }
        }

        @Test
        fun `do not use an unavailable endpoint`() {
            for (policy in policies) {
                val scheduler =
                    schedulerOf(
                        config(*two.endpoints.toTypedArray(), unavailable = setOf("a")),
                        policy
                    )
                repeat(5) {
                    assertEquals("b", scheduler.submit(request("r$it"), 0).grantedEndpoint)
                }
            }
        }

        @Test
        fun `do not use an endpoint that announced that it is leaving`() {
            for (policy in policies) {
                val scheduler = schedulerOf(two, policy)
                scheduler.applyLoadReport(load("b", 0, isLeaving = true), 0)
                repeat(5) {
                    assertEquals("a", scheduler.submit(request("r$it"), 0).grantedEndpoint)
                }
            }
        }

        @Test
        fun `refuse without an endpoint`() {
            for (policy in policies) {
                val scheduler = schedulerOf(config(), policy)
                val refusal = scheduler.submit(request("r"), 0).refusals.single()
                assertEquals(RefusalReason.NO_ENDPOINT, refusal.reason)
            }
        }
    }

    @Nested
    inner class Choice {
        @Test
        fun `round-robin takes endpoints in turn`() {
            val scheduler = schedulerOf(two, SchedulerPolicy.RoundRobin)
            val chosen = List(4) { scheduler.submit(request("r$it"), 0).grantedEndpoint }
            assertEquals(listOf("a", "b", "a", "b"), chosen)
        }

        @Test
        fun `least-reported-load takes the least of the last reports`() {
            val scheduler = schedulerOf(two, SchedulerPolicy.LeastReportedLoad)
            scheduler.applyLoadReport(load("a", 5), 0)
            scheduler.applyLoadReport(load("b", 3), 0)
            assertEquals("b", scheduler.submit(request("r"), 0).grantedEndpoint)
        }

        @Test
        fun `two-random-choices avoids the most loaded of three`() {
            val three = config(endpoint("a"), endpoint("b"), endpoint("c"))
            val scheduler = schedulerOf(three, SchedulerPolicy.TwoRandomChoices)
            scheduler.applyLoadReport(load("c", 9), 0)
            val chosen = List(50) { scheduler.submit(request("r$it"), 0).grantedEndpoint }
            assertTrue("c" !in chosen, "expected no grant on c, got $chosen")
        }
    }
}

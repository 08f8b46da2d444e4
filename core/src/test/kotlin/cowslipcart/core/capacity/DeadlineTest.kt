package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against requests that are granted or queued although they would miss their deadline. */
class DeadlineTest {
    private val scheduler = schedulerOf(config(endpoint("a", slots = 1)))

    private fun List<SchedulerDecision>.deadlineRefusals() =
        refusals.filter { it.reason == RefusalReason.DEADLINE }.ids

    @Nested
    inner class OnArrival {
        @Test
        fun `a prompt too long for the deadline is refused`() {
            val decisions = scheduler.submit(request("r", prefill = 5_000, timeLeftMs = 4_000), 0)
            assertEquals(listOf("r"), decisions.deadlineRefusals())
        }

        @Test
        fun `an answer too long for the deadline is refused`() {
            val decisions = scheduler.submit(request("r", output = 500, timeLeftMs = 4_000), 0)
            assertEquals(listOf("r"), decisions.deadlineRefusals())
        }

        @Test
        fun `a prompt that is mostly cached is not refused`() {
            val prefix = (1..70).toList()
            val first = scheduler.submit(request("first", prefill = 4_500, prefix = prefix), 0)
            scheduler.release(report(first.grants.single().grantId), 6_000)
            val again = request("r", prefill = 4_500, prefix = prefix, timeLeftMs = 4_000)
            assertEquals(listOf("r"), scheduler.submit(again, 6_000).grants.ids)
        }

        @Test
        fun `the fastest endpoint decides`() {
            val mixed = schedulerOf(config(endpoint("a"), endpoint("b", prefillPerS = 9_000.0)))
            val decisions = mixed.submit(request("r", prefill = 5_000, timeLeftMs = 4_000), 0)
            assertEquals("b", decisions.grantedEndpoint)
        }
    }

    @Nested
    inner class InTheQueue {
        @Test
        fun `a request is refused once it can no longer finish in time`() {
            scheduler.submit(request("long", output = 9_000), 0)
            val waiting = request("r", prefill = 100, timeLeftMs = 5_000)
            assertEquals(emptyList(), scheduler.submit(waiting, 0))
            assertEquals(emptyList(), scheduler.tick(2_800))
            assertEquals(listOf("r"), scheduler.tick(2_950).deadlineRefusals())
        }

        @Test
        fun `a request without deadline waits`() {
            scheduler.submit(request("long", output = 9_000), 0)
            scheduler.submit(request("r"), 0)
            assertEquals(emptyList(), scheduler.tick(100_000))
        }

        @Test
        fun `a repeated submission sets a new deadline`() {
            scheduler.submit(request("long", output = 9_000), 0)
            scheduler.submit(request("r", timeLeftMs = 5_000), 0)
            scheduler.submit(request("r", timeLeftMs = 5_000), 1_000)
            assertEquals(emptyList(), scheduler.tick(3_500))
        }

        @Test
        fun `a request does not start behind prompts with too long a prefill`() {
            val wide = schedulerOf(config(endpoint("a", slots = 9)))
            wide.submit(request("long", prefill = 10_000), 0)
            assertEquals(emptyList(), wide.submit(request("r", timeLeftMs = 5_000), 0))
        }
    }

    @Nested
    inner class OutputEstimate {
        @Test
        fun `follows what the organisation's requests produced`() {
            repeat(5) { round ->
                val grant = scheduler.submit(request("r$round", output = 1_000), 0).grants.single()
                scheduler.release(report(grant.grantId, output = 50), 0)
            }
            val next = request("next", output = 1_000, timeLeftMs = 5_000)
            assertEquals(listOf("next"), scheduler.submit(next, 0).grants.ids)
        }

        @Test
        fun `is not changed by cancelled requests`() {
            repeat(5) { round ->
                val grant = scheduler.submit(request("r$round", output = 1_000), 0).grants.single()
                scheduler.release(report(grant.grantId, GrantEnd.CANCELLED, output = 50), 0)
            }
            val next = request("next", output = 1_000, timeLeftMs = 5_000)
            assertEquals(listOf("next"), scheduler.submit(next, 0).deadlineRefusals())
        }

        @Test
        fun `is not changed by adopted grants, which estimate only the rest of the output`() {
            val running = List(5) {
                val rest = request("r$it", output = 1)
                RunningGrant(GrantId("old-$it"), EndpointId("a"), rest, sentTokens = 100)
            }
            scheduler.adopt(running, 0)
            for (grant in running) scheduler.release(report(grant.grantId, output = 300), 0)
            val next = request("next", output = 100, timeLeftMs = 5_000)
            assertEquals(listOf("next"), scheduler.submit(next, 0).grants.ids)
        }

        @Test
        fun `of one organisation leaves others alone`() {
            repeat(5) { round ->
                val grant = scheduler.submit(request("r$round", output = 1_000), 0).grants.single()
                scheduler.release(report(grant.grantId, output = 50), 0)
            }
            val next =
                request("next", organisation = "playsafe", output = 1_000, timeLeftMs = 5_000)
            assertEquals(listOf("next"), scheduler.submit(next, 0).deadlineRefusals())
        }
    }
}

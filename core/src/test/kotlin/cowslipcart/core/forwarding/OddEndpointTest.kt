package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class OddEndpointTest {
    private val fixture = ForwardingFixture()

    private fun context(call: ForwardedCall): DecisionContext =
        fixture.send(ForwardingInput.Arrived(call))
            .filterIsInstance<ForwardingEffect.Command>().single().context

    @Nested
    inner class LargeNumbers {
        /** Guards against an overflow of the sum of slots, which ended the control thread. */
        @Test
        fun `requests are placed among many hosts whatever the number of slots`() {
            val hosts = (1..MANY_HOSTS).associate { HostId("host-$it") to HostProfile("a", 1.0) }
            fixture.controller.onHostsListed(hosts, fixture.nowMs)
            fixture.controller.reportPlan(fixture.nowMs)
            fixture.listEndpoints(entry("e1", Int.MAX_VALUE), entry("e2", Int.MAX_VALUE))

            repeat(4) {
                assertIs<CallCommand.Dispatch>(fixture.arrive(fixture.call(rank = 1)).single())
            }
        }

        @Test
        fun `the sums of slots in the log are not negative`() {
            fixture.listEndpoints(entry("e1", Int.MAX_VALUE), entry("e2", Int.MAX_VALUE))
            val context = context(fixture.call())

            assertEquals(2L * Int.MAX_VALUE, context.slotCount)
            assertTrue(context.freeSlots > 0, "found ${context.freeSlots}")
        }

        @Test
        fun `an extreme load reported by another host leaves placement in order`() {
            val id = EndpointId("e1")
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val extremes = listOf(Int.MIN_VALUE, Int.MAX_VALUE)
            for ((index, running) in extremes.withIndex()) {
                fixture.report("host-$index", 1, mapOf(id to HostLoad(running, Long.MAX_VALUE)))
                fixture.arrive(fixture.call())
            }
        }
    }

    private companion object {
        /** Enough hosts for several groups, where endpoints are picked by their free slots. */
        const val MANY_HOSTS = 40
    }
}

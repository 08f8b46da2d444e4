package cowslipcart.experiment.check

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import cowslipcart.experiment.sim.TraceEvent
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against a checker that misses a breach or reports a permitted refusal. */
class ShedRuleCheckerTest {
    private val top = RequestId("top")
    private val low = RequestId("low")
    private val endpoint = EndpointId("g1-1")

    @Nested
    inner class Breaches {
        @Test
        fun `a refusal while lower work is queued`() = assertBreaches(1, refused(top))

        @Test
        fun `a refusal while lower work runs`() = assertBreaches(1, granted(low), refused(top))

        @Test
        fun `an expired wait while lower work runs`() =
            assertBreaches(1, granted(low), TraceEvent.Expired(50, top))

        @Test
        fun `a refusal for a deadline that passed in the queue`() =
            assertBreaches(1, granted(low), refused(top, RefusalReason.DEADLINE))

        @Test
        fun `a refusal while lower work was told to give way but still runs`() =
            assertBreaches(1, granted(low), TraceEvent.GiveWayOrdered(40, low), refused(top))

        @Test
        fun `a refusal while a stream that gave way waits on the same endpoint`() =
            assertBreaches(1, granted(low), TraceEvent.GaveWay(40, low, endpoint), refused(top))
    }

    @Nested
    inner class Permitted {
        @Test
        fun `a refusal after the lower work has ended`() = assertBreaches(
            0,
            granted(low),
            TraceEvent.Released(40, low),
            refused(top)
        )

        @Test
        fun `a refusal of the lower work itself`() = assertBreaches(0, refused(low))

        @Test
        fun `a refusal on arrival for an impossible deadline`() = assertBreaches(
            0,
            TraceEvent.Refused(20, top, RefusalReason.DEADLINE)
        )

        @Test
        fun `a refusal while lower work runs that cannot be interrupted`() {
            val trace = listOf(
                asked(10, low, 2, isInterruptible = false),
                asked(20, top, 0, isInterruptible = false),
                granted(low),
                refused(top)
            )

            assertEquals(emptyList(), findShedRuleBreaches(trace))
        }

        @Test
        fun `a refusal after the host of the lower work died`() = assertBreaches(
            0,
            granted(low),
            TraceEvent.HostKilled(40, HostId("host-low")),
            refused(top)
        )

        @Test
        fun `a stream bound to another endpoint than the lower work`() = assertBreaches(
            0,
            granted(low),
            TraceEvent.GaveWay(40, top, EndpointId("g2-1")),
            refused(top)
        )
    }

    private fun assertBreaches(expected: Int, vararg events: TraceEvent) {
        val trace = listOf(asked(10, low, 2, true), asked(20, top, 0, true)) + events

        assertEquals(expected, findShedRuleBreaches(trace).size)
    }

    private fun asked(atMs: Long, id: RequestId, rank: Int, isInterruptible: Boolean) =
        TraceEvent.Asked(atMs, id, HostId("host-$id"), Tier(rank), isInterruptible)

    private fun granted(id: RequestId) = TraceEvent.Granted(30, id, endpoint)

    private fun refused(id: RequestId, reason: RefusalReason = RefusalReason.SHARD_FULL) =
        TraceEvent.Refused(50, id, reason)
}

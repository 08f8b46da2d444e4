package cowslipcart.core.origin

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.limits.RetryBudget
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against a burst of asks to a new owner and against unbounded retries. */
class OwnerChangeRetryTest {
    private val fixture = OriginFixture()
    private val origin = fixture.origin

    private fun startMany(count: Int, tier: Tier) = repeat(count) {
        fixture.start(fixture.request(id = RequestId("t${tier.rank}-$it"), tier = tier))
    }

    private fun asksIn(effects: List<OriginEffect>) =
        effects.filterIsInstance<OriginEffect.SendAsk>()

    private fun rejectionsIn(effects: List<OriginEffect>) =
        effects.filterIsInstance<OriginEffect.Reject>()

    @Nested
    inner class Jitter {
        @Test
        fun `a thousand waiting requests do not ask a new owner all at once`() {
            startMany(1_000, Tier(0))
            assertTrue(asksIn(origin.onOwnerChanged(fixture.shard, 100)).isEmpty())

            val stepsMs = (100L..100 + OriginController.MAX_JITTER_MS step 20).toList()
            val counts = stepsMs.map { asksIn(origin.tick(it)).size }

            assertEquals(1_000, counts.sum())
            assertTrue(counts.max() <= 200, "expected at most 200 asks in a step, found $counts")
        }

        @Test
        fun `a second owner change neither delays nor repeats a scheduled ask`() {
            startMany(1, Tier(0))
            origin.onOwnerChanged(fixture.shard, 0)
            origin.onOwnerChanged(fixture.shard, 150)

            assertEquals(1, asksIn(origin.tick(OriginController.MAX_JITTER_MS)).size)
        }

        @Test
        fun `the ask is repeated at the usual interval after the ask to the new owner`() {
            startMany(1, Tier(0))
            origin.onOwnerChanged(fixture.shard, 0)
            origin.tick(OriginController.MAX_JITTER_MS)

            val nextMs = OriginController.MAX_JITTER_MS + OriginController.REPEAT_INTERVAL_MS
            assertTrue(asksIn(origin.tick(nextMs - 1)).isEmpty())
            assertEquals(1, asksIn(origin.tick(nextMs)).size)
        }
    }

    @Nested
    inner class Budget {
        @Test
        fun `beyond the budget a waiting request ends as not run and cancels its ask`() {
            startMany(1_000, Tier(1))

            val effects = origin.onOwnerChanged(fixture.shard, 100)

            assertEquals(900, rejectionsIn(effects).size)
            rejectionsIn(effects).forEach { assertIs<Rejection.NotRun>(it.rejection) }
            assertEquals(900, effects.filterIsInstance<OriginEffect.SendCancelAsk>().size)
            assertEquals(100, origin.openCount)
        }

        @Test
        fun `the top tier is not shed and spends the budget first`() {
            startMany(50, Tier(1))
            startMany(50, Tier(0))

            val effects = origin.onOwnerChanged(fixture.shard, 100)

            assertEquals(50, rejectionsIn(effects).count { it.requestId.value.startsWith("t1") })
            assertEquals(50, origin.openCount)
        }

        @Test
        fun `requests that are proven not run are retried only within the budget`() {
            startMany(RetryBudget.MIN_RETRIES + 1, Tier(0))

            val ends = (0..RetryBudget.MIN_RETRIES).map { refuseDispatch(RequestId("t0-$it")) }

            assertEquals(RetryBudget.MIN_RETRIES, ends.count { asksIn(it).size == 1 })
            assertIs<Rejection.NotRun>(ends.last().rejection())
        }

        private fun refuseDispatch(id: RequestId): List<OriginEffect> {
            val grantId = GrantId("g-$id")
            origin.onGranted(fixture.grant(id = grantId).copy(requestId = id), 10)
            val report = fixture.report(GrantEnd.FAILED).copy(grantId = grantId)
            return origin.onStreamEnd(id, StreamEnd.ProvenNotRun(report, "refused"), 20)
        }
    }
}

package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import org.junit.jupiter.api.Nested

/** Guards against capacity granted twice or lost when a shard gets a new owner or origins fail. */
class OwnerChangeTest {
    private val one = config(endpoint("a", slots = 1))

    private fun running(id: String, grant: String = "old-1", origin: String = "host-1") =
        RunningGrant(GrantId(grant), EndpointId("a"), request(id, origin = origin), sentTokens = 5)

    @Nested
    inner class Rebuild {
        private val scheduler = schedulerOf(one, rebuild = true)

        @Test
        fun `tier 0 is granted at once`() {
            assertEquals(1, scheduler.submit(request("top", tier = 0), 0).grants.size)
        }

        @Test
        fun `lower tiers are granted after 1 s`() {
            assertEquals(emptyList(), scheduler.submit(request("lower"), 0))
            assertEquals(emptyList(), scheduler.tick(999))
            assertEquals(listOf("lower"), scheduler.tick(1_000).grants.ids)
        }

        @Test
        fun `an adopted grant takes its slot`() {
            scheduler.adopt(listOf(running("old")), 0)
            scheduler.submit(request("lower"), 0)
            assertEquals(emptyList(), scheduler.tick(1_000))
            val report = report(GrantId("old-1"))
            assertEquals(listOf("lower"), scheduler.release(report, 1_100).grants.ids)
        }

        @Test
        fun `a queued request that already runs is not granted again`() {
            scheduler.submit(request("old"), 0)
            val adopted = scheduler.adopt(listOf(running("old")), 10)
            assertEquals(emptyList(), adopted + scheduler.tick(2_000))
        }

        @Test
        fun `a grant reported twice takes one slot`() {
            repeat(2) { scheduler.adopt(listOf(running("old")), 0) }
            scheduler.submit(request("lower"), 0)
            val freed = scheduler.release(report(GrantId("old-1")), 1_100)
            assertEquals(listOf("lower"), freed.grants.ids)
        }

        @Test
        fun `grant ids of two owners differ`() {
            val ids = listOf(1, 2).map { seed ->
                createShardScheduler(
                    SchedulerPolicy.CowslipCart,
                    one,
                    kotlin.random.Random(seed),
                    false
                )
                    .submit(request("r"), 0).grants.single().grantId
            }
            assertNotEquals(ids[0], ids[1])
        }
    }

    @Nested
    inner class Origin {
        private val scheduler = schedulerOf(one)
        private val first = scheduler.submit(request("first"), 0).grants.single()

        @Test
        fun `its grants and queued requests are dropped when it is dead`() {
            scheduler.submit(request("second"), 0)
            scheduler.submit(request("other", origin = "host-2"), 0)
            assertEquals(listOf("other"), scheduler.dropOrigin(HostId("host-1"), 10).grants.ids)
        }

        @Test
        fun `grants of other origins stay when one is dead`() {
            scheduler.submit(request("other", origin = "host-2"), 0)
            assertEquals(emptyList(), scheduler.dropOrigin(HostId("host-3"), 10).grants)
        }

        @Test
        fun `a repeated submission of a running request is ignored`() {
            scheduler.applyProgress(listOf(GrantProgress(first.grantId, 1)), 1_000)
            assertEquals(emptyList(), scheduler.submit(request("first"), 60_000))
        }

        @Test
        fun `a request submitted again long after an unconfirmed grant gets a new one`() {
            assertEquals(emptyList(), scheduler.submit(request("first"), 1_900))
            assertEquals(listOf("first"), scheduler.submit(request("first"), 2_000).grants.ids)
        }

        @Test
        fun `an unconfirmed grant of a live origin is lost`() {
            scheduler.submit(request("second"), 10_000)
            assertEquals(listOf("second"), scheduler.tick(10_000).grants.ids)
        }

        @Test
        fun `an unconfirmed grant of a silent origin stays`() {
            scheduler.submit(request("other", origin = "host-2"), 10_000)
            assertEquals(emptyList(), scheduler.tick(60_000).grants)
        }

        @Test
        fun `a confirmed grant stays`() {
            scheduler.applyProgress(listOf(GrantProgress(first.grantId, 0)), 1_000)
            scheduler.submit(request("second"), 20_000)
            assertEquals(emptyList(), scheduler.tick(20_000).grants)
        }
    }

    @Nested
    inner class Availability {
        private val two = arrayOf(endpoint("a"), endpoint("b"))

        @Test
        fun `an unavailable endpoint gets no work`() {
            val scheduler = schedulerOf(config(*two, unavailable = setOf("a")))
            val granted = (1..4).flatMap { scheduler.submit(request("r$it"), 0).grants }
            assertEquals(listOf("b", "b"), granted.map { it.endpoint.value })
        }

        @Test
        fun `queued requests are refused when the last endpoint becomes unavailable`() {
            val scheduler = schedulerOf(one)
            listOf("first", "second").forEach { scheduler.submit(request(it), 0) }
            val refusals = scheduler.reconfigure(
                config(endpoint("a"), unavailable = setOf("a")),
                10
            ).refusals
            assertEquals(listOf("second"), refusals.ids)
            assertEquals(RefusalReason.NO_ENDPOINT, refusals.single().reason)
        }

        @Test
        fun `a stream is not resumed on an unavailable endpoint`() {
            val scheduler = schedulerOf(config(*two, unavailable = setOf("a")))
            val refusal = scheduler.submit(request("r", resumeOn = "a"), 0).refusals.single()
            assertEquals(RefusalReason.NO_ENDPOINT to null, refusal.reason to refusal.retryAfterMs)
        }

        @Test
        fun `an added endpoint takes queued work`() {
            val scheduler = schedulerOf(one)
            listOf("first", "second").forEach { scheduler.submit(request(it), 0) }
            val decisions = scheduler.reconfigure(
                config(endpoint("a", slots = 1), endpoint("b")),
                10
            )
            assertEquals("b", decisions.grantedEndpoint)
        }

        @Test
        fun `a removed endpoint gets no work`() {
            val scheduler = schedulerOf(config(*two))
            scheduler.submit(request("first"), 0)
            scheduler.reconfigure(config(two[1]), 10)
            val granted = (1..4).flatMap { scheduler.submit(request("r$it"), 20).grants }
            assertEquals(listOf("b", "b"), granted.map { it.endpoint.value })
        }
    }
}

package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against placement by outdated load reports and speeds. */
class LoadCorrectionTest {
    private fun load(
        endpoint: String,
        ageMs: Long = 0,
        running: Int = 0,
        waitingTokens: Long = 0,
        isLeaving: Boolean = false
    ) = LoadReport(EndpointId(endpoint), ageMs, running, waitingTokens, isLeaving)

    @Nested
    inner class Speed {
        private val speed = SpeedEstimate(50.0, 0)

        @Test
        fun `a tenfold drop shows within 3 s`() {
            for (second in 1..3) speed.observe(5.0, 1_000.0, second * 1_000L)
            assertTrue(speed.tokensPerS < 10.0, "expected below 10/s, got ${speed.tokensPerS}")
        }

        @Test
        fun `single slow samples change little`() {
            for (second in 1..20) speed.observe(50.0, 1_000.0, second * 1_000L)
            speed.observe(30.0, 100.0, 20_100)
            assertTrue(speed.tokensPerS > 45.0, "expected above 45/s, got ${speed.tokensPerS}")
        }

        @Test
        fun `an endpoint without samples recovers`() {
            for (second in 1..5) speed.observe(5.0, 1_000.0, second * 1_000L)
            for (second in 6..90) speed.decay(second * 1_000L)
            assertTrue(speed.tokensPerS > 40.0, "expected above 40/s, got ${speed.tokensPerS}")
        }
    }

    @Nested
    inner class SlowEndpoint {
        private val scheduler =
            schedulerOf(config(endpoint("a", slots = 10), endpoint("b", slots = 10)))

        /** Runs 4 requests on each endpoint, of which `a` writes [slowTokensPerS]. */
        private fun runFor(seconds: Int, slowTokensPerS: Int) {
            val grants =
                List(8) { scheduler.submit(request("r$it", output = 500), 0).grants.single() }
            for (second in 1..seconds) {
                val reports = grants.map {
                    val rate = if (it.endpoint.value == "a") slowTokensPerS else 50
                    GrantProgress(it.grantId, 50 + rate * second)
                }
                scheduler.applyProgress(reports, second * 1_000L)
            }
        }

        @Test
        fun `gets no more work within 3 s of progress reports`() {
            runFor(seconds = 3, slowTokensPerS = 5)
            val chosen = List(5) { scheduler.submit(request("n$it"), 3_000).grantedEndpoint }
            assertEquals(List(5) { "b" }, chosen)
        }

        @Test
        fun `gets an equal share of the work while it is fast`() {
            runFor(seconds = 3, slowTokensPerS = 50)
            val chosen = List(4) { scheduler.submit(request("n$it"), 3_000).grantedEndpoint }
            assertEquals(2, chosen.count { it == "a" })
        }

        @Test
        fun `has fewer slots`() {
            val alone = schedulerOf(config(endpoint("a", slots = 10)))
            val grants = List(4) { alone.submit(request("r$it"), 0).grants.single() }
            for (second in 1..3) {
                alone.applyProgress(
                    grants.map {
                        GrantProgress(it.grantId, 5 * second)
                    },
                    second * 1_000L
                )
            }
            assertEquals(emptyList(), alone.submit(request("n"), 3_000))
        }

        @Test
        fun `is detected by an overdue prefill`() {
            val reads = endpoint("a", slots = 9)
            val alone = schedulerOf(config(reads, endpoint("b", slots = 9, prefillPerS = 500.0)))
            val grant = alone.submit(request("r", prefill = 400), 0).grants.single()
            for (second in 1..5) {
                alone.applyProgress(listOf(GrantProgress(grant.grantId, 0)), second * 1_000L)
            }
            assertEquals("b", alone.submit(request("n", prefill = 400), 5_000).grantedEndpoint)
        }
    }

    @Nested
    inner class Reports {
        private val scheduler =
            schedulerOf(config(endpoint("a", slots = 9), endpoint("b", slots = 9)))

        private fun choose(nowMs: Long) =
            scheduler.submit(request("probe", tier = 0, prefill = 500), nowMs).grantedEndpoint

        @Test
        fun `prompts that wait for prefill count`() {
            scheduler.applyLoadReport(load("a", waitingTokens = 4_000), 0)
            assertEquals("b", choose(0))
        }

        @Test
        fun `grants after the time of the report are added`() {
            scheduler.applyLoadReport(load("b", waitingTokens = 800), 0)
            scheduler.submit(request("first", prefill = 3_000), 0)
            scheduler.applyLoadReport(load("a", ageMs = 500, waitingTokens = 0), 400)
            assertEquals("b", choose(400))
        }

        @Test
        fun `prompt tokens processed since the time of the report are subtracted`() {
            scheduler.applyLoadReport(load("a", ageMs = 3_000, waitingTokens = 3_000), 5_000)
            scheduler.applyLoadReport(load("b", waitingTokens = 500), 5_000)
            assertEquals("a", choose(5_000))
        }

        @Test
        fun `requests without a grant take slots`() {
            val alone = schedulerOf(config(endpoint("a", slots = 2)))
            repeat(2) { alone.applyLoadReport(load("a", running = 2), 500L * it) }
            assertEquals(emptyList(), alone.submit(request("r"), 600))
        }

        @Test
        fun `own grants are not counted twice`() {
            val alone = schedulerOf(config(endpoint("a", slots = 3)))
            alone.submit(request("first"), 0)
            repeat(2) { alone.applyLoadReport(load("a", running = 1), 500L * (it + 1)) }
            assertEquals(2, (1..3).sumOf { alone.submit(request("r$it"), 1_100).grants.size })
        }

        @Test
        fun `requests without a grant are forgotten when reports stop`() {
            val alone = schedulerOf(config(endpoint("a", slots = 2)))
            repeat(2) { alone.applyLoadReport(load("a", running = 2), 500L * it) }
            alone.submit(request("r"), 600)
            assertEquals(listOf("r"), alone.tick(6_000).grants.ids)
        }

        @Test
        fun `an endpoint that announces that it is leaving gets no work`() {
            scheduler.applyLoadReport(load("a", isLeaving = true), 0)
            assertEquals("b", choose(0))
        }
    }
}

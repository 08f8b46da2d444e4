package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PrefixBlock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against grants on the wrong endpoint or beyond the limits of an endpoint. */
class PlacementTest {
    private val prefix = (1..40).toList()

    @Nested
    inner class FirstToken {
        @Test
        fun `takes the endpoint with the faster prefill`() {
            val scheduler = schedulerOf(config(endpoint("a"), endpoint("b", prefillPerS = 4_000.0)))
            assertEquals("b", scheduler.submit(request("r", prefill = 1_000), 0).grantedEndpoint)
        }

        @Test
        fun `counts prompts that still wait for prefill on the endpoint`() {
            val fast = endpoint("b", slots = 9, prefillPerS = 4_000.0)
            val scheduler = schedulerOf(config(endpoint("a"), fast))
            scheduler.submit(request("first", prefill = 8_000), 0)
            val next = request("r", tier = 0, prefill = 1_000)
            assertEquals("a", scheduler.submit(next, 0).grantedEndpoint)
        }

        @Test
        fun `spreads equal work over equal endpoints`() {
            val scheduler = schedulerOf(config(endpoint("a"), endpoint("b")))
            val chosen = List(4) { scheduler.submit(request("r$it"), 0).grantedEndpoint }
            assertEquals(listOf("a", "b", "a", "b"), chosen)
        }
    }

    @Nested
    inner class Prefix {
        private val scheduler =
            schedulerOf(config(endpoint("a", slots = 1), endpoint("b", slots = 1)))

        private fun warmUpB() = scheduler.applyCacheEvents(
            prefix.map { CacheEvent(EndpointId("b"), PrefixBlock(it.toLong()), isStored = true) },
            0
        )

        @Test
        fun `goes to the endpoint that holds it`() {
            warmUpB()
            val decisions = scheduler.submit(request("r", prefill = 2_560, prefix = prefix), 0)
            assertEquals("b", decisions.grantedEndpoint)
            assertEquals("prefix", decisions.grants.single().reason)
        }

        @Test
        fun `waits for a busy endpoint when the wait costs less than the prefill it saves`() {
            warmUpB()
            val short = scheduler.submit(
                request("short", prefill = 0, output = 10, resumeOn = "b"),
                0
            )
            assertEquals(
                emptyList(),
                scheduler.submit(request("r", prefill = 2_560, prefix = prefix), 0)
            )
            val next = scheduler.release(report(short.grants.single().grantId), 200)
            assertEquals("b", next.grantedEndpoint)
        }

        @Test
        fun `does not wait when the wait costs more than the prefill it saves`() {
            warmUpB()
            scheduler.submit(request("long", prefill = 0, output = 500, resumeOn = "b"), 0)
            val decisions = scheduler.submit(request("r", prefill = 2_560, prefix = prefix), 0)
            assertEquals("a", decisions.grantedEndpoint)
        }

        @Test
        fun `stops waiting when the endpoint takes longer than estimated`() {
            warmUpB()
            scheduler.submit(request("short", prefill = 0, output = 10, resumeOn = "b"), 0)
            scheduler.submit(request("r", prefill = 2_560, prefix = prefix), 0)
            assertEquals("a", scheduler.tick(1_000).grantedEndpoint)
        }

        @Test
        fun `stops waiting at once when the endpoint becomes unavailable`() {
            warmUpB()
            scheduler.submit(request("short", prefill = 0, output = 10, resumeOn = "b"), 0)
            scheduler.submit(request("r", prefill = 2_560, prefix = prefix), 0)
            val onlyA = arrayOf(endpoint("a", slots = 1), endpoint("b", slots = 1))
            val decisions = scheduler.reconfigure(config(*onlyA, unavailable = setOf("b")), 10)
            assertEquals("a", decisions.grantedEndpoint)
        }

        /** Lets streams of the top tier take each slot of b; returns when r starts, or null. */
        private fun startWhileBServesOthers(timeLeftMs: Long? = null): Long? {
            warmUpB()
            var top = scheduler.submit(request("top", tier = 0, output = 10, resumeOn = "b"), 0)
            val waiting = request("r", prefill = 2_560, prefix = prefix, timeLeftMs = timeLeftMs)
            scheduler.submit(waiting, 0)
            for (nowMs in 200L..60_000L step 200) {
                val next = request("top-$nowMs", tier = 0, output = 10, resumeOn = "b")
                val queued = scheduler.submit(next, nowMs)
                if ("r" in queued.grants.ids) return nowMs
                top = scheduler.release(report(top.grants.single().grantId, output = 10), nowMs)
                if ("r" in top.grants.ids) return nowMs
            }
            return null
        }

        @Test
        fun `waits for an endpoint that frees slots in time when a start elsewhere is late`() {
            val startMs = startWhileBServesOthers()
            assertTrue((startMs ?: 0) > 10_000, "expected a start after 10 s, got $startMs ms")
        }

        @Test
        fun `stops waiting for an endpoint whose free slots all go to others`() {
            val startMs = startWhileBServesOthers()
            assertTrue((startMs ?: 60_000) < 45_000, "expected a start within 45 s, got $startMs")
        }

        @Test
        fun `starts elsewhere before it could miss its deadline there`() {
            val startMs = startWhileBServesOthers(timeLeftMs = 10_000)
            assertTrue((startMs ?: 10_000) < 3_000, "expected a start within 3 s, got $startMs")
        }

        @Test
        fun `is forgotten when the grant was not used`() {
            val first = scheduler.submit(
                request("first", prefill = 2_560, prefix = prefix),
                0
            ).grants.single()
            scheduler.release(report(first.grantId, GrantEnd.UNUSED), 10)
            val second = scheduler.submit(request("r", prefill = 2_560, prefix = prefix), 10)
            assertEquals("least-wait", second.grants.single().reason)
        }
    }

    @Nested
    inner class Limits {
        @Test
        fun `no more requests than slots`() {
            val scheduler = schedulerOf(config(endpoint("a", slots = 2)))
            val granted = (1..5).sumOf { scheduler.submit(request("r$it"), 0).grants.size }
            assertEquals(2, granted)
        }

        @Test
        fun `no more tokens than the budget`() {
            val scheduler = schedulerOf(config(endpoint("a", slots = 9, budgetTokens = 250)))
            val granted = (1..5).sumOf { scheduler.submit(request("r$it"), 0).grants.size }
            assertEquals(2, granted)
        }

        @Test
        fun `a request above every budget runs on an empty endpoint`() {
            val scheduler = schedulerOf(config(endpoint("a", budgetTokens = 50)))
            assertEquals("a", scheduler.submit(request("r"), 0).grantedEndpoint)
        }

        @Test
        fun `reserved slots are kept from lower tiers`() {
            val scheduler = schedulerOf(config(endpoint("a", slots = 4), reservedShare = 0.5))
            val lower = (1..4).sumOf { scheduler.submit(request("l$it", tier = 1), 0).grants.size }
            val top = (1..4).sumOf { scheduler.submit(request("t$it", tier = 0), 0).grants.size }
            assertEquals(2 to 2, lower to top)
        }

        @Test
        fun `no prompt of a lower tier behind another in prefill`() {
            val scheduler = schedulerOf(config(endpoint("a", slots = 9)))
            scheduler.submit(request("first", prefill = 400), 0)
            assertEquals(emptyList(), scheduler.submit(request("second", prefill = 400), 0))
            assertEquals(1, scheduler.submit(request("top", tier = 0), 0).grants.size)
            assertEquals(listOf("second"), scheduler.tick(360).grants.ids)
        }

        @Test
        fun `a large request is not overtaken by smaller ones of a lower tier`() {
            val scheduler = schedulerOf(config(endpoint("a", slots = 9, budgetTokens = 999)))
            val first = scheduler.submit(request("first", tier = 0), 0).grants.single()
            scheduler.submit(request("large", tier = 0, prefill = 900), 0)
            assertEquals(emptyList(), scheduler.submit(request("small", tier = 1), 0).grants)
            assertEquals("large", scheduler.release(report(first.grantId), 50).grants.ids.first())
        }
    }

    @Test
    fun `tiers are served in order`() {
        val scheduler = schedulerOf(config(endpoint("a", slots = 1)))
        var grant = scheduler.submit(request("first", tier = 0), 0).grants.single()
        for (tier in listOf(2, 0, 1)) scheduler.submit(request("t$tier", tier), 0)
        val order = List(3) {
            grant = scheduler.release(report(grant.grantId), 10L * it).grants.single()
            grant.request.requestId.value
        }
        assertEquals(listOf("t0", "t1", "t2"), order)
    }

    @Test
    fun `a grant lists the candidates best first`() {
        val specs = Array(9) { endpoint("e$it", prefillPerS = 1_000.0 + 100 * (it * 5 % 9)) }
        val scheduler = schedulerOf(config(*specs))
        val grant = scheduler.submit(request("r", prefill = 9_000), 0).grants.single()
        assertEquals(listOf("e7", "e5", "e3", "e1"), grant.candidates.map { it.value })
    }

    @Test
    fun `a grant lists only the cheapest candidates`() {
        val many = Array(50) { endpoint("e$it") }
        val grant = schedulerOf(config(*many)).submit(request("r"), 0).grants.single()
        assertTrue(
            grant.candidates.size in 1..4,
            "expected 1 to 4 candidates, got ${grant.candidates}"
        )
    }
}

package cowslipcart.core.orders

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EngineRole
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against concurrent or too frequent orders and orders that take a pool out of service. */
class OrderPlannerTest {
    private val fixture = OrderFixture()

    @Nested
    inner class OneOpenOrder {
        @Test
        fun `the second endpoint waits until the first reports its state`() {
            val order = fixture.ordersUntil(60_000).single()
            assertEquals(first, order.endpoint)

            fixture.deployed[first] = newState
            val decisions = fixture.planAt(61_000)

            assertEquals(OrderDecision.Applied(order), decisions.first())
            assertEquals(listOf(second), fixture.orders(decisions).map { it.endpoint })
        }

        @Test
        fun `an order whose state is never reported times out`() {
            val order = fixture.ordersUntil(10_000).single()

            val issuedAtMs = 10_000L
            assertEquals(emptyList(), fixture.planAt(issuedAtMs + 299_999))
            val failed = fixture.planAt(issuedAtMs + 300_000).first()

            assertEquals(order, (failed as OrderDecision.Failed).order)
        }

        @Test
        fun `an endpoint that is no longer declared does not block the others`() {
            fixture.ordersUntil(10_000)
            fixture.deployed.remove(first)
            fixture.pool = fixture.pool.copy(endpoints = listOf(endpoint(second), serving()))
            fixture.deployed[serving().id] = newState

            assertEquals(listOf(second), fixture.ordersUntil(30_000).map { it.endpoint })
        }

        private fun serving() = endpoint(EndpointId("runner-3"))
    }

    @Nested
    inner class RateLimit {
        @Test
        fun `orders that fail at once do not exceed the rate`() {
            var count = 0
            for (timeMs in 1_000L..600_000L step 1_000L) {
                for (order in fixture.orders(fixture.planAt(timeMs))) {
                    count++
                    fixture.fail(order)
                    fixture.pool = fixture.pool.copy(
                        endpoints = fixture.pool.endpoints.map { changed(it.id, count) }
                    )
                }
            }
            assertTrue(count in 55..60, "expected 55 to 60 orders in 10 minutes, found $count")
        }

        @Test
        fun `a new owner starts without a token`() {
            assertEquals(emptyList(), fixture.ordersUntil(9_000))
            assertEquals(1, fixture.ordersUntil(10_000).size)
        }

        private fun changed(id: EndpointId, count: Int) =
            endpoint(id, EngineState(MODEL, "v2-$count"))
    }

    @Nested
    inner class Backoff {
        @Test
        fun `the backoff doubles up to its maximum, with jitter of one half`() {
            val alone = OrderFixture(endpoint(first), endpoint(second, desired = null))
            val backoffs = List(10) {
                alone.fail(alone.nextOrder()).retryAfterMs
            }
            val expected = listOf(5, 10, 20, 40, 80, 160, 300, 300, 300, 300).map { it * 1_000L }

            for ((wait, base) in backoffs.zip(expected)) {
                assertTrue(wait in base / 2 until base * 3 / 2, "expected about $base, got $wait")
            }
            assertTrue(backoffs.zip(expected).any { (wait, base) -> wait != base })
        }

        @Test
        fun `no order is issued before the backoff ends`() {
            val alone = OrderFixture(
                endpoint(first),
                endpoint(second, desired = null),
                ordersPerMinute = 60.0
            )
            repeat(6) {
                val backoffMs = alone.fail(alone.nextOrder())
                    .retryAfterMs
                val failedAtMs = alone.nowMs
                assertEquals(emptyList(), alone.ordersUntil(failedAtMs + backoffMs - 1))
            }
        }

        @Test
        fun `a changed desired state ends the backoff`() {
            val alone = OrderFixture(endpoint(first), endpoint(second, desired = null))
            repeat(8) { alone.fail(alone.nextOrder()) }
            val corrected = endpoint(first, EngineState(MODEL, "v3"))
            alone.pool = alone.pool.copy(endpoints = listOf(corrected, endpoint(second, null)))

            val order = alone.ordersUntil(alone.nowMs + 10_000).single()

            assertEquals(listOf<OrderStep>(OrderStep.LoadVersion("v3")), order.steps)
        }
    }

    @Nested
    inner class Ownership {
        @Test
        fun `a process without an owner record issues nothing`() {
            assertEquals(emptyList(), fixture.planAt(100_000, ownerOffset = null))
        }

        @Test
        fun `an order carries the revision and the offset of the owner`() {
            val order = fixture.ordersUntil(10_000).single()

            assertEquals(FencingNumber(Revision(7), LogOffset(4)), order.fencing)
            assertEquals(EngineState(MODEL, "v2"), order.desired)
        }

        @Test
        fun `a result of another order changes nothing`() {
            val order = fixture.ordersUntil(10_000).single()
            fixture.fail(order)
            val repeated = fixture.nextOrder()

            assertEquals(emptyList(), fixture.refuse(order))
            assertEquals(repeated, fixture.fail(repeated).order)
        }
    }

    @Nested
    inner class LastServingEndpoint {
        private val prefillState = EngineState(MODEL, "v1", role = EngineRole.PREFILL)

        @Test
        fun `an order to the only serving endpoint is held and reported once`() {
            val alone = OrderFixture(endpoint(first))

            assertEquals(listOf(OrderDecision.Held(first)), alone.planAt(20_000))
            assertEquals(emptyList(), alone.planAt(21_000))
        }

        @Test
        fun `a drained endpoint gets orders, as it serves no requests`() {
            val alone = OrderFixture(endpoint(first))
            alone.pool = alone.pool.copy(drained = setOf(first))

            assertEquals(1, alone.ordersUntil(10_000).size)
        }

        @Test
        fun `one of two endpoints keeps serving when both are to change their role`() {
            val both = OrderFixture(endpoint(first, prefillState), endpoint(second, prefillState))
            both.ordersUntil(10_000)
            both.deployed[first] = oldState.copy(role = EngineRole.PREFILL)

            assertTrue(OrderDecision.Held(second) in both.planAt(20_000))
            assertEquals(emptyList(), both.ordersUntil(200_000))
        }

        @Test
        fun `an endpoint that leaves, is drained or does not report cannot stand in for another`() {
            for (case in 0..2) {
                val two = OrderFixture(endpoint(first), endpoint(second, desired = null))
                when (case) {
                    0 -> two.pool = two.pool.copy(leaving = setOf(second))
                    1 -> two.pool = two.pool.copy(drained = setOf(second))
                    else -> two.deployed.remove(second)
                }
                assertEquals(emptyList(), two.ordersUntil(60_000), "case $case")
            }
        }

        @Test
        fun `an endpoint whose order failed cannot stand in for another`() {
            val order = fixture.ordersUntil(10_000).single()
            fixture.fail(order)

            val next = fixture.ordersUntil(120_000)

            assertEquals(listOf(first), next.map { it.endpoint })
        }

        @Test
        fun `an adapter is loaded on the only serving endpoint`() {
            val alone = OrderFixture(endpoint(first, EngineState(MODEL, "v1", setOf("fit"))))

            assertEquals(
                listOf<OrderStep>(OrderStep.LoadAdapter("fit")),
                alone.ordersUntil(10_000).single().steps
            )
        }
    }
}

package cowslipcart.core.rollout

import cowslipcart.core.routing.RouteId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class RolloutExposureTest {
    private val bounds = RolloutBounds()
    private val frequent = RouteId("frequent")
    private val rare = RouteId("rare")

    /** Sends [count] requests, a tenth of them on the rare route; returns the exposed ones. */
    private fun RolloutExposure.sendAll(
        count: Int,
        exposed: MutableMap<RouteId, Int> = mutableMapOf()
    ): Map<RouteId, Int> {
        for (index in 0 until count) {
            val route = if (index % 10 == 0) rare else frequent
            val isExposed = mayExpose(route, index * 10L)
            onSeen(route, index * 10L)
            if (isExposed) {
                onExposed(route)
                exposed.merge(route, 1, Int::plus)
            }
            onReached()
        }
        return exposed
    }

    @Nested
    inner class Bound {
        /** Guards against a bound that holds only as long as the hosts know of each other. */
        @Test
        fun `the sum over hosts that restart at any time stays below the share`() {
            for (seed in 1..1_000) {
                val random = Random(seed)
                var sent = 0L
                var exposed = 0L
                repeat(random.nextInt(1, 40)) {
                    val count = random.nextInt(200)
                    sent += count
                    exposed += RolloutExposure(bounds).sendAll(count).values.sum()
                }
                assertTrue(exposed <= bounds.exposureShare * sent, "seed $seed: $exposed of $sent")
            }
        }

        /** Guards against requests to a dead pool that are counted as its traffic. */
        @Test
        fun `requests that reach no endpoint allow no exposure`() {
            val exposure = RolloutExposure(bounds)
            repeat(1_000) { exposure.onSeen(frequent, 0) }

            assertFalse(exposure.mayExpose(frequent, 0))
        }

        /** Guards against exposure that is lost with each endpoint that can't be connected to. */
        @Test
        fun `a request that was not sent may be exposed again`() {
            val exposure = RolloutExposure(bounds)
            repeat(20) { exposure.onSeen(frequent, 0) }
            repeat(13) { exposure.onReached() }
            assertTrue(exposure.mayExpose(frequent, 0))
            exposure.onExposed(frequent)
            assertFalse(exposure.mayExpose(frequent, 0))
            exposure.onWithheld(frequent)

            assertTrue(exposure.mayExpose(frequent, 0))
        }
    }

    @Nested
    inner class Mix {
        /** Guards against a fault on a rare route that no exposed request would meet. */
        @Test
        fun `a rare route gets as much exposure as its requests allow`() {
            val exposed = RolloutExposure(bounds).sendAll(2_000)

            assertTrue(exposed.getValue(rare) >= 40, "found $exposed")
            assertTrue(exposed.getValue(rare) <= 50, "found $exposed")
        }

        /** Guards against a rare route that holds up the evidence on the others. */
        @Test
        fun `most of the allowed exposure is used`() {
            val exposed = RolloutExposure(bounds).sendAll(2_000).values.sum()

            assertTrue(exposed >= 150, "found $exposed")
        }

        /** Guards against a first request that goes to a version nobody has compared with. */
        @Test
        fun `the first request of a route is not exposed`() {
            val exposure = RolloutExposure(bounds)
            exposure.sendAll(100)

            assertEquals(false, exposure.mayExpose(RouteId("new"), 1_000))
        }
    }
}

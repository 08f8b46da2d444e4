package cowslipcart.experiment.workload

import arrow.core.getOrElse
import cowslipcart.experiment.SMALL_WORKLOAD
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class ArrivalTest {
    /** Guards against arrivals that do not offer the load that the workload declares. */
    @Nested
    inner class Rate {
        @Test
        fun `follows the base load and the burst of the workload`() {
            val text = File("../workloads/playsafe-burst-2.5.yaml").readText()
            val workload = parseWorkload(text).getOrElse { error("$it") }
            val arrivals = generateArrivals(workload, seed = 3)
            val inBurst = arrivals.count { it.atMs in 20_000 until 60_000 } / 40.0
            val outside = arrivals.count { it.atMs < 20_000 } / 20.0

            assertEquals(2.5, inBurst / workload.capacityPerS(), 0.25)
            assertEquals(0.7, outside / workload.capacityPerS(), 0.15)
        }
    }

    /** Guards against histories that never recur or that all requests share. */
    @Nested
    inner class Prefixes {
        private val long = generateArrivals(SMALL_WORKLOAD.copy(durationMs = 60_000), seed = 3)
            .filter { it.promptTokens > 2_000 }

        @Test
        fun `recur for the same customer`() {
            val starts = long.groupBy { it.prefixBlocks.first() }

            assertEquals(SMALL_WORKLOAD.prompts.customersPerOrganisation, starts.size)
        }

        @Test
        fun `differ after the history`() {
            val ends = long.filter { it.prefixBlocks.size > 63 }.map { it.prefixBlocks.last() }

            assertTrue(ends.distinct().size > 3, "expected different ends, got $ends")
        }
    }

    /** Guards against arrivals that depend on anything but the seed. */
    @Nested
    inner class Seed {
        @Test
        fun `alone determines the arrivals`() {
            assertEquals(generateArrivals(SMALL_WORKLOAD, 1), generateArrivals(SMALL_WORKLOAD, 1))
            assertNotEquals(
                generateArrivals(SMALL_WORKLOAD, 1),
                generateArrivals(SMALL_WORKLOAD, 2)
            )
        }
    }
}

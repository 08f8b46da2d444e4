package cowslipcart.experiment.compare

import cowslipcart.experiment.result.ExperimentResult
import cowslipcart.experiment.result.Percentiles
import cowslipcart.experiment.result.PrefillResult
import cowslipcart.experiment.result.TierResult
import cowslipcart.experiment.sim.ALL_POLICIES
import cowslipcart.experiment.sim.policyName
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against bounds that are wider or narrower than the documented targets. */
class TargetsTest {
    @Nested
    inner class Bounds {
        @Test
        fun `hits every target exactly at its bound`() {
            val results = checkTargets(comparison(own = run(9.5, wasted = 300, p99 = 250)))

            assertEquals(List(5) { true }, results.map { it.isHit }, "$results")
        }

        @Test
        fun `misses the goodput targets below the bound`() {
            val results = checkTargets(comparison(own = run(9.4, wasted = 300, p99 = 250)))

            assertEquals(listOf(false, false, true, true, true), results.map { it.isHit })
        }

        @Test
        fun `misses waste and first token above the bound`() {
            val results = checkTargets(comparison(own = run(9.5, wasted = 301, p99 = 251)))

            assertEquals(listOf(true, true, false, false, true), results.map { it.isHit })
        }

        @Test
        fun `misses the breach target for one breach in one seed`() {
            val clean = run(9.5, wasted = 300, p99 = 250)
            val comparison = comparison(clean)
            val runs = comparison.runs +
                ("cowslipcart" to listOf(clean, clean, clean.copy(shedRuleBreaches = 1)))

            assertEquals(false, checkTargets(comparison.copy(runs = runs)).last().isHit)
        }
    }

    @Nested
    inner class Median {
        @Test
        fun `is the middle value or the mean of the two middle values`() {
            assertEquals(2.0, medianOf(listOf(9.0, 1.0, 2.0)))
            assertEquals(3.0, medianOf(listOf(9.0, 1.0, 2.0, 4.0)))
        }
    }

    private fun comparison(own: ExperimentResult) = Comparison(
        workload = "w",
        peakLoad = 1.5,
        hasSlowEngine = true,
        topTier = "top",
        emptySystem = listOf(run(10.0, wasted = 0, p99 = 1)),
        runs = ALL_POLICIES.associate {
            it.policyName to listOf(run(9.5, wasted = 900, p99 = 1_000))
        } + ("cowslipcart" to listOf(own))
    )

    private fun run(goodputPerS: Double, wasted: Long, p99: Long): ExperimentResult {
        val times = Percentiles(1, 1, p99)
        val tier = TierResult(100, 90, goodputPerS, 0, emptyMap(), 0, times, times)
        val prefill = PrefillResult(1_000, 0, wasted)
        return ExperimentResult("w", "p", 1, 10.0, 1_000, mapOf("top" to tier), prefill, 1, 1, 0, 0)
    }
}

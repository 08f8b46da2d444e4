package cowslipcart.core.capacity

import cowslipcart.core.model.OrganisationId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against estimates that follow single answers, grow without bound or never recover. */
class OutputEstimatorTest {
    private val outputs = OutputEstimator()

    private fun observe(count: Int, actualTokens: Int, organisation: String = "hamasaki") =
        repeat(count) { outputs.observe(OrganisationId(organisation), 1_000, actualTokens) }

    private fun estimate() = outputs.estimate(request("r", output = 1_000))

    @Nested
    inner class Ratio {
        @Test
        fun `one short answer to a short request moves the estimate little`() {
            outputs.observe(OrganisationId("hamasaki"), estimatedTokens = 100, actualTokens = 1)
            assertEquals(670, estimate())
        }

        @Test
        fun `is bounded to between a tenth and ten times`() {
            observe(200, actualTokens = 0)
            val least = estimate()
            observe(400, actualTokens = 1_000_000)
            assertEquals(100 to 10_000, least to estimate())
        }

        @Test
        fun `follows a change`() {
            observe(100, actualTokens = 100)
            observe(100, actualTokens = 1_000)
            assertTrue(estimate() > 950, "expected more than 950 tokens, got ${estimate()}")
        }
    }

    @Test
    fun `the organisation that was idle longest is forgotten`() {
        observe(9, actualTokens = 100)
        repeat(4_096) { observe(1, actualTokens = 100, organisation = "o$it") }
        assertEquals(1_000, estimate())
    }
}

package cowslipcart.standins.load

import cowslipcart.core.model.Tier
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against a plan that differs from the declared mix or between two runs. */
class LoadPlanTest {
    private val mix = LoadMix(
        targetCount = 3,
        requestsPerS = 100.0,
        durationMs = 10_000,
        tiers = listOf(Tier(0), Tier(2)),
        promptWords = 10..20,
        maxTokens = 5..5,
        isKeyed = true,
        resendRate = 0.5,
        seed = 3
    )
    private val plan = planLoad(mix).toList()

    @Nested
    inner class Mix {
        @Test
        fun `the same seed gives the same plan`() {
            assertEquals(plan, planLoad(mix).toList())
        }

        @Test
        fun `rate, lengths and tiers are as declared`() {
            // Four standard deviations of a Poisson count with mean 1,000.
            assertTrue(plan.size in 874..1_126, "expected about 1000 requests, got ${plan.size}")
            val words = plan.map { it.messages.single().content.split(' ').size }
            assertEquals((10..20).toSet(), words.toSet())
            assertEquals(mix.tiers.toSet(), plan.map { it.tier }.toSet())
        }

        @Test
        fun `no two prompts are equal`() {
            assertEquals(plan.size, plan.map { it.messages }.toSet().size)
        }
    }

    @Nested
    inner class Resend {
        @Test
        fun `goes to another target`() {
            val resent = plan.filter { it.resend != null }

            // Four standard deviations around a half.
            val share = resent.size.toDouble() / plan.size
            assertTrue(share in 0.43..0.57, "expected a share of about 0.5, got $share")
            assertTrue(resent.none { it.resend?.targetIndex == it.targetIndex })
        }
    }
}

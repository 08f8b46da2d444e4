package cowslipcart.experiment.workload

import cowslipcart.experiment.SMALL_WORKLOAD
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a capacity that departs from the documented formula. */
class CapacityTest {
    @Test
    fun `adds the rates of the engines`() {
        val engine = SMALL_WORKLOAD.engines.first()
            .copy(baseStepUs = 8_000, sequenceStepUs = 1_000, slotCount = 8, prefillTokenUs = 100)
        val tier = SMALL_WORKLOAD.tiers.first()
            .copy(share = 1.0, longShare = 0.0, outputTokens = TokenRange(100, 100))
        val workload = SMALL_WORKLOAD.copy(
            engines = listOf(engine.copy(count = 2)),
            tiers = listOf(tier),
            prompts = SMALL_WORKLOAD.prompts.copy(chatTokens = TokenRange(1_000, 1_000))
        )

        // 1,000 prompt tokens x 0.1 ms + 100 output tokens x (8 ms + 8 x 1 ms) / 8 = 300 ms.
        assertEquals(2 / 0.3, workload.capacityPerS(), 1e-9)
    }
}

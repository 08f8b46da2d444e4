package cowslipcart.systemtest.soak

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/**
 * Random faults on real processes. `bin/soak-gateway` runs any seeds for any time; the seeds here
 * are a short run and those that once failed.
 */
class GatewaySoakTest {
    private fun soak(seed: Long, faultMs: Long) = GatewaySoak(seed).use { soak ->
        val breaches = soak.run(faultMs)
        val faults = soak.log.faults.joinToString("\n")
        assertEquals(
            emptyList(),
            breaches,
            "seed $seed, ${soak.log.requests.size} requests:\n$faults"
        )
    }

    @Nested
    inner class Short {
        @Test
        fun `no promise breaks under a short series of faults`() {
            val first = System.getProperty("cowslipcart.gatewaySoakSeed", "1").toLong()
            val count = System.getProperty("cowslipcart.gatewaySoakSeeds", "1").toLong()
            val faultMs = System.getProperty("cowslipcart.gatewaySoakMs", "$SHORT_MS").toLong()
            val failures = (first until first + count).mapNotNull { seed ->
                runCatching { soak(seed, faultMs) }.exceptionOrNull()?.message
            }
            assertEquals(emptyList(), failures)
        }
    }

    private companion object {
        const val SHORT_MS = 8_000L
    }
}

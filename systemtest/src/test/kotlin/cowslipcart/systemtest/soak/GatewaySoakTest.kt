package cowslipcart.systemtest.soak

import cowslipcart.systemtest.GatewayBuilds
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/**
 * Runs the gateway soak with two seeds for a short time by default. The system properties
 * `cowslipcart.gatewaySoak*` choose other seeds and durations, and the program of another build that runs
 * beside this one; `bin/soak-gateway` sets them.
 */
class GatewaySoakTest {
    private fun builds(seed: Long): GatewayBuilds =
        System.getProperty("cowslipcart.gatewaySoakBeside").orEmpty().ifEmpty { null }
            ?.let { GatewayBuilds.Mixed(Path.of(it), Random(seed)) } ?: GatewayBuilds.One

    private fun soak(seed: Long, faultMs: Long) = GatewaySoak(seed, builds(seed)).use { soak ->
        val violations = soak.run(faultMs)
        println("seed $seed: ${soak.log.requests.size} requests, ${violations.size} violations")
        violations.forEach { println("  $it") }
        val events = soak.log.events.joinToString("\n")
        assertEquals(
            emptyList(),
            violations,
            "seed $seed, ${soak.log.requests.size} requests:\n$events"
        )
    }

    @Nested
    inner class Short {
        @Test
        fun `guarantees hold under a short series of random faults`() {
            val first = System.getProperty("cowslipcart.gatewaySoakSeed", "1").toLong()
            val count = System.getProperty("cowslipcart.gatewaySoakSeeds", "2").toLong()
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

package cowslipcart.core.intake

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class IntakeLimitsTest {
    private val heapBytes = 72L * MIB

    @Nested
    inner class Defaults {
        /** Guards against defaults that refuse what the pages allow. */
        @Test
        fun `the largest requests fit on the heap of the deployment`() {
            val limits = IntakeLimits.of(heapBytes, 352 * MIB, 2_069)

            assertTrue(limits.largeRequestBytes >= 5 * 4_194_304L, "found $limits")
            assertTrue(limits.smallBytes >= 72_000 + 32_768, "found $limits")
            assertTrue(limits.responseBytes >= 8 * MIB, "found $limits")
            assertTrue(limits.maxConnections in 500..(2_069 - 200) / 2, "found $limits")
        }

        @Test
        fun `limits are valid for any machine`() {
            for (heapMb in listOf(8, 24, 72, 4_096)) {
                for (descriptors in listOf(null, 256, 2_069, 1_000_000)) {
                    for (memoryMb in listOf(null, 64, 128, 352, 65_536)) {
                        val limits =
                            IntakeLimits.of(heapMb * MIB, memoryMb?.let { it * MIB }, descriptors)
                        assertNull(limits.fault(), "$limits")
                        assertTrue(limits.requestBytes <= heapMb * MIB / 2, "$limits")
                    }
                }
            }
        }
    }

    @Nested
    inner class Checks {
        @Test
        fun `limits that contradict each other are rejected`() {
            val limits = IntakeLimits.of(heapBytes)
            val faulty = listOf(
                limits.copy(smallBytes = 1),
                limits.copy(largeRequestBytes = limits.requestBytes + 1),
                limits.copy(clientBytes = 0),
                limits.copy(responseBytes = 0),
                limits.copy(maxConnections = 0),
                limits.copy(minBytesPerS = 0)
            )
            for (each in faulty) assertNotNull(each.fault(), "$each")
            assertEquals(null, limits.fault())
        }
    }

    private companion object {
        const val MIB = 1_024L * 1_024
    }
}

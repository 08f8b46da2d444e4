package cowslipcart.core.quarantine

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/**
 * Guards against a poison request that crashes a third endpoint, and against the quarantine of
 * other requests that ran with it.
 */
class SuspectRegistryTest {
    private val poison = Fingerprint("poison")
    private val innocent = Fingerprint("innocent")
    private val first = EndpointId("runner-1")
    private val second = EndpointId("runner-2")
    private val registry = createSuspectRegistry()

    private fun crash(endpoint: EndpointId, running: List<Fingerprint>, atMs: Long = 0) =
        registry.onCrash(
            CrashReport("$endpoint@$atMs", endpoint, running, running.size == 1),
            atMs
        )

    private fun statusOf(fingerprint: Fingerprint, nowMs: Long = 0) =
        registry.statusOf(fingerprint, nowMs)

    @Test
    fun `an unknown request is clear`() = assertEquals(QuarantineStatus.CLEAR, statusOf(poison))

    @Nested
    inner class Suspicion {
        @Test
        fun `all requests in the batch of a crashed endpoint are suspects`() {
            crash(first, listOf(poison, innocent))
            assertEquals(QuarantineStatus.SUSPECT, statusOf(poison))
            assertEquals(QuarantineStatus.SUSPECT, statusOf(innocent))
        }

        @Test
        fun `ends when the request finishes`() {
            crash(first, listOf(innocent))
            registry.onCompleted(innocent, 0)
            assertEquals(QuarantineStatus.CLEAR, statusOf(innocent))
        }

        @Test
        fun `ends after an hour`() {
            crash(first, listOf(innocent))
            assertEquals(QuarantineStatus.SUSPECT, statusOf(innocent, 3_599_999))
            assertEquals(QuarantineStatus.CLEAR, statusOf(innocent, 3_600_000))
        }

        @Test
        fun `a repeated report does not prolong it`() {
            crash(first, listOf(innocent))
            val repeated = CrashReport("$first@0", first, listOf(innocent), true)
            registry.onCrash(repeated, 3_000_000)
            assertEquals(QuarantineStatus.CLEAR, statusOf(innocent, 3_600_000))
        }
    }

    @Nested
    inner class Quarantine {
        @Test
        fun `follows a crash of the request alone after a crash of another endpoint`() {
            crash(first, listOf(poison, innocent))
            crash(second, listOf(poison), atMs = 1)
            assertEquals(QuarantineStatus.QUARANTINED, statusOf(poison, 1))
            assertEquals(QuarantineStatus.SUSPECT, statusOf(innocent, 1))
        }

        @Test
        fun `does not follow two crashes of one endpoint`() {
            crash(first, listOf(poison))
            crash(first, listOf(poison), atMs = 1)
            assertEquals(QuarantineStatus.SUSPECT, statusOf(poison, 1))
        }

        @Test
        fun `does not follow two crashes in a shared batch`() {
            crash(first, listOf(poison, innocent))
            crash(second, listOf(poison, innocent), atMs = 1)
            assertEquals(QuarantineStatus.SUSPECT, statusOf(innocent, 1))
        }

        @Test
        fun `does not follow a crash in a shared batch after a crash alone`() {
            crash(first, listOf(innocent))
            crash(second, listOf(poison, innocent), atMs = 1)
            assertEquals(QuarantineStatus.SUSPECT, statusOf(innocent, 1))
        }

        @Test
        fun `holds when the reports arrive in the wrong order`() {
            registry.onCrash(CrashReport("b", second, listOf(poison), true, setOf(first)), 0)
            crash(first, listOf(poison, innocent))
            assertEquals(QuarantineStatus.QUARANTINED, statusOf(poison))
        }

        @Test
        fun `stays when an earlier attempt finishes late`() {
            crash(first, listOf(poison))
            crash(second, listOf(poison), atMs = 1)
            registry.onCompleted(poison, 2)
            assertEquals(QuarantineStatus.QUARANTINED, statusOf(poison, 2))
        }
    }
}

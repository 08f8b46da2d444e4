package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class HostRegistryTest {
    private val profile = HostProfile("a", 1.0)
    private val hostRegistry = HostRegistry(HostId("self"), profile)
    private val other = HostId("other")
    private val listed = mapOf(other to profile)

    private fun report(sequence: Long, nowMs: Long, incarnation: Long = 1) = hostRegistry.onReport(
        HostLoadReport(
            other,
            IncarnationId(incarnation),
            sequence,
            profile,
            emptyMap(),
            emptyMap(),
            emptyMap(),
            emptyList(),
            emptyList()
        ),
        nowMs
    )

    @Nested
    inner class Silence {
        /** Guards against both sides of a long partition using a full limit each. */
        @Test
        fun `a silent host keeps its share of the limits for longer than partitions last`() {
            hostRegistry.onListed(emptyMap(), 0)
            report(1, 0)
            hostRegistry.forgetGone(40_000)
            assertEquals(HostCounts(known = 2, live = 1), hostRegistry.counts(40_000))
        }

        /**
         * Guards against a host that takes a whole limit, since it has not heard of the others yet.
         */
        @Test
        fun `a host without the list of hosts assumes that there are others`() {
            assertEquals(1, hostRegistry.counts(0).live)
            assertTrue(hostRegistry.counts(0).liveShare <= 0.1)
        }

        @Test
        fun `a listed host counts as silent until it reports`() {
            hostRegistry.onListed(listed, 0)
            assertEquals(HostCounts(known = 2, live = 1), hostRegistry.counts(0))
            report(1, 10)
            assertEquals(HostCounts(known = 2, live = 2), hostRegistry.counts(10))
        }
    }

    @Nested
    inner class Gone {
        /** Guards against a host that counts as live again by a report from before it left. */
        @Test
        fun `a late report of a host that left changes nothing`() {
            report(1, 0)
            hostRegistry.onLeft(other, 5)

            assertEquals(ReportStatus.OUTDATED, report(4, 10))
            assertEquals(1, hostRegistry.knownCount)
        }

        /** Guards against limits that shrink for good while hosts that left are still listed. */
        @Test
        fun `a host that left is not added again by the list`() {
            report(1, 0)
            hostRegistry.onLeft(other, 5)
            hostRegistry.onListed(listed, 10)
            assertEquals(1, hostRegistry.knownCount)
        }

        @Test
        fun `a host that left is added again by a report of a new process`() {
            report(1, 0)
            hostRegistry.onLeft(other, 5)
            assertEquals(ReportStatus.RESTARTED, report(1, 10, incarnation = 2))
            hostRegistry.onListed(listed, 20)
            assertEquals(2, hostRegistry.knownCount)
        }
    }
}

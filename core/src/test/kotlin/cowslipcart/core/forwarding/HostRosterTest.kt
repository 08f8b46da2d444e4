package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

class HostRosterTest {
    private val profile = HostProfile("a", 1.0)
    private val roster = HostRoster(HostId("self"), profile)
    private val other = HostId("other")
    private val listed = mapOf(other to profile)

    private fun report(sequence: Long, nowMs: Long) = roster.onReport(
        HostFigures(
            other,
            IncarnationId(1),
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
        /** Guards against both sides of a long partition that take the whole of a limit. */
        @Test
        fun `a silent host keeps its share of limits for as long as partitions last`() {
            report(1, 0)
            roster.forgetGone(40_000)
            assertEquals(HostCounts(known = 2, heard = 1), roster.counts(40_000))
        }

        @Test
        fun `a host that the platform lists counts as silent until it reports`() {
            roster.onListed(listed, 0)
            assertEquals(HostCounts(known = 2, heard = 1), roster.counts(0))
            report(1, 10)
            assertEquals(HostCounts(known = 2, heard = 2), roster.counts(10))
        }
    }

    @Nested
    inner class Gone {
        /** Guards against limits that shrink for good, since the list keeps hosts that are gone. */
        @Test
        fun `a host that left does not come back because it is listed`() {
            report(1, 0)
            roster.onLeft(other)
            roster.onListed(listed, 10)
            assertEquals(1, roster.knownCount)
        }

        @Test
        fun `a host that left comes back with a report`() {
            report(1, 0)
            roster.onLeft(other)
            report(2, 10)
            roster.onListed(listed, 20)
            assertEquals(2, roster.knownCount)
        }
    }
}

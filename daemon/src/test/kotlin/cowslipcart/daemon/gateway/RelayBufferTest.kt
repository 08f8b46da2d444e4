package cowslipcart.daemon.gateway

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.wire.datagram.RelayedReport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class RelayBufferTest {
    private val buffer = RelayBuffer()

    private fun report(sequence: Long, incarnation: Long = 1, host: String = "h") =
        RelayedReport(HostId(host), IncarnationId(incarnation), sequence, ByteArray(0))

    @Nested
    inner class OwnGroup {
        @Test
        fun `only the newest report of a host is forwarded, once`() {
            buffer.onDirectReport(report(1))
            buffer.onDirectReport(report(2))

            assertEquals(listOf(2L), buffer.drainGroup().map { it.sequence })
            assertEquals(emptyList(), buffer.drainGroup())
        }
    }

    @Nested
    inner class OtherGroups {
        /** Two relays of each group forward the same reports. */
        @Test
        fun `a report that arrives again from a second relay is dropped`() {
            assertTrue(buffer.onRelayedReport(report(4)))
            assertFalse(buffer.onRelayedReport(report(4)))
            assertFalse(buffer.onRelayedReport(report(3)))

            assertEquals(listOf(4L), buffer.drainOtherGroups().map { it.sequence })
        }

        @Test
        fun `reports of a restarted host are accepted from sequence one`() {
            assertTrue(buffer.onRelayedReport(report(4)))
            assertTrue(buffer.onRelayedReport(report(1, incarnation = 2)))
        }
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.wire.figures.RelayedFigures
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class RelayBufferTest {
    private val buffer = RelayBuffer()

    private fun figures(sequence: Long, incarnation: Long = 1, host: String = "h") =
        RelayedFigures(HostId(host), IncarnationId(incarnation), sequence, ByteArray(0))

    @Nested
    inner class OfGroup {
        @Test
        fun `only the newest figures of a host are passed on, once`() {
            buffer.onDirect(figures(1))
            buffer.onDirect(figures(2))

            assertEquals(listOf(2L), buffer.takeOfGroup().map { it.sequence })
            assertEquals(emptyList(), buffer.takeOfGroup())
        }
    }

    @Nested
    inner class OfOthers {
        /** Two relays of each group pass the same figures on. */
        @Test
        fun `figures that arrive from a second relay are dropped`() {
            assertTrue(buffer.onRelayed(figures(4)))
            assertFalse(buffer.onRelayed(figures(4)))
            assertFalse(buffer.onRelayed(figures(3)))

            assertEquals(listOf(4L), buffer.takeOfOthers().map { it.sequence })
        }

        @Test
        fun `a host that restarts counts from the start`() {
            assertTrue(buffer.onRelayed(figures(4)))
            assertTrue(buffer.onRelayed(figures(1, incarnation = 2)))
        }
    }
}

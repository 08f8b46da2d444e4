package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.HostLoadReport
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.PrefilledPart
import cowslipcart.core.forwarding.PromptPartId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.wire.datagram.PeerDatagram
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

class RelayBufferTest {
    private val buffer = RelayBuffer()

    private fun report(
        sequence: Long,
        incarnation: Long = 1,
        host: String = "h",
        parts: List<Long> = emptyList(),
        msPerToken: Map<EndpointId, Double> = emptyMap()
    ) = PeerDatagram.LoadReport(
        HostLoadReport(
            HostId(host),
            IncarnationId(incarnation),
            sequence,
            HostProfile("a", 1.0),
            loads = emptyMap(),
            msPerToken = msPerToken,
            unitsUsed = emptyMap(),
            prefilledParts = parts.map { PrefilledPart(PromptPartId(it), EndpointId("e")) },
            crashes = emptyList()
        ),
        isLeaving = false
    )

    private fun drainSequences() = buffer.drain().map { it.report.sequence }

    @Nested
    inner class Newest {
        @Test
        fun `only the newest report of a host is forwarded, once`() {
            buffer.add(report(1))
            buffer.add(report(2))

            assertEquals(listOf(2L), drainSequences())
            assertEquals(emptyList(), drainSequences())
        }

        @Test
        fun `a report that arrives late is dropped`() {
            buffer.add(report(4))
            buffer.add(report(4))
            buffer.add(report(3))

            assertEquals(listOf(4L), drainSequences())
        }

        @Test
        fun `reports of a restarted host are accepted from sequence one`() {
            buffer.add(report(4))
            buffer.add(report(1, incarnation = 2))

            assertEquals(listOf(1L), drainSequences())
        }

        @Test
        fun `the last report of a host that leaves is forwarded`() {
            buffer.add(report(4))
            buffer.add(report(5).copy(isLeaving = true))

            assertEquals(listOf(true), buffer.drain().map { it.isLeaving })
        }
    }

    @Nested
    inner class Replaced {
        /** Guards against prompt parts that other groups never hear of and so prefill again. */
        @Test
        fun `parts and decode times of replaced reports are kept`() {
            val first = EndpointId("e1")
            val second = EndpointId("e2")
            buffer.add(report(1, parts = listOf(1, 2), msPerToken = mapOf(first to 3.0)))
            buffer.add(report(2, parts = listOf(3), msPerToken = mapOf(second to 4.0)))

            val merged = buffer.drain().single().report
            assertEquals(listOf(1L, 2L, 3L), merged.prefilledParts.map { it.part.value })
            assertEquals(mapOf(first to 3.0, second to 4.0), merged.msPerToken)
        }
    }
}

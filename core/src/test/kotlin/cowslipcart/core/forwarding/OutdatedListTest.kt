package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.routing.WorkKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Guards against requests that a host which was paused or delayed sends to an endpoint that left
 * meanwhile.
 */
class OutdatedListTest {
    private val fixture = ForwardingFixture()

    private fun know(asOfMs: Long, isStoreLost: Boolean = false) =
        fixture.commandsOf(ForwardingInput.EndpointsKnown(asOfMs, isStoreLost))

    private fun arrive() = fixture.arrive(fixture.call(WorkKind.AtMostOnce))

    @Nested
    inner class Decisions {
        @Test
        fun `a request waits until an outdated list has been read again`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            know(asOfMs = 0)
            fixture.nowMs = 4_000
            assertTrue(arrive().isEmpty())

            fixture.listEndpoints(entry("e2"))
            val dispatch = assertIs<CallCommand.Dispatch>(know(asOfMs = 4_000).single())
            assertEquals(EndpointId("e2"), dispatch.endpoint.id)
        }

        @Test
        fun `a list that is not read in time ends in a refusal`() {
            fixture.listEndpoints(entry("e1"))
            know(asOfMs = 0)
            fixture.nowMs = 4_000
            arrive()
            fixture.nowMs = 4_200

            val refusal = fixture.commandsOf(ForwardingInput.Tick).single()
            assertIs<CallCommand.Refuse>(refusal)
        }

        @Test
        fun `the last known list stays in use while the store does not answer`() {
            fixture.listEndpoints(entry("e1"))
            know(asOfMs = 0)
            know(asOfMs = 0, isStoreLost = true)
            fixture.nowMs = 60_000

            assertIs<CallCommand.Dispatch>(arrive().single())
        }

        @Test
        fun `a decision says until when it may be carried out`() {
            fixture.listEndpoints(entry("e1"))
            know(asOfMs = 1_000)
            fixture.nowMs = 1_500
            val dispatch = assertIs<CallCommand.Dispatch>(arrive().single())

            assertTrue(dispatch.validUntilMs in 1_501..2_999, "${dispatch.validUntilMs}")
        }
    }

    @Nested
    inner class Withheld {
        @Test
        fun `a request that was not sent in time is decided anew`() {
            fixture.listEndpoints(entry("e1", slots = 1))
            know(asOfMs = 0)
            val call = fixture.call(WorkKind.AtMostOnce, maxAttempts = 1)
            fixture.arrive(call)
            fixture.nowMs = 4_000
            assertTrue(fixture.end(call, AttemptOutcome.Withheld).isEmpty())

            val dispatch = assertIs<CallCommand.Dispatch>(know(asOfMs = 4_000).single())
            assertEquals(1, dispatch.attempt)
        }
    }
}

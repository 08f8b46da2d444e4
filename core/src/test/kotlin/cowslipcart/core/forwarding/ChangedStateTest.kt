package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Revision
import cowslipcart.core.routing.CallerLimits
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.routing.WorkKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Guards against requests that get no command, since the state that they were admitted by is gone.
 */
class ChangedStateTest {
    private val fixture = ForwardingFixture()

    /** Applies a configuration without routes, pools and organisations. */
    private fun removeEverything(): List<CallCommand> = fixture.commandsOf(
        ForwardingInput.RoutingChanged(
            RoutingTable(
                Revision(9),
                emptyList(),
                emptyList(),
                emptyMap(),
                CallerLimits(16_384, 1_024, 1_000, 1_000),
                requiresKey = true
            )
        )
    )

    private fun listNoEndpoints(): List<CallCommand> =
        fixture.commandsOf(ForwardingInput.EndpointsChanged(emptyList()))

    @Nested
    inner class RemovedRoute {
        @Test
        fun `a request that waits is dispatched by the configuration that admitted it`() {
            fixture.setLimit(ratePerS = 1_000.0)
            fixture.listEndpoints(entry("e1", slots = 1))
            val running = fixture.call(rank = 1)
            fixture.arrive(running)
            fixture.arrive(fixture.call(rank = 1))
            assertTrue(removeEverything().isEmpty())

            val commands = fixture.end(running, AttemptOutcome.Answered(isSuccess = true))
            assertIs<CallCommand.Dispatch>(commands.single())
        }

        @Test
        fun `a request is retried by the configuration that admitted it`() {
            fixture.setLimit(ratePerS = 1_000.0)
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call()
            fixture.arrive(call)
            removeEverything()

            val commands = fixture.end(call, AttemptOutcome.Broken("reset"))
            assertIs<CallCommand.Dispatch>(commands.single())
        }

        @Test
        fun `a request that is admitted before the change and arrives after it is dispatched`() {
            fixture.setLimit(ratePerS = 1_000.0)
            fixture.listEndpoints(entry("e1"))
            val call = fixture.call()
            removeEverything()

            assertIs<CallCommand.Dispatch>(fixture.arrive(call).single())
        }
    }

    @Nested
    inner class RemovedEndpoints {
        @Test
        fun `a request that waits is refused at once when the last endpoint goes`() {
            fixture.listEndpoints(entry("e1", slots = 1))
            fixture.arrive(fixture.call(rank = 1))
            fixture.arrive(fixture.call(rank = 1))

            val refusal = assertIs<CallCommand.Refuse>(listNoEndpoints().single())
            assertEquals(RefusalReason.NO_ENDPOINT, refusal.reason)
        }

        @Test
        fun `a request whose pool has no endpoint between two versions is refused at once`() {
            listNoEndpoints()

            val refusal = assertIs<CallCommand.Refuse>(fixture.arrive(fixture.call()).single())
            assertEquals(RefusalReason.NO_ENDPOINT, refusal.reason)
        }

        @Test
        fun `a request in flight goes on when the entry of its endpoint goes`() {
            fixture.listEndpoints(entry("e1"))
            val call = fixture.call(WorkKind.AtMostOnce)
            fixture.arrive(call)
            assertTrue(listNoEndpoints().isEmpty())
            fixture.listEndpoints(entry("e1", slots = 1))
            fixture.end(call, AttemptOutcome.Answered(isSuccess = true))

            val next = fixture.arrive(fixture.call(rank = 1))
            assertEquals(
                EndpointId("e1"),
                assertIs<CallCommand.Dispatch>(next.single()).endpoint.id
            )
        }

        @Test
        fun `a request that may have run is given up at once when no endpoint is left`() {
            fixture.listEndpoints(entry("e1"))
            val call = fixture.call()
            fixture.arrive(call)
            listNoEndpoints()

            assertIs<CallCommand.GiveUp>(fixture.end(call, AttemptOutcome.Broken("reset")).single())
        }
    }
}

package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Endpoints that crash at once look idle, and so attract the requests of all hosts. */
class CrashedEndpointsTest {
    private val fixture = ForwardingFixture()
    private val noConnection = AttemptOutcome.NotSent("no connection")

    private fun dispatchedTo(commands: List<CallCommand>): String =
        assertIs<CallCommand.Dispatch>(commands.single()).endpoint.id.value

    private fun load(running: Int) = HostLoad(running, pendingPrefillTokens = 0)

    @Nested
    inner class Admission {
        /** Guards against less urgent requests that take the last slots of the others. */
        @Test
        fun `slots of an endpoint that can't be connected to are not free`() {
            fixture.listEndpoints(entry("sound", slots = 10), entry("crashed", slots = 10))
            fixture.report("other", 1, mapOf(EndpointId("sound") to load(9)))
            val first = fixture.call()
            assertEquals("crashed", dispatchedTo(fixture.arrive(first)))
            fixture.end(first, noConnection)
            fixture.commandsOf(ForwardingInput.CallClosed(first.id))

            assertTrue(fixture.arrive(fixture.call(rank = 1)).isEmpty())
        }

        /** Guards against requests that are refused since no endpoint counts any more. */
        @Test
        fun `slots count if all endpoints can't be connected to`() {
            fixture.listEndpoints(entry("crashed", slots = 10))
            val first = fixture.call()
            fixture.arrive(first)
            fixture.end(first, noConnection)

            assertEquals("crashed", dispatchedTo(fixture.arrive(fixture.call(rank = 1))))
        }
    }
}

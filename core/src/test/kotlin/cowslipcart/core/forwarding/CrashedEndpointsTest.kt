package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.routing.WorkKind
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

    private fun tellLost(vararg endpoints: String, by: String = "other") = fixture.send(
        ForwardingInput.EndpointsLost(
            HostId(by),
            endpoints.map { EndpointId(it) }.toSet()
        )
    )

    private fun List<ForwardingEffect>.told(): List<String> =
        filterIsInstance<ForwardingEffect.TellLost>()
            .flatMap { it.endpoints }
            .map { it.value }

    @Nested
    inner class Hearsay {
        /** Guards against endpoints that each host tries for itself after they have crashed. */
        @Test
        fun `an endpoint that another host can't connect to is avoided`() {
            fixture.listEndpoints(entry("sound", slots = 10), entry("crashed", slots = 10))
            fixture.report("other", 1, mapOf(EndpointId("sound") to load(8)))
            tellLost("crashed")

            repeat(2) { assertEquals("sound", dispatchedTo(fixture.arrive(fixture.call()))) }
        }

        /** Guards against a single host, cut from sound endpoints, that takes them from all. */
        @Test
        fun `an endpoint that another host can't connect to is used while it runs requests`() {
            fixture.listEndpoints(entry("full", slots = 1), entry("sound", slots = 10))
            fixture.report(
                "third",
                1,
                mapOf(EndpointId("full") to load(2), EndpointId("sound") to load(1))
            )
            tellLost("sound")

            assertEquals("sound", dispatchedTo(fixture.arrive(fixture.call())))
        }

        /** Guards against requests at a crashed endpoint whose load is still in old reports. */
        @Test
        fun `an endpoint that two other hosts can't connect to is avoided`() {
            fixture.listEndpoints(entry("sound", slots = 10), entry("crashed", slots = 10))
            fixture.report(
                "third",
                1,
                mapOf(EndpointId("sound") to load(8), EndpointId("crashed") to load(1))
            )
            tellLost("crashed", by = "h1")
            tellLost("crashed", by = "h2")

            assertEquals("sound", dispatchedTo(fixture.arrive(fixture.call())))
        }

        /** Guards against hosts that are cut from sound endpoints and take them from all others. */
        @Test
        fun `a host that reaches the endpoint does not believe the next reports`() {
            fixture.listEndpoints(entry("e1"))
            tellLost("e1")
            val call = fixture.call()
            fixture.arrive(call)
            fixture.send(ForwardingInput.ResponseStarted(call.id, attempt = 1))
            fixture.end(call, AttemptOutcome.Answered(isSuccess = true))
            fixture.listEndpoints(entry("e1", slots = 10), entry("other", slots = 10))
            fixture.report("third", 1, mapOf(EndpointId("other") to load(8)))
            for (host in listOf("h1", "h2")) tellLost("e1", by = host)

            assertEquals("e1", dispatchedTo(fixture.arrive(fixture.call())))
        }

        @Test
        fun `an endpoint that is told of is tried again within some seconds`() {
            fixture.listEndpoints(entry("full", slots = 1), entry("restarted", slots = 10))
            tellLost("restarted")
            fixture.nowMs = 1_500
            fixture.report("third", 1, mapOf(EndpointId("full") to load(2)))

            assertEquals("restarted", dispatchedTo(fixture.arrive(fixture.call())))
        }

        @Test
        fun `requests go on if all endpoints are told of`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            tellLost("e1", "e2")

            assertIs<CallCommand.Dispatch>(fixture.arrive(fixture.call(rank = 1)).single())
        }
    }

    @Nested
    inner class Telling {
        private fun failFirst(): List<ForwardingEffect> {
            fixture.listEndpoints(*Array(8) { entry("e$it") })
            val call = fixture.call()
            fixture.arrive(call)
            return fixture.send(ForwardingInput.AttemptEnded(call.id, 1, noConnection))
        }

        @Test
        fun `the others are told once a probe shows that this host is not cut off`() {
            val effects = failFirst()
            assertEquals(emptyList(), effects.told())
            val probed = effects.filterIsInstance<ForwardingEffect.Probe>().first().endpoint.id
            val connected = ForwardingInput.ConnectionTried(probed, isConnected = true)

            assertEquals(1, fixture.send(connected).told().size)
            assertEquals(emptyList(), fixture.send(ForwardingInput.Tick).told())
        }

        /** Guards against a host that is cut off and takes all endpoints from the others. */
        @Test
        fun `nobody is told while this host may be cut off`() {
            for (probe in failFirst().filterIsInstance<ForwardingEffect.Probe>()) {
                val failed = ForwardingInput.ConnectionTried(probe.endpoint.id, false)
                assertEquals(emptyList(), fixture.send(failed).told())
            }
        }

        /** Guards against each host telling all others of the same endpoint. */
        @Test
        fun `what others have told is not told again`() {
            fixture.listEndpoints(entry("e1"))
            tellLost("e1")
            val call = fixture.call()
            fixture.arrive(call)
            fixture.send(ForwardingInput.AttemptEnded(call.id, 1, noConnection))
            val connected = ForwardingInput.ConnectionTried(EndpointId("e1"), isConnected = true)

            assertEquals(emptyList(), fixture.send(connected).told())
        }
    }

    @Nested
    inner class Requests {
        /** Guards against requests that are refused since they met several crashed endpoints. */
        @Test
        fun `a request tries further endpoints while it may wait`() {
            val crashed = (1..8).map { entry("crashed-$it", slots = 10) }
            fixture.listEndpoints(entry("sound", slots = 10), *crashed.toTypedArray())
            fixture.report("other", 1, mapOf(EndpointId("sound") to load(9)))
            val call = fixture.call()
            var endpoint = dispatchedTo(fixture.arrive(call))
            repeat(8) {
                assertTrue(endpoint.startsWith("crashed"), endpoint)
                fixture.nowMs += 5
                endpoint = dispatchedTo(fixture.end(call, noConnection))
            }
            assertEquals("sound", endpoint)
        }

        /** Guards against requests that wait for one connection after another until they are late. */
        @Test
        fun `a request that has waited is refused after several failed connections`() {
            fixture.listEndpoints(*Array(8) { entry("e$it") })
            val call = fixture.call()
            fixture.arrive(call)
            repeat(4) {
                fixture.nowMs += 30
                assertIs<CallCommand.Dispatch>(fixture.end(call, noConnection).single())
            }
            val refusal = assertIs<CallCommand.Refuse>(fixture.end(call, noConnection).single())
            assertEquals(RefusalReason.NOT_SENT, refusal.reason)
        }

        /** Guards against refusals of requests that met the successor of a crashed endpoint. */
        @Test
        fun `an endpoint of another name at the address uses up no attempt`() {
            fixture.listEndpoints(entry("gone"), entry("sound"))
            val call = fixture.call(WorkKind.AtMostOnce, maxAttempts = 1)
            val first = dispatchedTo(fixture.arrive(call))
            val declined = AttemptOutcome.Declined(DeclineReason.WRONG_ENDPOINT)

            assertTrue(dispatchedTo(fixture.end(call, declined)) != first)
        }
    }

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

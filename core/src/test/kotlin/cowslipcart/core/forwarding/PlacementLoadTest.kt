package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Placement under the worst load patterns of the deployments. */
class PlacementLoadTest {
    private val fixture = ForwardingFixture()

    private fun place(call: ForwardedCall): EndpointId =
        assertIs<CallCommand.Dispatch>(fixture.arrive(call).single()).endpoint.id

    @Nested
    inner class LongPrompts {
        @Test
        fun `a short prompt avoids a long prompt in favour of two that are shorter together`() {
            fixture.listEndpoints(entry("long", slots = 13), entry("many", slots = 13))
            val long = place(fixture.call(tokens = 14_000))
            repeat(2) { assertTrue(place(fixture.call(tokens = 6_000)) != long) }

            assertTrue(place(fixture.call(tokens = 600)) != long)
        }

        @Test
        fun `a prompt delays no other request once its prefill is complete`() {
            fixture.listEndpoints(entry("e1", slots = 13), entry("e2", slots = 13))
            val long = fixture.call(tokens = 50_000)
            val first = place(long)
            fixture.nowMs = LONG_PROMPT_MS
            fixture.send(ForwardingInput.ResponseStarted(long.id, 1))
            place(fixture.call(tokens = 14_000))

            assertEquals(first, place(fixture.call(tokens = 600)))
        }
    }

    @Nested
    inner class Overload {
        /** Load pattern: more long prompts than the endpoints can prefill within the objective. */
        @Test
        fun `a less urgent request that would be late is refused`() {
            fixture.listEndpoints(entry("e1", slots = 50))
            repeat(2) { place(fixture.call(tokens = 9_000)) }

            assertTrue(fixture.arrive(fixture.call(rank = 1, tokens = 9_000)).isEmpty())
            fixture.nowMs = 100
            val refusal = fixture.commandsOf(ForwardingInput.Tick).single()
            assertIs<CallCommand.Refuse>(refusal)
        }

        @Test
        fun `a request of the most urgent rank is dispatched late rather than refused`() {
            fixture.listEndpoints(entry("e1", slots = 50))
            repeat(2) { place(fixture.call(tokens = 9_000)) }
            assertTrue(fixture.arrive(fixture.call(tokens = 9_000)).isEmpty())
            fixture.nowMs = 100

            assertIs<CallCommand.Dispatch>(fixture.commandsOf(ForwardingInput.Tick).single())
        }

        @Test
        fun `an endpoint that answers later than expected gets fewer requests`() {
            fixture.listEndpoints(entry("e1", slots = 50), entry("e2", slots = 50))
            repeat(12) {
                val call = fixture.call(tokens = 3_000)
                val endpoint = place(call)
                fixture.nowMs += if (endpoint == EndpointId("e1")) 250 else 30
                fixture.send(ForwardingInput.ResponseStarted(call.id, 1))
                fixture.end(call, AttemptOutcome.Answered(isSuccess = true))
            }

            val placed = (1..5).map { place(fixture.call(tokens = 3_000)) }
            assertTrue(placed.count { it == EndpointId("e2") } > 3, "found $placed")
        }
    }

    @Nested
    inner class CachedPrompts {
        @Test
        fun `a session returns to the endpoint that has cached its history`() {
            fixture.listEndpoints(entry("e1", slots = 13), entry("e2", slots = 13))
            val history = listOf(PromptPart(PromptPartId(1), 6_000))
            val first = fixture.call(tokens = 6_000, prompt = history)
            val holder = place(first)
            fixture.send(ForwardingInput.ResponseStarted(first.id, 1))

            repeat(3) {
                assertEquals(holder, place(fixture.call(tokens = 6_000, prompt = history)))
            }
        }
    }

    @Nested
    inner class DifferentSpeeds {
        @Test
        fun `a faster endpoint takes more of the load`() {
            fixture.listEndpoints(entry("slow", slots = 13), entry("fast", slots = 13))
            fixture.setLimit(1e9)
            repeat(8) { runStreams(it % 2 == 0) }

            val placed = (1..10).map { place(fixture.call(rank = 0, tokens = 6_000)) }
            val fast = placed.count { it == EndpointId("fast") }
            assertTrue(fast > 5, "expected most on the fast endpoint, found $fast of 10")
        }

        /** Runs two streams; their event gaps reveal the speed of the endpoints they run on. */
        private fun runStreams(isFirst: Boolean) {
            val call = fixture.call(tokens = if (isFirst) 100 else 110)
            val endpoint = place(call)
            val msPerToken = if (endpoint.value == "fast") 1L else 8L
            val other = fixture.call(tokens = 100)
            val otherEndpoint = place(other)
            val otherMs = if (otherEndpoint.value == "fast") 1L else 8L
            for ((ended, ms) in listOf(call to msPerToken, other to otherMs)) {
                fixture.send(
                    ForwardingInput.AttemptEnded(
                        ended.id,
                        1,
                        AttemptOutcome.Answered(true),
                        gapCount = 20,
                        gapDurationMs = 120 * ms
                    )
                )
            }
        }
    }

    @Nested
    inner class Reserve {
        /**
         * Load pattern: a burst of all tiers fills the pool. Guards against long requests that
         * occupy the slots of many short ones and leave none for lower tiers.
         */
        @Test
        fun `a short request of a lower tier is dispatched while a long one waits for slots`() {
            fixture.listEndpoints(entry("e1", slots = 20))
            repeat(17) { place(fixture.call(tokens = 10)) }

            assertTrue(fixture.arrive(fixture.call(rank = 1, tokens = 700, output = 900)).isEmpty())
            place(fixture.call(rank = 2, tokens = 700, output = 20))
        }

        @Test
        fun `the last slots are reserved for the most urgent tier`() {
            fixture.listEndpoints(entry("e1", slots = 20))
            repeat(19) { place(fixture.call(tokens = 10)) }

            assertTrue(fixture.arrive(fixture.call(rank = 1, tokens = 10)).isEmpty())
            place(fixture.call(rank = 0, tokens = 6_000))
        }
    }

    /**
     * Load pattern: a fifth of the endpoints is 2.5 times slower for 0.6 s at a time. Guards
     * against
     * prompts that go to an endpoint that has just stated its slowness.
     */
    @Nested
    inner class SharedMachines {
        private val slow = EndpointId("e0")

        private fun listShared() = fixture.listEndpoints(*Array(5) { entry("e$it", slots = 7) })

        private fun state(load: StatedLoad) = fixture.send(ForwardingInput.LoadStated(slow, load))

        /** Endpoints of 12 long prompts that arrive in a row. */
        private fun placeBurst() = (1..12).map { place(fixture.call(tokens = 6_000)) }

        @Test
        fun `a slow endpoint gets fewer prompts while its statement is fresh`() {
            listShared()
            state(StatedLoad(0, 0, 7, 2.5))

            val count = placeBurst().count { it == slow }
            assertTrue(count <= 1, "expected at most 1 of 12 on the slow endpoint, found $count")
        }

        @Test
        fun `an old statement changes nothing`() {
            listShared()
            state(StatedLoad(0, 0, 7, 2.5))
            fixture.nowMs = 600

            assertEquals(slow, placeBurst().first())
        }

        @Test
        fun `a statement without slowness changes nothing`() {
            listShared()
            state(StatedLoad(7, 42, 7))

            assertEquals(slow, placeBurst().first())
        }

        @Test
        fun `an endpoint that states no slowness any more counts as usual`() {
            listShared()
            state(StatedLoad(0, 0, 7, 2.5))
            state(StatedLoad(0, 0, 7))

            assertEquals(slow, placeBurst().first())
        }

        @Test
        fun `a statement about an unknown endpoint is ignored`() {
            listShared()
            val load = StatedLoad(0, 0, 7, 2.5)
            fixture.send(ForwardingInput.LoadStated(EndpointId("gone"), load))

            assertEquals(slow, placeBurst().first())
        }
    }

    @Nested
    inner class LongAnswers {
        /** Load pattern: long answers on slow engines, whose callers give up. */
        @Test
        fun `a long answer avoids a slow endpoint that cannot complete it in time`() {
            fixture.listEndpoints(entry("slow", slots = 20), entry("fast", slots = 20))
            fixture.setLimit(1e9)
            fixture.report("host-2", 1, msPerToken = mapOf(EndpointId("slow") to 9.0))
            repeat(6) { assertEquals(EndpointId("fast"), place(longAnswer())) }
        }

        /**
         * Guards against an estimate so cautious that a long answer seems too late everywhere, and
         * goes to the slow endpoint since that has the shorter queue.
         */
        @Test
        fun `a long answer waits at the endpoint that can complete it`() {
            fixture.listEndpoints(entry("slow", slots = 7), entry("usual", slots = 7))
            fixture.setLimit(1e9)
            fixture.report(
                "host-2",
                1,
                loads = mapOf(EndpointId("usual") to HostLoad(3, 20_000)),
                msPerToken = mapOf(EndpointId("slow") to 9.0)
            )

            assertEquals(
                EndpointId("usual"),
                place(fixture.call(tokens = 600, output = 1_500))
            )
        }

        private fun longAnswer() = fixture.call(tokens = 600, output = 600)
    }

    @Nested
    inner class FullSlots {
        /** Load pattern: streams hold all slots of some endpoints for a second or more. */
        @Test
        fun `a prompt waits for a prefill rather than for a slot`() {
            fixture.listEndpoints(entry("full", slots = 7), entry("prefilling", slots = 7))
            fixture.report(
                "host-2",
                1,
                loads = mapOf(
                    EndpointId("full") to HostLoad(7, 0),
                    EndpointId("prefilling") to HostLoad(5, 9_000)
                )
            )

            assertEquals(EndpointId("prefilling"), place(fixture.call(tokens = 600)))
        }
    }

    @Nested
    inner class Groups {
        private fun listHosts(
            count: Int,
            fixture: ForwardingFixture = this@PlacementLoadTest.fixture
        ) {
            val hosts = (2..count).associate {
                HostId("host-$it") to HostProfile("a", 1.0)
            }
            fixture.controller.onHostsListed(hosts, 0)
            fixture.controller.reportPlan(0)
        }

        /**
         * Load pattern: the hosts of a group know the same load, of the last report. Guards against
         * twenty of them that choose one endpoint of seven slots between two reports.
         */
        @Test
        fun `hosts of a group with the same reports choose different endpoints`() {
            val placed = (1..20).map { seed ->
                val host = ForwardingFixture(seed = seed)
                listHosts(100, host)
                host.listEndpoints(*Array(80) { entry("e$it", slots = 7) })
                val sent = host.arrive(host.call(tokens = 500)).single()
                assertIs<CallCommand.Dispatch>(sent).endpoint.id
            }

            val most = placed.groupingBy { it }.eachCount().values.max()
            assertTrue(most <= 7, "expected at most 7 on one endpoint, found $placed")
        }

        /** Load pattern: many hosts with the same outdated reports all choose one endpoint. */
        @Test
        fun `hosts in groups spread plain requests over all endpoints`() {
            listHosts(100)
            fixture.listEndpoints(*Array(4) { entry("e$it", slots = 40) })
            val placed = (1..80).map { place(fixture.call()) }.groupingBy { it }.eachCount()

            assertEquals(4, placed.size)
            assertTrue(placed.values.max() < 40, "found $placed")
        }

        @Test
        fun `a group prefers its own endpoints while they have free slots`() {
            listHosts(100)
            fixture.listEndpoints(*Array(40) { entry("e$it", slots = 10) })
            val placed = (1..40).map { place(fixture.call(tokens = 500)) }.toSet()

            assertTrue(placed.size < 25, "expected most on a few endpoints, found ${placed.size}")
        }
    }

    private companion object {
        /** Time in which the reference engine prefills 50,000 tokens, in ms. */
        const val LONG_PROMPT_MS = 955L
    }
}

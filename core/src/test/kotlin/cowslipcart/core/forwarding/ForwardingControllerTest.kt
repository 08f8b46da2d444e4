package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.routing.WorkKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class ForwardingControllerTest {
    private val fixture = ForwardingFixture()
    private val broken = AttemptOutcome.Broken("reset")
    private val lost = AttemptOutcome.Broken("closed", isConnectionLost = true)

    private fun dispatchedTo(commands: List<CallCommand>): EndpointId =
        assertIs<CallCommand.Dispatch>(commands.single()).endpoint.id

    @Nested
    inner class Retries {
        @Test
        fun `an at-most-once request is not retried after it may have run`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call(WorkKind.AtMostOnce)
            dispatchedTo(fixture.arrive(call))

            assertIs<CallCommand.GiveUp>(fixture.end(call, broken).single())
        }

        @Test
        fun `an idempotent request is retried on another endpoint after a broken connection`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call()
            val first = dispatchedTo(fixture.arrive(call))

            assertTrue(dispatchedTo(fixture.end(call, broken)) != first)
        }

        @Test
        fun `a declined request is refused as not run when its attempts are used up`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call(WorkKind.AtMostOnce, maxAttempts = 1)
            fixture.arrive(call)

            val declined = AttemptOutcome.Declined(DeclineReason.FULL)
            val refusal = assertIs<CallCommand.Refuse>(fixture.end(call, declined).single())
            assertEquals(RefusalReason.DECLINED, refusal.reason)
        }

        @Test
        fun `a request that may have run is never refused as not run`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call()
            fixture.arrive(call)
            fixture.end(call, broken)

            val declined = AttemptOutcome.Declined(DeclineReason.FULL)
            assertIs<CallCommand.GiveUp>(fixture.end(call, declined).single())
        }

        @Test
        fun `a failed connection does not count as an attempt`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call(WorkKind.AtMostOnce, maxAttempts = 1)
            val first = dispatchedTo(fixture.arrive(call))

            val next = fixture.end(call, AttemptOutcome.NotSent("no connection"))
            assertTrue(dispatchedTo(next) != first)
        }

        @Test
        fun `retries stay within the shared budget when every attempt breaks`() {
            fixture.listEndpoints(*Array(40) { entry("e$it", slots = 100) })
            val retries = (1..500).count {
                val call = fixture.call()
                fixture.arrive(call)
                fixture.end(call, broken).single() is CallCommand.Dispatch
            }
            assertTrue(retries <= 500 * 0.2 + 100, "expected at most 200 retries, found $retries")
        }
    }

    @Nested
    inner class Waiting {
        @Test
        fun `a request waits while no slot is free and is dispatched when one is`() {
            fixture.listEndpoints(entry("e1", slots = 1))
            val first = fixture.call(rank = 1)
            fixture.listEndpoints(entry("e1", slots = 1))
            fixture.arrive(first)
            val second = fixture.call(rank = 1)
            assertTrue(fixture.arrive(second).isEmpty())

            val commands = fixture.end(first, AttemptOutcome.Answered(isSuccess = true))
            assertEquals(EndpointId("e1"), dispatchedTo(commands))
        }

        @Test
        fun `a request that gets no slot is refused well before its deadline`() {
            fixture.listEndpoints(entry("e1", slots = 1))
            fixture.arrive(fixture.call(rank = 1))
            fixture.arrive(fixture.call(rank = 1))
            fixture.nowMs = 150

            val refusal = fixture.commandsOf(ForwardingInput.Tick).single()
            assertEquals(
                RefusalReason.OVERLOADED,
                assertIs<CallCommand.Refuse>(refusal).reason
            )
        }

        @Test
        fun `urgent requests are dispatched before less urgent ones that arrived earlier`() {
            fixture.listEndpoints(entry("e1", slots = 1))
            val running = fixture.call(rank = 0)
            fixture.arrive(running)
            fixture.arrive(fixture.call(rank = 2))
            fixture.arrive(fixture.call(rank = 1))
            val urgent = fixture.call(rank = 0)
            repeat(3) { fixture.arrive(fixture.call(rank = 0)) }
            fixture.arrive(urgent)

            val effects = fixture.send(
                ForwardingInput.AttemptEnded(running.id, 1, AttemptOutcome.Answered(true))
            )
            val started = effects.filterIsInstance<ForwardingEffect.Command>().single()
            assertEquals(0, started.call.rankInPool)
        }

        @Test
        fun `a waiting request whose caller left gets no slot`() {
            fixture.listEndpoints(entry("e1", slots = 1))
            val running = fixture.call(rank = 1)
            fixture.arrive(running)
            val gone = fixture.call(rank = 1)
            fixture.arrive(gone)
            fixture.send(ForwardingInput.CallClosed(gone.id))

            assertTrue(fixture.end(running, AttemptOutcome.Answered(true)).isEmpty())
        }
    }

    @Nested
    inner class Draining {
        @Test
        fun `a draining endpoint gets no request`() {
            fixture.listEndpoints(entry("e1", isDraining = true), entry("e2"))
            repeat(2) {
                assertEquals(EndpointId("e2"), dispatchedTo(fixture.arrive(fixture.call())))
            }
        }

        @Test
        fun `a waiting request is not sent to an endpoint that began to drain`() {
            fixture.listEndpoints(entry("e1", slots = 1))
            val running = fixture.call(rank = 1)
            fixture.arrive(running)
            fixture.arrive(fixture.call(rank = 1))
            val commands = fixture.commandsOf(
                ForwardingInput.EndpointsChanged(listOf(entry("e1", 1, isDraining = true)))
            )

            assertIs<CallCommand.Refuse>(commands.single())
            assertTrue(fixture.end(running, AttemptOutcome.Answered(true)).isEmpty())
        }
    }

    @Nested
    inner class Quarantine {
        @Test
        fun `a request that crashed three endpoints is refused on every host`() {
            fixture.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            val fingerprint = fixture.call(fingerprint = "poison").fingerprint
            val notices = listOf("e1", "e2", "e3").mapIndexed { index, id ->
                CrashNotice(index + 1L, fingerprint, EndpointId(id))
            }
            fixture.report("host-2", 1, crashes = notices)

            val commands = fixture.arrive(fixture.call(fingerprint = "poison"))
            val refusal = assertIs<CallCommand.Refuse>(commands.single())
            assertEquals(RefusalReason.QUARANTINED, refusal.reason)
            assertNull(refusal.retryAfterMs)
        }

        /** Guards against a request that is refused since its endpoints were slow for a while. */
        @Test
        fun `a request whose endpoints stalled or answered wrongly is not quarantined`() {
            fixture.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            val outcomes = listOf(
                AttemptOutcome.Broken("response stalled"),
                AttemptOutcome.Replaced("stream stalled"),
                AttemptOutcome.Broken("unsigned response")
            )
            for (outcome in outcomes + outcomes) {
                val call = fixture.call(fingerprint = "innocent", maxAttempts = 1)
                dispatchedTo(fixture.arrive(call))
                fixture.end(call, outcome)
            }

            dispatchedTo(fixture.arrive(fixture.call(fingerprint = "innocent")))
        }

        /**
         * Load pattern: for four seconds endpoints reset connections, those of a resource that is
         * read ten times a second among them. Guards against its refusal after that.
         */
        @Test
        fun `a resource is served again after its endpoints have reset connections`() {
            fixture.listEndpoints(entry("e1", 9), entry("e2", 9), entry("e3", 9))
            var servedCount = 0
            for (nowMs in 0L..30_000L step 100) {
                fixture.nowMs = nowMs
                val call = fixture.call(fingerprint = "board")
                var commands = fixture.arrive(call)
                while (commands.singleOrNull() is CallCommand.Send) {
                    if (nowMs < 4_000) {
                        commands = fixture.end(call, lost)
                    } else {
                        commands = fixture.end(call, AttemptOutcome.Answered(isSuccess = true))
                        if (nowMs >= 16_000) servedCount++
                    }
                }
            }
            assertEquals(141, servedCount, "of 141 requests from 12 s after the last reset")
        }

        @Test
        fun `a request that ran to its end is not quarantined`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            val call = fixture.call(fingerprint = "innocent")
            fixture.arrive(call)
            fixture.end(call, broken)
            fixture.end(call, AttemptOutcome.Answered(isSuccess = true))

            dispatchedTo(fixture.arrive(fixture.call(fingerprint = "innocent")))
        }
    }

    /** Guards against a prompt part that crashes an endpoint with each new request. */
    @Nested
    inner class DeadlyPart {
        private fun callWith(vararg parts: Long) = fixture.call(
            prompt = parts.map { PromptPart(PromptPartId(it), 100) },
            maxAttempts = 1
        )

        /**
         * Sends a request with [parts], whose attempt ends with [outcome] if there is one, and
         * returns its first commands.
         */
        private fun play(outcome: AttemptOutcome, vararg parts: Long): List<CallCommand> {
            val call = callWith(*parts)
            fixture.nowMs += 1_000
            val commands = fixture.arrive(call)
            if (commands.any { it is CallCommand.Dispatch }) fixture.end(call, outcome)
            return commands
        }

        @Test
        fun `unlike requests with a part that crashed three endpoints are refused`() {
            fixture.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            val endpoints = (1L..3L).map { dispatchedTo(play(lost, 1, 66, it)) }
            assertEquals(3, endpoints.toSet().size, "$endpoints")

            val refusal = assertIs<CallCommand.Refuse>(play(lost, 2, 66, 9).single())
            assertEquals(RefusalReason.QUARANTINED, refusal.reason)
        }

        @Test
        fun `stalls and wrong answers quarantine no part`() {
            fixture.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            repeat(3) { play(AttemptOutcome.Broken("stalled"), 1, 66, it.toLong()) }

            dispatchedTo(play(lost, 2, 66, 9))
        }

        @Test
        fun `a request that had an event does not blame its parts`() {
            fixture.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            repeat(3) {
                val call = callWith(1, 66, it.toLong())
                fixture.nowMs += 1_000
                fixture.arrive(call)
                fixture.send(ForwardingInput.ResponseStarted(call.id, 1))
                fixture.end(call, lost)
            }

            dispatchedTo(play(lost, 2, 66, 9))
        }

        @Test
        fun `reports tell the other hosts of the part`() {
            fixture.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            repeat(3) { play(lost, 1, 66, it.toLong()) }
            val report = checkNotNull(fixture.controller.loadReport(fixture.nowMs))
            val other = ForwardingFixture()
            other.listEndpoints(entry("e1"), entry("e2"), entry("e3"))
            other.report("host-2", 1, suspectedParts = report.suspectedParts)

            val prompt = listOf(66L, 5L).map { PromptPart(PromptPartId(it), 100) }
            val commands = other.arrive(other.call(prompt = prompt))
            assertIs<CallCommand.Refuse>(commands.single())
        }
    }

    @Nested
    inner class OverLimit {
        /** Load pattern: an organisation sends large and small requests far above its limit. */
        @Test
        fun `small requests are admitted while large ones exceed the limit`() {
            fixture.listEndpoints(entry("e1", slots = 10_000))
            fixture.setLimit(ratePerS = 36_000.0)
            var refusedSmall = 0
            for (nowMs in 0L..10_000 step 50) {
                fixture.nowMs = nowMs
                fixture.arrive(fixture.call(tokens = 7_000, remainingMs = 1_000_000))
                val small = fixture.arrive(fixture.call(tokens = 200, remainingMs = 1_000_000))
                if (small.any { it is CallCommand.Refuse }) refusedSmall++
            }
            assertEquals(0, refusedSmall)
        }

        /** Load pattern: the same, with plain requests of the lowest rank beside urgent ones. */
        @Test
        fun `small requests of any rank are admitted while others exceed the limit`() {
            fixture.listEndpoints(entry("e1", slots = 10_000))
            fixture.setLimit(ratePerS = 36_000.0)
            var refusedSmall = 0
            for (nowMs in 0L..10_000 step 50) {
                fixture.nowMs = nowMs
                for (tokens in listOf(7_000, 1_900, 1_000)) {
                    fixture.arrive(fixture.call(tokens = tokens, remainingMs = 1_000_000))
                }
                val small = fixture.call(rank = 2, tokens = 200, remainingMs = 1_000_000)
                if (fixture.arrive(small).any { it is CallCommand.Refuse }) refusedSmall++
            }
            assertEquals(0, refusedSmall)
        }
    }

    @Nested
    inner class PeerLoad {
        @Test
        fun `requests of other hosts occupy slots`() {
            fixture.listEndpoints(entry("e1"), entry("e2"))
            fixture.report("host-2", 1, mapOf(EndpointId("e1") to HostLoad(2, 0)))

            assertEquals(EndpointId("e2"), dispatchedTo(fixture.arrive(fixture.call(rank = 1))))
        }

        @Test
        fun `an outdated report is ignored`() {
            fixture.listEndpoints(entry("e1"))
            fixture.report("host-2", 2)
            fixture.report("host-2", 1, mapOf(EndpointId("e1") to HostLoad(2, 0)))

            dispatchedTo(fixture.arrive(fixture.call(rank = 1)))
        }

        @Test
        fun `the load of a silent host no longer counts`() {
            fixture.listEndpoints(entry("e1"))
            fixture.report("host-2", 1, mapOf(EndpointId("e1") to HostLoad(2, 0)))
            fixture.nowMs = 3_000
            fixture.send(ForwardingInput.Tick)

            dispatchedTo(fixture.arrive(fixture.call(rank = 1)))
        }
    }
}

package cowslipcart.core.origin

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.claims.RecordedAnswer
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against a second dispatch of a request and against wrong answers about its outcome. */
class OriginControllerTest {
    private val fixture = OriginFixture()
    private val origin = fixture.origin
    private val id = fixture.requestId
    private val attempt = AttemptId(id.value)
    private val organisation = OrganisationId("org")
    private val answer = StoredAnswer(200, "application/json", "{}")

    @Nested
    inner class Grants {
        @Test
        fun `a grant dispatches the request`() {
            fixture.start()

            val dispatch = origin.onGranted(fixture.grant(), 10).only<OriginEffect.Dispatch>()

            assertEquals(fixture.endpoint, dispatch.endpoint)
        }

        @Test
        fun `a second grant is given back and does not dispatch again`() {
            fixture.start()
            origin.onGranted(fixture.grant(), 10)

            val effects = origin.onGranted(fixture.grant(id = GrantId("g2")), 11)

            assertEquals(GrantEnd.UNUSED, effects.only<OriginEffect.SendReleased>().report.end)
            assertTrue(effects.none { it is OriginEffect.Dispatch })
        }

        @Test
        fun `a grant that answers an old ask is given back`() {
            fixture.start()

            val effects = origin.onGranted(fixture.grant(), OriginController.MAX_GRANT_AGE_MS + 1)

            assertTrue(effects.none { it is OriginEffect.Dispatch })
        }

        @Test
        fun `a grant that arrives after the request ended as not run is given back`() {
            fixture.start()
            origin.onRefused(fixture.shard, id, RefusalReason.DEADLINE, null, 5)

            val effects = origin.onGranted(fixture.grant(), 10)

            assertTrue(effects.none { it is OriginEffect.Dispatch })
        }
    }

    @Nested
    inner class Claims {
        @Test
        fun `a keyed request asks for capacity only after it won its claim`() {
            val started = fixture.start(fixture.request(key = "k"))
            assertTrue(started.none { it is OriginEffect.SendAsk })

            val effects = origin.onClaimVerdict(attempt, ClaimVerdict.Won, 10)

            effects.only<OriginEffect.SendAsk>()
        }

        @Test
        fun `a claim won after its request ended is released and the request does not run`() {
            fixture.start(fixture.request(key = "k", isIdempotent = false))
            origin.onClaimUndecidable(id, "log down", 5)
            origin.onKeyStatus(id, KeyStatus.UNSEEN, 6)

            val effects = origin.onClaimVerdict(attempt, ClaimVerdict.Won, 10)

            assertIs<ClaimItem.Release>(effects.only<OriginEffect.SendClaimItem>().item)
            assertTrue(effects.none { it is OriginEffect.SendAsk })
        }

        @Test
        fun `an undecided claim ends as not run only if no host knows the key`() {
            fixture.start(fixture.request(key = "k"))
            origin.onClaimUndecidable(id, "log down", 5)

            val effects = origin.onKeyStatus(id, KeyStatus.UNKNOWN, 6)

            assertIs<Rejection.OutcomeUnknown>(effects.rejection())
        }

        @Test
        fun `the outcome is unknown if the other hosts do not reply`() {
            fixture.start(fixture.request(key = "k"))
            origin.onClaimUndecidable(id, "log down", 0)

            val effects = origin.tick(OriginController.OUTCOME_TIMEOUT_MS)

            assertIs<Rejection.OutcomeUnknown>(effects.rejection())
        }

        @Test
        fun `a request whose key is held gets the recorded answer`() {
            fixture.start(fixture.request(key = "k"))
            val recorded = RecordedAnswer(201, "text/plain", "done")
            val held = ClaimVerdict.Held(AttemptId("other"), fixture.self, recorded)

            val effects = origin.onClaimVerdict(attempt, held, 5)

            assertEquals("done", effects.only<OriginEffect.Replay>().answer.body)
        }

        @Test
        fun `without a recorded answer the origin of the holder is asked`() {
            fixture.start(fixture.request(key = "k"))
            val held = ClaimVerdict.Held(AttemptId("other"), fixture.self, null)
            origin.onClaimVerdict(attempt, held, 5)

            val effects = origin.onOutcome(
                organisation,
                RequestId("other"),
                RequestOutcome.Running,
                6
            )

            assertIs<Rejection.StillRunning>(effects.rejection())
        }

        @Test
        fun `all hosts are asked if the holder of the key was not run`() {
            fixture.start(fixture.request(key = "k"))
            val held = ClaimVerdict.Held(AttemptId("other"), fixture.self, null)
            origin.onClaimVerdict(attempt, held, 5)

            val asked =
                origin.onOutcome(organisation, RequestId("other"), RequestOutcome.NotRun, 6)
            asked.only<OriginEffect.SendKeyQuery>()
            val effects = origin.onKeyStatus(id, KeyStatus.UNKNOWN, 7)

            assertIs<Rejection.OutcomeUnknown>(effects.rejection())
        }
    }

    @Nested
    inner class StreamEnds {
        @Test
        fun `a broken stream never ends as not run`() {
            dispatched()

            val end = StreamEnd.Broken(fixture.report(GrantEnd.FAILED), "lost", false)

            assertIs<Rejection.OutcomeUnknown>(origin.onStreamEnd(id, end, 60).rejection())
        }

        @Test
        fun `a request that is proven not run asks for capacity again`() {
            dispatched()

            val end = StreamEnd.ProvenNotRun(fixture.report(GrantEnd.FAILED), "refused")

            origin.onStreamEnd(id, end, 60).only<OriginEffect.SendAsk>()
        }

        @Test
        fun `the caller is answered only after the hosts know about the crash`() {
            dispatched()
            val end = StreamEnd.Broken(fixture.report(GrantEnd.FAILED), "lost", true)
            val effects = origin.onStreamEnd(id, end, 60)
            assertTrue(effects.none { it is OriginEffect.Reject })

            val crash = effects.only<OriginEffect.ReportCrash>()

            assertIs<Rejection.OutcomeUnknown>(
                origin.onCrashAcknowledged(crash.crashId, 70).rejection()
            )
        }

        @Test
        fun `a stream end for another grant is ignored`() {
            dispatched()
            val report = fixture.report().copy(grantId = GrantId("g0"))

            assertEquals(emptyList(), origin.onStreamEnd(id, StreamEnd.Completed(report, null), 60))
        }

        @Test
        fun `a preempted request resumes on the same endpoint`() {
            dispatched()
            origin.onPreempt(id, fixture.grantId).only<OriginEffect.InterruptStream>()
            val end = StreamEnd.Interrupted(fixture.report(GrantEnd.CANCELLED), 4, true)

            val resume = origin.onStreamEnd(id, end, 60).only<OriginEffect.SendPreempted>().resume

            assertEquals(fixture.endpoint, resume?.resumeOn)
        }
    }

    @Nested
    inner class Outcomes {
        @Test
        fun `another organisation does not see a request`() {
            fixture.start(fixture.request(key = "k"))
            origin.onClaimVerdict(attempt, ClaimVerdict.Won, 1)
            origin.onGranted(fixture.grant(), 2)
            origin.onStreamEnd(id, StreamEnd.Completed(fixture.report(), answer), 60)

            assertEquals(
                RequestOutcome.Unknown,
                origin.outcomeOf(OrganisationId("stranger"), id)
            )
            assertEquals(
                RequestOutcome.Answered(answer),
                origin.outcomeOf(OrganisationId("org"), id)
            )
        }
    }

    @Nested
    inner class Shutdown {
        @Test
        fun `a request that arrives during a shutdown ends as not run`() {
            origin.drain(limitMs = 100, nowMs = 0)

            assertIs<Rejection.NotRun>(fixture.start(nowMs = 1).rejection())
        }

        @Test
        fun `a running stream is not ended by the drain limit`() {
            dispatched()
            origin.drain(limitMs = 100, nowMs = 20)

            assertEquals(emptyList(), origin.tick(10_000))
            assertEquals(1, origin.openCount)
        }
    }

    @Nested
    inner class Shards {
        @Test
        fun `all shards are asked before a request is shed`() {
            val many = OriginFixture(shardCount = 2)
            val first = many.start().only<OriginEffect.SendAsk>().shard

            val second = many.origin
                .onRefused(first, id, RefusalReason.SHARD_FULL, 500, 5)
                .only<OriginEffect.SendAsk>().shard
            val end = many.origin.onRefused(second, id, RefusalReason.SHARD_FULL, 500, 6)

            assertTrue(first != second)
            assertIs<Rejection.NotRun>(end.rejection())
        }

        @Test
        fun `a shard that refused is asked again after a wait at another shard`() {
            val many = OriginFixture(shardCount = 2)
            val full = RefusalReason.SHARD_FULL
            val first = many.start().only<OriginEffect.SendAsk>().shard
            val second =
                many.origin.onRefused(first, id, full, 500, 5).only<OriginEffect.SendAsk>().shard

            val again = many.origin.onRefused(second, id, full, 500, 3_000)
            assertEquals(first, again.only<OriginEffect.SendAsk>().shard)
            val end = many.origin.onRefused(first, id, full, 500, 3_010)
            assertIs<Rejection.NotRun>(end.rejection())
        }

        @Test
        fun `the total wait at all shards is bounded`() {
            val many = OriginFixture(shardCount = 2)
            val first = many.start().only<OriginEffect.SendAsk>().shard
            many.origin.onRefused(first, id, RefusalReason.SHARD_FULL, 500, 50_000)
            val end = many.origin.tick(OriginController.MAX_WAIT_MS)
            assertIs<Rejection.NotRun>(end.rejection())
        }
    }

    private fun dispatched() {
        fixture.start()
        origin.onGranted(fixture.grant(), 10)
    }
}

package cowslipcart.core.rollout

import cowslipcart.core.routing.RouteId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class RolloutProgressTest {
    private val good = RolloutSituation(
        ageMs = DURATION_MS / 2,
        stepAgeMs = 10_000,
        durationMs = DURATION_MS,
        verdict = Verdict.Good,
        newSlotCount = 100,
        runningCount = 60,
        isEarlierIdle = true
    )
    private val bad = Verdict.Bad(RouteId("a"), AnswerProperty.FAILURE, "3 of 5")
    private val likely = Verdict.Undecided("a", isLikelyGood = true)
    private val steps = listOf(
        RolloutStep.Observing,
        RolloutStep.Shifting(25),
        RolloutStep.Shifting(50),
        RolloutStep.Moved
    )

    @Nested
    inner class Forward {
        @Test
        fun `a good version takes all steps`() {
            val taken = generateSequence<RolloutStep>(RolloutStep.Observing) {
                RolloutProgress.next(it, good)
            }
            assertEquals(steps + RolloutStep.Complete, taken.toList())
        }

        /** Guards against a version whose fault begins later. */
        @Test
        fun `the observation lasts although the evidence suffices`() {
            assertNull(RolloutProgress.next(RolloutStep.Observing, good.copy(ageMs = 20_000)))
        }

        /** Guards against an order that is finished only at its deadline. */
        @Test
        fun `all steps together end well before the deadline`() {
            for (durationMs in listOf(30_000L, 45_000L, 60_000L, 120_000L, 600_000L)) {
                var step: RolloutStep = RolloutStep.Observing
                var ageMs = 0L
                var sinceMs = 0L
                while (step != RolloutStep.Complete) {
                    val now = good.copy(
                        ageMs = ageMs,
                        stepAgeMs = ageMs - sinceMs,
                        durationMs = durationMs,
                        isEarlierIdle = false
                    )
                    RolloutProgress.next(step, now)?.let {
                        step = it
                        sinceMs = ageMs
                    }
                    ageMs += 500
                }
                assertTrue(ageMs <= durationMs * 9 / 10, "found $ageMs of $durationMs")
            }
        }

        /** Guards against a load that the new endpoints can't carry. */
        @Test
        fun `a step waits for capacity`() {
            for (step in steps.dropLast(1)) {
                assertNull(RolloutProgress.next(step, good.copy(newSlotCount = 10)), "$step")
            }
        }

        /** Guards against requests that end with the endpoints of the earlier version. */
        @Test
        fun `completion waits for requests at earlier versions`() {
            val waiting = good.copy(isEarlierIdle = false, stepAgeMs = 5_000)
            assertNull(RolloutProgress.next(RolloutStep.Moved, waiting))
        }

        @Test
        fun `a version that likely is good is moved when time gets short`() {
            val early = good.copy(verdict = likely)
            val late = early.copy(ageMs = DURATION_MS * 3 / 4)

            assertNull(RolloutProgress.next(RolloutStep.Observing, early))
            assertEquals(
                RolloutStep.Shifting(25),
                RolloutProgress.next(RolloutStep.Observing, late)
            )
        }
    }

    @Nested
    inner class Back {
        @Test
        fun `a bad version is taken back from each step`() {
            for (step in steps) {
                val next = RolloutProgress.next(step, good.copy(verdict = bad))
                assertEquals(RolloutStep.RolledBack, next, "$step")
            }
        }

        /** Guards against an order that never ends because no endpoint starts. */
        @Test
        fun `a version without evidence is taken back before the deadline`() {
            val never = good.copy(
                ageMs = DURATION_MS - 3_000,
                newSlotCount = 0,
                verdict = Verdict.Undecided("any", isLikelyGood = false)
            )
            assertEquals(
                RolloutStep.RolledBack,
                RolloutProgress.next(RolloutStep.Observing, never)
            )
        }

        /** Guards against a final state that is replaced. */
        @Test
        fun `nothing follows a final step`() {
            for (step in listOf(RolloutStep.Complete, RolloutStep.RolledBack)) {
                assertNull(RolloutProgress.next(step, good))
                assertNull(RolloutProgress.next(step, good.copy(verdict = bad)))
            }
        }

        @Test
        fun `a version that was in service is not taken back`() {
            val abort = good.copy(isAlreadyServing = true, verdict = bad)
            assertEquals(RolloutStep.Moved, RolloutProgress.next(RolloutStep.Observing, abort))
        }
    }

    private companion object {
        const val DURATION_MS = 60_000L
    }
}

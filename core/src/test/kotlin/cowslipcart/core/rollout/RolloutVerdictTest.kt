package cowslipcart.core.rollout

import cowslipcart.core.routing.RouteId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class RolloutVerdictTest {
    private val routes = listOf(RouteId("a"), RouteId("b"), RouteId("c"))

    /**
     * Plays [durationS] seconds in which each route gets [EARLIER_PER_S] answers a second of the
     * earlier version and [NEW_PER_S] of the new one, to the first bad verdict at most.
     */
    private fun play(
        seed: Int,
        earlierRate: Double = 0.01,
        durationS: Int = DURATION_S,
        newRate: (RouteId, CohortId, Int) -> Double
    ): History {
        val random = Random(seed)
        val verdict = RolloutVerdict()
        var isAccepted = false
        var faultCount = 0
        for (second in 0 until durationS) {
            val nowMs = second * 1_000L
            for (route in routes) {
                repeat(EARLIER_PER_S) {
                    add(verdict, route, CohortId.EARLIER, random.nextDouble() < earlierRate, nowMs)
                }
                repeat(NEW_PER_S) {
                    val cohort = CohortId(random.nextInt(COHORTS))
                    val rate = newRate(route, cohort, second)
                    val isBad = random.nextDouble() < rate
                    if (isBad && rate > USUAL_RATE) faultCount++
                    add(verdict, route, cohort, isBad, nowMs)
                }
            }
            val now = verdict.judge(nowMs)
            if (now is Verdict.Bad) return History(true, isAccepted, faultCount)
            val isLikely = (now as? Verdict.Undecided)?.isLikelyGood == true
            if (now == Verdict.Good && second >= OBSERVED_S) isAccepted = true
            if (isLikely && second >= LATEST_S) isAccepted = true
        }
        return History(isBad = false, isAccepted, faultCount)
    }

    /**
     * [isAccepted] says whether a step could begin after the observation and before it is late,
     * [faultCount] how many bad answers the fault of the version had caused.
     */
    private class History(val isBad: Boolean, val isAccepted: Boolean, val faultCount: Int)

    private fun add(
        verdict: RolloutVerdict,
        route: RouteId,
        cohort: CohortId,
        isBad: Boolean,
        nowMs: Long
    ) {
        val failures = Tally(1, if (isBad) 1 else 0)
        verdict.onAnswers(EvidenceKey(route, cohort), AnswerCounts(failures), nowMs)
    }

    @Nested
    inner class Histories {
        /** Guards against a good version that is rolled back by chance. */
        @Test
        fun `a good version is accepted in nearly all histories`() {
            val histories = (1..HISTORIES).map { seed -> play(seed) { _, _, _ -> 0.01 } }

            val bad = histories.count { it.isBad }
            val good = histories.count { it.isAccepted }
            assertTrue(bad <= HISTORIES / 1_000, "found $bad of $HISTORIES rolled back")
            assertTrue(good >= HISTORIES * 99 / 100, "found $good of $HISTORIES accepted")
        }

        /** Guards against a fault that is taken for chance. */
        @Test
        fun `a version that fails in a fifth of its answers is found before its 50th failure`() {
            val results = (1..HISTORIES).map { seed -> play(seed) { _, _, _ -> 0.2 } }

            val missed = results.count { !it.isBad }
            val late = results.count { it.faultCount > 50 }
            assertTrue(missed == 0, "found $missed of $HISTORIES missed")
            assertTrue(late <= HISTORIES / 1_000, "found $late of $HISTORIES late")
        }

        /** Guards against good answers of all routes that hide the bad ones of one. */
        @Test
        fun `a fault on one route is found`() {
            val missed = (1..HISTORIES).count { seed ->
                play(seed) { route, _, _ -> if (route == routes[1]) 0.3 else 0.01 }
                    .isBad.not()
            }
            assertTrue(missed <= HISTORIES / 1_000, "found $missed of $HISTORIES missed")
        }

        /** Guards against good answers of the first minutes that outweigh a later fault. */
        @Test
        fun `a fault that begins after the version was accepted is found at once`() {
            val results = (1..HISTORIES / 3).map { seed ->
                play(seed, durationS = LATE_FAULT_S + FOUND_WITHIN_S) { _, _, second ->
                    if (second >= LATE_FAULT_S) 0.3 else 0.01
                }
            }
            val missed = results.count { !it.isBad }
            val late = results.count { it.faultCount > 50 }
            assertTrue(missed <= HISTORIES / 3_000, "found $missed missed")
            assertTrue(late <= HISTORIES / 3_000, "found $late late")
        }

        /** Guards against one broken endpoint that condemns a good version until it is ejected. */
        @Test
        fun `a version with one faulty endpoint is not bad`() {
            val bad = (1..HISTORIES).count { seed ->
                play(seed) { _, cohort, second ->
                    if (cohort.value == 2 && second < EJECTION_S) 0.9 else 0.01
                }.isBad
            }
            assertTrue(bad <= HISTORIES / 1_000, "found $bad of $HISTORIES rolled back")
        }

        /** Guards against a fault under load that only the busiest endpoint shows. */
        @Test
        fun `a version whose faults are all at one endpoint is found before its 50th failure`() {
            val late = (1..HISTORIES).count { seed ->
                val history = play(seed) { _, cohort, _ -> if (cohort.value == 2) 0.9 else 0.01 }
                !history.isBad || history.faultCount > 50
            }
            assertEquals(0, late)
        }

        /** Guards against trouble of the whole pool that is taken for a fault of the version. */
        @Test
        fun `failures of both versions are no fault of the new one`() {
            val bad = (1..HISTORIES).count { seed ->
                play(seed, earlierRate = 0.2) { _, _, _ -> 0.2 }.isBad
            }
            assertTrue(bad <= HISTORIES / 200, "found $bad of $HISTORIES rolled back")
        }
    }

    @Nested
    inner class Properties {
        private val verdict = RolloutVerdict()

        private fun add(cohort: CohortId, counts: AnswerCounts, count: Int = 1) = repeat(count) {
            verdict.onAnswers(EvidenceKey(routes[0], cohort), counts, 0)
        }

        private val punctual = AnswerCounts(Tally(1, 0), Tally(1, 0), Tally(1, 0))

        /** Guards against a version whose answers succeed but come late. */
        @Test
        fun `late first parts are found`() {
            add(CohortId.EARLIER, punctual, 200)
            val late = AnswerCounts(Tally(1, 0), Tally(1, 1), Tally(1, 0))
            for (cohort in 0 until COHORTS) add(CohortId(cohort), late, 5)

            val bad = assertIs<Verdict.Bad>(verdict.judge(0))
            assertEquals(AnswerProperty.FIRST_PART, bad.property)
        }

        /** Guards against a version whose streams stutter. */
        @Test
        fun `long gaps are found`() {
            add(CohortId.EARLIER, punctual, 200)
            val slow = AnswerCounts(Tally(1, 0), Tally(1, 0), Tally(1, 1))
            for (cohort in 0 until COHORTS) add(CohortId(cohort), slow, 5)

            assertEquals(
                AnswerProperty.GAPS,
                assertIs<Verdict.Bad>(verdict.judge(0)).property
            )
        }

        /** Guards against a step on the evidence of one route alone. */
        @Test
        fun `a route without answers of the new version is waited for`() {
            add(CohortId.EARLIER, punctual, 200)
            add(CohortId(1), punctual, 200)
            verdict.onAnswers(EvidenceKey(routes[1], CohortId.EARLIER), punctual, 0)

            val undecided = assertIs<Verdict.Undecided>(verdict.judge(0))
            assertTrue(!undecided.isLikelyGood)
            assertTrue(undecided.missing.startsWith("b "), "found ${undecided.missing}")
        }

        /** Guards against an end of the observation before any request. */
        @Test
        fun `nothing is decided without answers`() {
            assertIs<Verdict.Undecided>(verdict.judge(0))
        }
    }

    private companion object {
        const val HISTORIES = 3_000
        const val DURATION_S = 60
        const val USUAL_RATE = 0.01
        const val LATE_FAULT_S = 300

        /** Bad answers come at 3.6 a second, so fewer than 50 of them are found by then. */
        const val FOUND_WITHIN_S = 13
        const val EARLIER_PER_S = 20
        const val NEW_PER_S = 4
        const val COHORTS = 4

        /** Time in which an endpoint that fails nine of ten requests is ejected. */
        const val EJECTION_S = 5

        /** End of the observation. */
        const val OBSERVED_S = 27

        /** From then on a version is moved unless something speaks against it. */
        const val LATEST_S = 36
    }
}

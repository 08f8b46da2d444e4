package cowslipcart.core.rollout

/**
 * What the next step of a roll-out depends on.
 *
 * @property ageMs time since the order
 * @property stepAgeMs time since this host learned of the present step
 * @property newSlotCount slots of the endpoints of the new version that are in service
 * @property runningCount requests of all hosts at endpoints of the pool
 * @property isEarlierIdle whether no host has a request at an earlier version, as far as is known
 * @property isAlreadyServing whether the new version was in service before the order
 */
internal data class RolloutSituation(
    val ageMs: Long,
    val stepAgeMs: Long,
    val durationMs: Long,
    val verdict: Verdict,
    val newSlotCount: Int,
    val runningCount: Int,
    val isEarlierIdle: Boolean,
    val isAlreadyServing: Boolean = false
)

/** Decides on the steps of a roll-out: when there is evidence and capacity enough for the next. */
internal object RolloutProgress {
    /** Returns the step that follows [step] now; null if it stays. */
    fun next(step: RolloutStep, now: RolloutSituation): RolloutStep? {
        if (step.isFinal) return null
        if (now.verdict is Verdict.Bad && !now.isAlreadyServing) return RolloutStep.RolledBack
        val isDue = now.ageMs >= now.durationMs - WRITE_RESERVE_MS
        return when (step) {
            RolloutStep.Observing -> when {
                now.isAlreadyServing -> RolloutStep.Moved

                isDue -> RolloutStep.RolledBack

                mayShift(now) && hasCapacity(FIRST_PERCENT, now) ->
                    RolloutStep.Shifting(FIRST_PERCENT)

                else -> null
            }

            is RolloutStep.Shifting -> when {
                isDue -> RolloutStep.RolledBack

                now.stepAgeMs < stepMs(now.durationMs) -> null

                isSuspect(now.verdict) -> null

                step.percent < SECOND_PERCENT ->
                    RolloutStep.Shifting(SECOND_PERCENT).takeIf { hasCapacity(SECOND_PERCENT, now) }

                else -> RolloutStep.Moved.takeIf { hasCapacity(ALL_PERCENT, now) }
            }

            RolloutStep.Moved -> {
                val isIdle = now.isEarlierIdle && now.stepAgeMs >= stepMs(now.durationMs)
                val isOver = isIdle || now.stepAgeMs >= drainMs(now.durationMs) || isDue
                RolloutStep.Complete.takeIf { isOver }
            }

            RolloutStep.Complete, RolloutStep.RolledBack -> null
        }
    }

    /** Whether the observation is over at [ageMs] and shows enough. */
    private fun mayShift(now: RolloutSituation): Boolean {
        if (now.ageMs < observeMs(now.durationMs)) return false
        return when (val verdict = now.verdict) {
            is Verdict.Bad -> false
            Verdict.Good -> true
            is Verdict.Undecided -> verdict.isLikelyGood && now.ageMs >= latestMs(now.durationMs)
        }
    }

    private fun isSuspect(verdict: Verdict): Boolean =
        verdict is Verdict.Undecided && !verdict.isLikelyGood

    private fun hasCapacity(percent: Int, now: RolloutSituation): Boolean = now.newSlotCount > 0 &&
        now.newSlotCount * USABLE_PART >= now.runningCount * percent / ALL_PERCENT.toDouble()

    /** Duration of the observation: a late fault has time to show, and the steps have time left. */
    fun observeMs(durationMs: Long): Long = minOf(
        (durationMs * OBSERVE_PART).toLong(),
        latestMs(durationMs)
    )

    /** When the steps begin at the latest, if nothing speaks against the version. */
    private fun latestMs(durationMs: Long): Long {
        val restMs = 2 * stepMs(durationMs) + drainMs(durationMs) + 2 * WRITE_RESERVE_MS
        return maxOf(durationMs - restMs, durationMs / LEAST_OBSERVE_DIVISOR)
    }

    private fun stepMs(durationMs: Long): Long =
        (durationMs / STEP_DIVISOR).coerceIn(MIN_STEP_MS, MAX_STEP_MS)

    /** Longest time for which requests at earlier versions are waited for, in ms. */
    private fun drainMs(durationMs: Long): Long = minOf(MAX_DRAIN_MS, durationMs / DRAIN_DIVISOR)

    private const val FIRST_PERCENT = 25
    private const val SECOND_PERCENT = 50
    private const val ALL_PERCENT = 100
    private const val OBSERVE_PART = 0.45
    private const val LEAST_OBSERVE_DIVISOR = 4
    private const val STEP_DIVISOR = 20
    private const val MIN_STEP_MS = 2_000L
    private const val MAX_STEP_MS = 10_000L

    /** Streams last some seconds; longer ones are cut off. */
    private const val MAX_DRAIN_MS = 12_000L
    private const val DRAIN_DIVISOR = 4

    /** A write that is refused or has no answer is repeated within this time, in ms. */
    private const val WRITE_RESERVE_MS = 3_000L

    /** The rest of the slots is for uneven load. */
    private const val USABLE_PART = 0.9
}

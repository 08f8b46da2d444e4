package cowslipcart.core.rollout

import cowslipcart.core.routing.RouteId

/** What is compared: requests to one route whose prompts have a similar size. */
internal data class WorkClass(val route: RouteId, val sizeClass: Int) {
    companion object {
        /** Returns the class of a prompt of [tokens]; sizes of one class differ twofold at most. */
        fun of(route: RouteId, tokens: Int) =
            WorkClass(route, Int.SIZE_BITS - tokens.coerceAtLeast(0).countLeadingZeroBits())
    }
}

/** Judges times by the median of the earlier version, as this host measures it. */
internal class AnswerJudge {
    private val firstParts = mutableMapOf<WorkClass, RunningMedian>()
    private val gaps = mutableMapOf<RouteId, RunningMedian>()

    /** Returns whether a first part after [tookMs] is late; null if that can't be told. */
    fun isLate(work: WorkClass, tookMs: Long): Boolean? = firstParts[work]?.isFarAbove(tookMs)

    /** Returns whether a mean gap of [gapMs] is long; null if that can't be told. */
    fun isLongGap(route: RouteId, gapMs: Double): Boolean? = gaps[route]?.isFarAbove(gapMs.toLong())

    /** Takes the time to the first part of an answer of an earlier version. */
    fun onEarlierFirstPart(work: WorkClass, tookMs: Long) =
        firstParts.getOrPut(work) { RunningMedian() }.add(tookMs.toDouble())

    /** Takes the mean gap of a stream of an earlier version. */
    fun onEarlierGap(route: RouteId, gapMs: Double) =
        gaps.getOrPut(route) { RunningMedian() }.add(gapMs)

    /** A median that is estimated by steps towards each sample, so that it forgets. */
    private class RunningMedian {
        private var value = 0.0
        private var count = 0

        fun add(sample: Double) {
            count++
            val step = maxOf(1.0 / count, LEAST_STEP)
            value = when {
                count == 1 -> sample
                sample > value -> value * (1 + step)
                else -> value * (1 - step)
            }
        }

        fun isFarAbove(sampleMs: Long): Boolean? =
            if (count < MIN_SAMPLES) null else sampleMs > value * LATE_FACTOR + LATE_SLACK_MS
    }

    private companion object {
        const val LEAST_STEP = 0.05
        const val MIN_SAMPLES = 5

        /** A bad version is several times slower; load alone makes less of a difference. */
        const val LATE_FACTOR = 3.0

        /** Delays on the way that have nothing to do with the endpoint, in ms. */
        const val LATE_SLACK_MS = 20.0
    }
}

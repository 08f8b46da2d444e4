package cowslipcart.core.forwarding

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow

/**
 * Distribution of recent times in logarithmic buckets. Old samples lose half of their weight each
 * [HALF_LIFE_SAMPLES] samples.
 */
internal class AnswerTimes {
    private val weights = DoubleArray(BUCKET_COUNT)
    private var totalWeight = 0.0

    /** Number of samples, at most [HALF_LIFE_SAMPLES]. */
    var sampleCount = 0
        private set

    /** Adds a time of [tookMs]. */
    fun add(tookMs: Long) {
        if (sampleCount < HALF_LIFE_SAMPLES) sampleCount++
        for (index in weights.indices) weights[index] *= DECAY
        totalWeight = totalWeight * DECAY + 1
        weights[bucketOf(tookMs)] += 1.0
    }

    /** Returns a time that is not exceeded by [share] of the samples, in ms. */
    fun quantileMs(share: Double): Long {
        var below = 0.0
        for (index in weights.indices) {
            below += weights[index]
            if (below >= share * totalWeight) return upperMs(index)
        }
        return upperMs(weights.lastIndex)
    }

    private fun bucketOf(tookMs: Long): Int =
        (ln(maxOf(tookMs, 1L).toDouble()) / LOG_GROWTH).toInt().coerceIn(0, BUCKET_COUNT - 1)

    private fun upperMs(index: Int): Long = exp((index + 1) * LOG_GROWTH).toLong()

    private companion object {
        /** Ratio of the bounds of a bucket; the error of a quantile is at most this. */
        const val GROWTH = 1.2
        val LOG_GROWTH = ln(GROWTH)

        /** Up to a minute; longer times share the last bucket. */
        const val BUCKET_COUNT = 61
        const val HALF_LIFE_SAMPLES = 200
        val DECAY = 0.5.pow(1.0 / HALF_LIFE_SAMPLES)
    }
}

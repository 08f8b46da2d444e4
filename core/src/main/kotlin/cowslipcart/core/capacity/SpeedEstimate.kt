package cowslipcart.core.capacity

import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min

/**
 * Estimated prefill or decode speed of an endpoint in tokens a second, as an exponentially weighted
 * moving average of samples.
 *
 * There are two averages. The slow one is the estimate and is not much affected by single samples.
 * When the fast one falls below half of the slow one or rises above twice its value, the speed has
 * changed, and the slow one is set to the fast one for a while. A tenfold drop shows after 1 to 2 s
 * of samples.
 *
 * @param declaredPerS speed before the first sample
 */
internal class SpeedEstimate(private var declaredPerS: Double, nowMs: Long) {
    private var slowPerS = declaredPerS
    private var fastPerS = declaredPerS
    private var lastSampleMs = nowMs
    private var lastDecayMs = nowMs
    private var followUntilMs = Long.MIN_VALUE

    /** Current estimate; 0.0 if no speed is declared, as for services that process no tokens. */
    val tokensPerS: Double get() = slowPerS

    /**
     * Adds a sample.
     *
     * @param coveredMs time of the endpoint that the sample covers; a longer time weighs more
     */
    fun observe(samplePerS: Double, coveredMs: Double, nowMs: Long) {
        if (declaredPerS <= 0.0) return
        val bounded = samplePerS.coerceIn(declaredPerS * MIN_SHARE, declaredPerS * MAX_SHARE)
        val sinceLastMs = min((nowMs - lastSampleMs).toDouble(), SLOW_TIME_CONSTANT_MS)
        val weightMs = max(coveredMs, sinceLastMs)
        lastSampleMs = nowMs
        lastDecayMs = nowMs
        slowPerS += (bounded - slowPerS) * (1 - exp(-weightMs / SLOW_TIME_CONSTANT_MS))
        fastPerS += (bounded - fastPerS) * (1 - exp(-weightMs / FAST_TIME_CONSTANT_MS))
        if (fastPerS < slowPerS / CHANGE_FACTOR || fastPerS > slowPerS * CHANGE_FACTOR) {
            followUntilMs = nowMs + FOLLOW_MS
        }
        if (nowMs <= followUntilMs) slowPerS = fastPerS
    }

    /**
     * Moves the estimate towards the declared speed while no samples arrive. A slow endpoint gets
     * no work and could otherwise never show that it recovered.
     */
    fun decay(nowMs: Long) {
        if (nowMs - lastSampleMs < SLOW_TIME_CONSTANT_MS) return
        val share = 1 - exp(-(nowMs - lastDecayMs) / DECAY_TIME_CONSTANT_MS)
        lastDecayMs = nowMs
        slowPerS += (declaredPerS - slowPerS) * share
        fastPerS = slowPerS
    }

    /** Applies a changed declaration and drops the samples, which may no longer hold. */
    fun redeclare(tokensPerS: Double) {
        if (tokensPerS == declaredPerS) return
        declaredPerS = tokensPerS
        slowPerS = tokensPerS
        fastPerS = tokensPerS
    }

    private companion object {
        const val SLOW_TIME_CONSTANT_MS = 10_000.0
        const val FAST_TIME_CONSTANT_MS = 1_000.0
        const val DECAY_TIME_CONSTANT_MS = 30_000.0
        const val CHANGE_FACTOR = 2.0

        // Three fast time constants, after which the fast average has nearly reached the new speed.
        const val FOLLOW_MS = 3_000L

        // Bounds on samples relative to the declared speed, so that one wrong report cannot take an
        // endpoint out of use.
        const val MIN_SHARE = 0.01
        const val MAX_SHARE = 20.0
    }
}

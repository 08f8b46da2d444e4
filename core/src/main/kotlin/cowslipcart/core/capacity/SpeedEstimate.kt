package cowslipcart.core.capacity

import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min

/**
 * Learned rate of an endpoint in tokens a second, an exponentially weighted mean of samples.
 *
 * Two means are kept. The slow one follows the noise of single samples little; when the fast one
 * falls below half of it or rises above twice of it, the speed has changed and the slow one follows
 * it for a while. A tenfold drop shows after 1 to 2 s of samples.
 *
 * @param declaredPerS rate before the first sample
 */
internal class SpeedEstimate(private var declaredPerS: Double, nowMs: Long) {
    private var slowPerS = declaredPerS
    private var fastPerS = declaredPerS
    private var lastSampleMs = nowMs
    private var lastRelaxMs = nowMs
    private var followUntilMs = Long.MIN_VALUE

    /** Current estimate; 0.0 if the endpoint has no such rate, as with plain services. */
    val perS: Double get() = slowPerS

    /**
     * Takes a sample.
     *
     * @param coveredMs how much time of the endpoint the sample stands for
     */
    fun observe(samplePerS: Double, coveredMs: Double, nowMs: Long) {
        if (declaredPerS <= 0.0) return
        val bounded = samplePerS.coerceIn(declaredPerS * LEAST_SHARE, declaredPerS * MOST_SHARE)
        val sinceLastMs = min((nowMs - lastSampleMs).toDouble(), SLOW_TIME_CONSTANT_MS)
        val weightMs = max(coveredMs, sinceLastMs)
        lastSampleMs = nowMs
        lastRelaxMs = nowMs
        slowPerS += (bounded - slowPerS) * (1 - exp(-weightMs / SLOW_TIME_CONSTANT_MS))
        fastPerS += (bounded - fastPerS) * (1 - exp(-weightMs / FAST_TIME_CONSTANT_MS))
        if (fastPerS < slowPerS / CHANGE_FACTOR || fastPerS > slowPerS * CHANGE_FACTOR) {
            followUntilMs = nowMs + FOLLOW_MS
        }
        if (nowMs <= followUntilMs) slowPerS = fastPerS
    }

    /**
     * Moves the estimate towards the declared rate while no samples arrive. An endpoint that was
     * slow gets no work and would otherwise never show that it recovered.
     */
    fun relax(nowMs: Long) {
        if (nowMs - lastSampleMs < SLOW_TIME_CONSTANT_MS) return
        val share = 1 - exp(-(nowMs - lastRelaxMs) / RELAX_TIME_CONSTANT_MS)
        lastRelaxMs = nowMs
        slowPerS += (declaredPerS - slowPerS) * share
        fastPerS = slowPerS
    }

    /** Adopts a changed declaration; what was learned is dropped, since it may not apply. */
    fun redeclare(perS: Double) {
        if (perS == declaredPerS) return
        declaredPerS = perS
        slowPerS = perS
        fastPerS = perS
    }

    private companion object {
        const val SLOW_TIME_CONSTANT_MS = 10_000.0
        const val FAST_TIME_CONSTANT_MS = 1_000.0
        const val RELAX_TIME_CONSTANT_MS = 30_000.0
        const val CHANGE_FACTOR = 2.0

        // Three fast time constants, after which the fast mean has reached the new speed.
        const val FOLLOW_MS = 3_000L

        // Bounds on samples, so that one wrong report cannot take an endpoint out of use.
        const val LEAST_SHARE = 0.01
        const val MOST_SHARE = 20.0
    }
}

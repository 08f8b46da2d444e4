package cowslipcart.daemon.gateway

import cowslipcart.daemon.control.RuntimeClock

/**
 * Tells when the machine was suspended, which the monotonic clock does not count: the wall clock
 * has moved on further than the monotonic one. A step of the wall clock looks the same.
 */
internal class SuspensionDetector(private val clock: RuntimeClock) {
    private var offsetMs = currentOffsetMs()

    /** Returns how far the wall clock has moved ahead since the last call, in ms; 0 if not. */
    fun takeSuspendedMs(): Long {
        val next = currentOffsetMs()
        val movedMs = next - offsetMs
        offsetMs = next
        return if (movedMs >= MIN_SUSPENSION_MS) movedMs else 0
    }

    private fun currentOffsetMs(): Long = clock.wallNowMs() - clock.nowMs()

    private companion object {
        /** Shorter than what the age of the endpoint list may grow by unnoticed, in ms. */
        const val MIN_SUSPENSION_MS = 300L
    }
}

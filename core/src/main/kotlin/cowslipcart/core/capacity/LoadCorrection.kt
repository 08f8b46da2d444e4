package cowslipcart.core.capacity

import kotlin.math.max
import kotlin.math.min

/** Corrects the estimated load and speeds of endpoints by reports of origins and endpoints. */
internal object LoadCorrection {
    // Time from a grant to the arrival of the request at the endpoint.
    private const val DISPATCH_DELAY_MS = 20L

    // Fixed delays dominate shorter prompts and would make every endpoint look slow.
    private const val MIN_SAMPLE_TOKENS = 256
    private const val MIN_SAMPLE_INTERVAL_MS = 200L

    // A prefill is overdue when it takes longer than twice its estimate plus this time.
    private const val OVERDUE_MS = 500L

    /** Applies a load report, which describes the endpoint [LoadReport.ageMs] ago. */
    fun applyLoad(endpoint: EndpointState, report: LoadReport, nowMs: Long) {
        endpoint.isLeaving = report.isLeaving
        val atMs = nowMs - report.ageMs
        val perMs = endpoint.prefillSpeed.tokensPerS / 1_000.0
        val grantedSinceMs = atMs - DISPATCH_DELAY_MS
        if (perMs > 0.0 && endpoint.history.covers(grantedSinceMs)) {
            val reported = report.waitingTokens.toDouble()
            val waiting = endpoint.history
                .waitingTokensAt(nowMs, atMs, grantedSinceMs, reported, perMs)
            endpoint.prefillBusyUntilMs = nowMs + waiting / perMs
        }
        // Upper bound of the reported requests that have a grant, so that delays do not look like
        // requests without one.
        val ownAtReport = endpoint.running.size - endpoint.history.grantsSince(atMs) +
            endpoint.history.endsSince(atMs - DISPATCH_DELAY_MS)
        endpoint.recordUngranted(max(0, report.runningCount - max(0, ownAtReport)), nowMs)
    }

    /** Learns from a progress report of [work]. */
    fun applyProgress(work: RunningWork, sentTokens: Int, nowMs: Long) {
        val endpoint = work.endpoint
        val intervalMs = nowMs - work.progressAtMs
        if (work.sentTokens > 0 && intervalMs < MIN_SAMPLE_INTERVAL_MS) return
        if (work.sentTokens > 0) {
            val rate = max(0, sentTokens - work.sentTokens) * 1_000.0 / intervalMs
            endpoint.decodeSpeed.observe(rate, intervalMs.toDouble() / endpoint.running.size, nowMs)
        } else if (sentTokens == 0) {
            observeOverduePrefill(work, nowMs)
        }
        endpoint.recordProgress(work, sentTokens, nowMs)
    }

    /** Learns from the report of an ended grant. */
    fun applyEnd(work: RunningWork, report: GrantReport, nowMs: Long) {
        val endpoint = work.endpoint
        val firstTokenMs = report.firstTokenMs ?: return
        val processedTokens = work.aheadTokens + max(0, report.prefillTokens - report.cachedTokens)
        if (processedTokens >= MIN_SAMPLE_TOKENS && firstTokenMs > 0) {
            val rate = processedTokens * 1_000.0 / firstTokenMs
            endpoint.prefillSpeed.observe(rate, firstTokenMs.toDouble(), nowMs)
        }
        val decodeMs = report.durationMs - firstTokenMs
        val isFirstSample = work.sentTokens == 0
        if (isFirstSample && decodeMs >= MIN_SAMPLE_INTERVAL_MS && report.outputTokens > 1) {
            val rate = (report.outputTokens - 1) * 1_000.0 / decodeMs
            val streams = endpoint.running.size + 1
            endpoint.decodeSpeed.observe(rate, decodeMs.toDouble() / streams, nowMs)
        }
    }

    private fun observeOverduePrefill(work: RunningWork, nowMs: Long) {
        val elapsedMs = nowMs - work.grantedAtMs
        val processedTokens = work.aheadTokens + work.uncachedTokens
        if (processedTokens < MIN_SAMPLE_TOKENS) return
        if (elapsedMs < 2 * work.expectedFirstTokenMs + OVERDUE_MS) return
        val sinceMs = min(nowMs - work.progressAtMs, elapsedMs).toDouble()
        work.endpoint.prefillSpeed.observe(processedTokens * 1_000.0 / elapsedMs, sinceMs, nowMs)
    }
}

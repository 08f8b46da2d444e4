package cowslipcart.daemon.endpoint

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.model.GrantId
import cowslipcart.daemon.control.RuntimeClock

/** Measures one run of an exchange, from the creation of this timer. */
internal class ExchangeTimer(private val clock: RuntimeClock, private val grantId: GrantId) {
    private val startMs = clock.nowMs()
    private var firstTokenMs: Long? = null
    private var tokenCount = 0

    fun onToken() {
        if (firstTokenMs == null) firstTokenMs = clock.nowMs() - startMs
        tokenCount++
    }

    /** Builds the report of the run; the output tokens are the [onToken] calls so far. */
    fun report(end: GrantEnd, prefillTokens: Int, cachedTokens: Int) = GrantReport(
        grantId = grantId,
        end = end,
        prefillTokens = prefillTokens,
        cachedTokens = cachedTokens,
        outputTokens = tokenCount,
        firstTokenMs = firstTokenMs,
        durationMs = clock.nowMs() - startMs
    )
}

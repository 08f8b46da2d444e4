package cowslipcart.core.forwarding

import cowslipcart.core.limits.RetryBudget
import cowslipcart.core.model.PoolId
import cowslipcart.core.routing.isRetryable

/**
 * Decides whether a request may be sent to another endpoint, with a retry budget for each pool.
 *
 * @property knownHosts number of hosts that share the budgets, this one included
 */
internal class RetryRule(
    private val settings: ForwardingSettings,
    private val quarantine: CrashQuarantine,
    private val knownHosts: () -> Int
) {
    private val budgets = mutableMapOf<PoolId, RetryBudget>()

    /** Counts a request that a caller sent. */
    fun recordRequest(pool: PoolId, nowMs: Long) = budget(pool).recordRequest(nowMs)

    /** Whether another attempt is allowed, apart from the budget. */
    fun isAllowed(state: CallState, nowMs: Long): Boolean {
        val call = state.call
        return (!state.mayHaveRun || call.route.kind.isRetryable) &&
            state.sentCount < call.route.maxAttempts &&
            state.hasTimeForAttempt(nowMs) &&
            !quarantine.isQuarantined(call, nowMs)
    }

    /** Counts a retry and returns true, or returns false if the budget of [pool] is used up. */
    fun trySpend(pool: PoolId, nowMs: Long): Boolean = budget(pool).trySpend(nowMs)

    private fun budget(pool: PoolId): RetryBudget = budgets.getOrPut(pool) {
        RetryBudget(settings.retryBudgetShare * BUDGET_SAFETY) {
            (settings.retryBudgetSlack * BUDGET_SAFETY / knownHosts()).toInt().coerceAtLeast(1)
        }
    }

    private companion object {
        /** Share of the retry budget that is used, since each host counts only its own retries. */
        const val BUDGET_SAFETY = 0.6
    }
}

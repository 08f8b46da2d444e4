package cowslipcart.core.claims

/**
 * Limits of a [ClaimBatcher].
 *
 * @property batchIntervalMs longest wait of a claim for its batch, and minimum time between two
 * appends; 25 ms gives at most 40 appends per second and partition
 * @property maxBatchClaims maximum claims in one append; it may hold as many releases and outcomes
 * @property claimTimeoutMs age at which a claim without a verdict is answered as undecided
 * @property initialRetryDelayMs delay after the first failed call; it doubles with each further
 * failure
 * @property maxRetryDelayMs longest delay between two calls while the log fails
 * @property outageThreshold consecutive calls that find the log unavailable after which it counts
 * as down and claims are answered as undecided at once; a single failure is retried
 * @property maxPendingClaims maximum claims without a verdict; more are answered as undecided at
 * once. At 40 appends of 64 claims a second, 5,120 claims can be decided before the first of them
 * times out.
 * @property maxQueuedUpdates maximum queued releases and outcomes; more are dropped, which can
 * leave a key held but never lets a request run twice
 */
public data class BatcherSettings(
    public val batchIntervalMs: Long = 25,
    public val maxBatchClaims: Int = 64,
    public val claimTimeoutMs: Long = 2_000,
    public val initialRetryDelayMs: Long = 100,
    public val maxRetryDelayMs: Long = 1_000,
    public val outageThreshold: Int = 3,
    public val maxPendingClaims: Int = 5_120,
    public val maxQueuedUpdates: Int = 8_192
)

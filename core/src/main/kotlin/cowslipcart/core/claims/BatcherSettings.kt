package cowslipcart.core.claims

/**
 * Limits of a [ClaimBatcher].
 *
 * @property batchIntervalMs longest wait of a claim for its batch, and least time between two
 * appends; 25 ms gives 40 appends a second and partition
 * @property maxBatchClaims claims in one append; as many releases and outcomes may join them
 * @property giveUpAfterMs age at which a claim without a verdict is answered as undecided
 * @property firstRetryMs wait after the first failed call; it doubles with each further failure
 * @property maxRetryMs longest wait between two calls while the log fails
 * @property maxRefusals calls refused by the log in a row after which it counts as down and claims
 * are answered as undecided at once; a single refusal is retried
 * @property maxPendingClaims claims without a verdict; more are refused at once. At 40 appends of
 * 64 claims a second, 5,120 claims can be decided before the first of them is given up.
 * @property maxQueuedRecords releases and outcomes that wait; more are dropped, which leaves a key
 * held but runs nothing twice
 */
public data class BatcherSettings(
    public val batchIntervalMs: Long = 25,
    public val maxBatchClaims: Int = 64,
    public val giveUpAfterMs: Long = 2_000,
    public val firstRetryMs: Long = 100,
    public val maxRetryMs: Long = 1_000,
    public val maxRefusals: Int = 3,
    public val maxPendingClaims: Int = 5_120,
    public val maxQueuedRecords: Int = 8_192
)

package cowslipcart.standins.engine

import cowslipcart.core.capacity.CapacityRequest.Companion.PREFIX_BLOCK_TOKENS

/**
 * Speed and limits of an [EngineModel]. A step with `d` decoding requests and `p` prefill tokens
 * lasts `(baseStepUs + d * sequenceStepUs + p * prefillTokenUs) * slowFactor`.
 *
 * The defaults give about 10,000 prefill tokens a second and keep a step with a full prefill budget
 * and 16 decoding requests below the target of 67 ms between tokens.
 *
 * @property prefillTokensPerStep prompt tokens that one step reads at most, over all requests
 * @property cacheTokens size of the prefix cache; rounded down to whole blocks
 * @property resumeHandleMs how long a cancelled stream can be resumed
 * @property loadIntervalMs interval of the load reports; a report is up to this old
 * @property cacheEventLagMs delay until a change of the prefix cache is reported
 * @property cacheEventLossRate share of cache events that are never reported, from 0.0 to 1.0
 * @property orderDurationMs time from the acceptance of an order until it is in force
 * @property checksFencing whether an order with an old fencing number is refused
 * @property seed seed for the choice of lost cache events
 */
public data class EngineSettings(
    public val baseStepUs: Long = 8_000,
    public val sequenceStepUs: Long = 500,
    public val prefillTokenUs: Long = 80,
    public val prefillTokensPerStep: Int = 512,
    public val cacheTokens: Long = 262_144,
    public val resumeHandleMs: Long = 30_000,
    public val loadIntervalMs: Long = 1_000,
    public val cacheEventLagMs: Long = 1_500,
    public val cacheEventLossRate: Double = 0.05,
    public val orderDurationMs: Long = 2_000,
    public val checksFencing: Boolean = true,
    public val seed: Long = 1
) {
    init {
        require(prefillTokensPerStep > 0) {
            "prefillTokensPerStep: expected more than 0, got $prefillTokensPerStep"
        }
        require(loadIntervalMs > 0) { "loadIntervalMs: expected more than 0, got $loadIntervalMs" }
        require(baseStepUs > 0) { "baseStepUs: expected more than 0, got $baseStepUs" }
    }

    /** Size of the prefix cache in blocks. */
    public val cacheBlocks: Int
        get() = (cacheTokens / PREFIX_BLOCK_TOKENS).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
}

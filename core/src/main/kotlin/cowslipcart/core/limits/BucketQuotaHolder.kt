package cowslipcart.core.limits

import cowslipcart.core.model.OrganisationId

/** Size of one chunk and of the holder's bucket, in seconds at the organisation's limit. */
public const val CHUNK_S: Long = 5

/**
 * Returns a holder whose buckets are full. A holder that takes over therefore grants at most one
 * bucket too much.
 */
public fun createQuotaHolder(): QuotaHolder = BucketQuotaHolder()

private class BucketQuotaHolder : QuotaHolder {
    private val buckets = mutableMapOf<OrganisationId, Bucket>()
    private var sweptAtMs = 0L

    override fun take(
        organisation: OrganisationId,
        askedTokens: Long,
        limitTokensPerS: Long,
        nowMs: Long
    ): Long {
        dropFullBuckets(nowMs)
        val sizeTokens = limitTokensPerS.toDouble() * CHUNK_S
        val bucket = buckets.getOrPut(organisation) { Bucket(sizeTokens, nowMs) }
        val elapsedMs = (nowMs - bucket.filledAtMs).coerceAtLeast(0)
        bucket.tokens = (bucket.tokens + elapsedMs * limitTokensPerS / MS_PER_S)
            .coerceAtMost(sizeTokens)
        bucket.filledAtMs = nowMs
        val granted = minOf(askedTokens, bucket.tokens.toLong()).coerceAtLeast(0)
        bucket.tokens -= granted
        return granted
    }

    /** Removes buckets that were idle for [CHUNK_S]: they are full again, as new ones would be. */
    private fun dropFullBuckets(nowMs: Long) {
        if (nowMs - sweptAtMs < SWEEP_INTERVAL_MS) return
        sweptAtMs = nowMs
        buckets.values.removeIf { nowMs - it.filledAtMs >= CHUNK_S * MS_PER_S }
    }

    private class Bucket(var tokens: Double, var filledAtMs: Long)

    private companion object {
        const val SWEEP_INTERVAL_MS = 60_000L
        const val MS_PER_S = 1_000.0
    }
}

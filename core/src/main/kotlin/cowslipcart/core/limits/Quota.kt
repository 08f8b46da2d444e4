package cowslipcart.core.limits

import cowslipcart.core.model.OrganisationId

/** Holder side of organisation limits: hands out chunks of tokens. */
public interface QuotaHolder {
    /**
     * Takes tokens for [organisation] from its bucket, which refills at [limitTokensPerS].
     *
     * @return granted tokens, from 0 to [askedTokens]
     */
    public fun take(
        organisation: OrganisationId,
        askedTokens: Long,
        limitTokensPerS: Long,
        nowMs: Long
    ): Long
}

/** Origin side of organisation limits: spends chunks locally. */
public interface QuotaClient {
    /** Decides whether a request of [costTokens] may go on now. */
    public fun admit(
        organisation: OrganisationId,
        costTokens: Long,
        limitTokensPerS: Long,
        liveHostCount: Int,
        nowMs: Long
    ): QuotaDecision

    /** Takes a chunk from the holder. */
    public fun onGranted(organisation: OrganisationId, grantedTokens: Long, nowMs: Long)

    /** The holder did not answer; the local share of the limit applies until it does. */
    public fun onHolderLost(organisation: OrganisationId, nowMs: Long)
}

/** Decision of a [QuotaClient]. */
public sealed interface QuotaDecision {
    /** The request goes on; [askTokens] is to be asked of the holder, 0 for nothing. */
    public data class Admit(public val askTokens: Long) : QuotaDecision

    /** The request is over the limit. */
    public data class Refuse(public val askTokens: Long, public val retryAfterMs: Long) :
        QuotaDecision
}

package cowslipcart.core.limits

import cowslipcart.core.model.OrganisationId

/** Holder side of organisation limits: grants chunks of tokens to the other hosts. */
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

/** Origin side of organisation limits: admits requests from chunks that the holder granted. */
public interface QuotaClient {
    /** Decides whether a request of [costTokens] is admitted now. */
    public fun admit(
        organisation: OrganisationId,
        costTokens: Long,
        limitTokensPerS: Long,
        liveHostCount: Int,
        nowMs: Long
    ): QuotaDecision

    /** The holder granted [grantedTokens], which may be fewer than were asked for. */
    public fun onGranted(organisation: OrganisationId, grantedTokens: Long, nowMs: Long)

    /** The holder did not answer; this host's share of the limit applies until it does. */
    public fun onHolderLost(organisation: OrganisationId, nowMs: Long)
}

/** Decision of a [QuotaClient]. */
public sealed interface QuotaDecision {
    /** The request is admitted; [askTokens] are to be asked of the holder, 0 for none. */
    public data class Admit(public val askTokens: Long) : QuotaDecision

    /** The request is over the limit; it may be retried after [retryAfterMs]. */
    public data class Refuse(public val askTokens: Long, public val retryAfterMs: Long) :
        QuotaDecision
}

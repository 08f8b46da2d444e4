package cowslipcart.core.forwarding

/**
 * Age of the endpoint list by which this host decides. An endpoint may leave unnoticed while the
 * host is paused or behind with its work, so a list that is too old is not used until it has been
 * read again. While the store does not answer, the last known list stays in use.
 *
 * Load pattern: a host that was paused for seconds goes on with the requests that wait there.
 */
internal class EndpointListAge {
    private var asOfMs: Long? = null
    private var isStoreLost = false

    /** The list was read, or confirmed, as of [asOfMs]; [isStoreLost] if the last read failed. */
    fun onKnown(asOfMs: Long, isStoreLost: Boolean) {
        this.asOfMs = asOfMs
        this.isStoreLost = isStoreLost
    }

    /** Whether the list may not be used at [nowMs]. */
    fun isOutdated(nowMs: Long): Boolean = nowMs > validUntilMs

    /** Whether the list tells which versions are in service at [nowMs], with or without a store. */
    fun isCurrent(nowMs: Long): Boolean = asOfMs?.let { nowMs <= it + MAX_AGE_MS } ?: true

    /** Time until which a decision by the list may be carried out. */
    val validUntilMs: Long
        get() = asOfMs?.takeIf { !isStoreLost }?.let { it + MAX_AGE_MS } ?: Long.MAX_VALUE

    private companion object {
        /**
         * An endpoint that leaves may get requests for 2 s. The rest is for the way of a request
         * from the decision to the endpoint, in ms.
         */
        const val MAX_AGE_MS = 1_850L
    }
}

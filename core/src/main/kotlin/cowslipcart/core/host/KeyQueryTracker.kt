package cowslipcart.core.host

import cowslipcart.core.claims.RequestKey
import cowslipcart.core.membership.HostList
import cowslipcart.core.membership.MembershipView
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.KeyStatus

/**
 * Sends key queries to all hosts and combines the replies. The result is [KeyStatus.UNSEEN] only
 * if every listed or live host replied so and no host that could have dispatched the key is gone:
 * since the time of the key, no host died and this host did not start. A host that is missing from
 * the platform's list cannot know which other hosts exist, so its result is never better than
 * [KeyStatus.UNKNOWN].
 */
internal class KeyQueryTracker(
    private val self: HostId,
    private val membership: MembershipView,
    private val outbox: Outbox
) {
    private class PendingQuery(val unanswered: MutableSet<HostId>, var status: KeyStatus)

    private val pending = HashMap<RequestId, PendingQuery>()
    private var listedHosts: Set<HostId> = emptySet()
    private val deadHosts = HashSet<HostId>()
    private var isListed = false
    private var isStarted = false
    private var wallNowMs = 0L

    /** Hosts that are gone may have run requests with keys up to this wall time. */
    private var unknownUntilWallMs = 0L

    /** Takes the wall time; the first call counts as the start of this process. */
    fun onTick(wallNowMs: Long) {
        this.wallNowMs = wallNowMs
        if (!isStarted) {
            isStarted = true
            unknownUntilWallMs = wallNowMs
        }
    }

    /** Takes the platform's list; a host that is live again no longer counts as dead. */
    fun onHostList(list: HostList) {
        isListed = list.hosts.any { it.host == self }
        listedHosts = list.hosts.mapTo(mutableSetOf()) { it.host }
        deadHosts.removeAll { it in membership.liveHosts }
    }

    /** Excludes [host] from queries; keys up to now may have run on it. */
    fun onHostDied(host: HostId) {
        deadHosts += host
        unknownUntilWallMs = maxOf(unknownUntilWallMs, wallNowMs)
    }

    /**
     * Returns what this host knows about [key], given the status [own] among its own requests. A
     * host that started after the time of the key, or saw another host die since, cannot report it
     * as unseen. The host that asks may have missed that death, for example during a pause.
     */
    fun statusOf(key: RequestKey, own: KeyStatus): KeyStatus {
        val isTooOld = !isStarted || key.keyTimeMs <= unknownUntilWallMs + MAX_CLOCK_SKEW_MS
        return if (isTooOld) maxOf(own, KeyStatus.UNKNOWN) else own
    }

    /** Starts a query; returns its result at once if there is no other host to ask. */
    fun start(requestId: RequestId, key: RequestKey, own: KeyStatus): KeyStatus? {
        val known = statusOf(key, own)
        val status = if (isListed) known else maxOf(known, KeyStatus.UNKNOWN)
        val liveHosts = membership.liveHosts.keys
        val asked = (liveHosts + (listedHosts - deadHosts) - self).toMutableSet()
        if (asked.isEmpty()) return status
        pending[requestId] = PendingQuery(asked, status)
        asked.forEach { outbox.send(it, PeerMessage.KeyQuery(requestId, key)) }
        return null
    }

    /** Takes a reply; returns the result if it was the last one that was missing. */
    fun onReply(from: HostId, requestId: RequestId, status: KeyStatus): KeyStatus? {
        val query = pending[requestId] ?: return null
        query.unanswered.remove(from)
        query.status = maxOf(query.status, status)
        if (query.unanswered.isNotEmpty()) return null
        pending.remove(requestId)
        return query.status
    }

    /** Drops the query of a request that was rejected, for example after a timeout. */
    fun cancel(requestId: RequestId) {
        pending.remove(requestId)
    }

    private companion object {
        /**
         * How far a caller's clock may be ahead of this host's. Only the answer "not run" after the
         * death of a host depends on it, dispatch does not.
         */
        const val MAX_CLOCK_SKEW_MS = 2_000L
    }
}

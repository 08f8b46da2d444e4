package cowslipcart.core.node

import cowslipcart.core.claims.RequestKey
import cowslipcart.core.membership.HostList
import cowslipcart.core.membership.MembershipView
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.KeyStanding

/**
 * Asks all hosts whether they know a key. "Unseen" is only concluded if every host that the platform
 * lists or that is known to run said so, and no host that could have dispatched the key is gone:
 * none has died, and this host did not start, since the time of the key. A host that is not on the
 * platform's list itself cannot know who else is there, so it concludes nothing.
 */
internal class KeyInquiryDesk(
    private val self: HostId,
    private val membership: MembershipView,
    private val outbox: Outbox
) {
    private class Inquiry(val missing: MutableSet<HostId>, var standing: KeyStanding)

    private val inquiries = HashMap<RequestId, Inquiry>()
    private var listed: Set<HostId> = emptySet()
    private val dead = HashSet<HostId>()
    private var isListed = false
    private var isStarted = false
    private var wallNowMs = 0L

    /** Wall time before which requests of hosts that are gone may have run. */
    private var blindUntilWallMs = 0L

    fun onTick(wallNowMs: Long) {
        this.wallNowMs = wallNowMs
        if (!isStarted) {
            isStarted = true
            blindUntilWallMs = wallNowMs
        }
    }

    fun onHostList(list: HostList) {
        isListed = list.hosts.any { it.host == self }
        listed = list.hosts.mapTo(mutableSetOf()) { it.host }
        dead.removeAll { it in membership.liveHosts }
    }

    fun onHostDied(host: HostId) {
        dead += host
        blindUntilWallMs = maxOf(blindUntilWallMs, wallNowMs)
    }

    /**
     * Returns what this host can say about [key], where [own] is what its requests say. A host that
     * started, or saw another die, after the time of the key cannot call it unseen. The asking host
     * may not have noticed that, for example because it was paused.
     */
    fun standingOf(key: RequestKey, own: KeyStanding): KeyStanding {
        val isBlind = !isStarted || key.keyTimeMs <= blindUntilWallMs + CLOCK_ALLOWANCE_MS
        return if (isBlind) maxOf(own, KeyStanding.UNKNOWN) else own
    }

    /** Starts an inquiry; returns its result if nobody has to be asked. */
    fun begin(requestId: RequestId, key: RequestKey, own: KeyStanding): KeyStanding? {
        val known = standingOf(key, own)
        val standing = if (isListed) known else maxOf(known, KeyStanding.UNKNOWN)
        val live = membership.liveHosts.keys
        val others = (live + (listed - dead) - self).toMutableSet()
        if (others.isEmpty()) return standing
        inquiries[requestId] = Inquiry(others, standing)
        others.forEach { outbox.send(it, PeerMessage.KeyQuery(requestId, key)) }
        return null
    }

    /** Takes an answer; returns the result if it was the last one that matters. */
    fun onReply(from: HostId, requestId: RequestId, standing: KeyStanding): KeyStanding? {
        val inquiry = inquiries[requestId] ?: return null
        inquiry.missing.remove(from)
        inquiry.standing = maxOf(inquiry.standing, standing)
        if (inquiry.missing.isNotEmpty()) return null
        inquiries.remove(requestId)
        return inquiry.standing
    }

    /** Forgets an inquiry that timed out. */
    fun forget(requestId: RequestId) {
        inquiries.remove(requestId)
    }

    private companion object {
        /**
         * How far a caller's clock may be ahead of this host's. It matters only for the answer
         * "not run" after a host died; dispatch does not depend on it.
         */
        const val CLOCK_ALLOWANCE_MS = 2_000L
    }
}

package cowslipcart.core.node

import cowslipcart.core.claims.RequestKey
import cowslipcart.core.membership.MembershipView
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.KeyStanding

/**
 * Asks all hosts whether they know a key. "Unseen" is only concluded if every live host said so and
 * no host that could have dispatched the key is gone: none has died, and this host did not start,
 * since the time of the key.
 */
internal class KeyInquiryDesk(
    private val self: HostId,
    private val membership: MembershipView,
    private val outbox: Outbox
) {
    private class Inquiry(val missing: MutableSet<HostId>, var standing: KeyStanding)

    private val inquiries = HashMap<RequestId, Inquiry>()
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

    fun onHostDied() {
        blindUntilWallMs = maxOf(blindUntilWallMs, wallNowMs)
    }

    /** Starts an inquiry; returns its result if nobody has to be asked. */
    fun begin(requestId: RequestId, key: RequestKey, own: KeyStanding): KeyStanding? {
        val isBlind = key.keyTimeMs <= blindUntilWallMs + CLOCK_ALLOWANCE_MS
        val standing = if (isBlind) maxOf(own, KeyStanding.UNKNOWN) else own
        val others = membership.liveHosts.keys.filterTo(mutableSetOf()) { it != self }
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

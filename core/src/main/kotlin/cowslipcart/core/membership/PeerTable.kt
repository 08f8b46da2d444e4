package cowslipcart.core.membership

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId

/** State of one incarnation of another host, as known to this host. */
internal class Peer(val identity: HostIdentity, var state: HostState, var refutationCount: Long) {
    /** Time of the change to [state]. */
    var changedAtMs: Long = 0

    /** Earlier incarnations of the same host, which this one replaced. */
    val replaced: MutableSet<IncarnationId> = mutableSetOf()

    val rumor: Rumor.Host get() = Rumor.Host(identity, state, refutationCount)

    /** Whether the known state loses against these values by the order of [Rumor.Host]. */
    fun isOlderThan(otherState: HostState, otherCount: Long): Boolean =
        otherCount > refutationCount || (otherCount == refutationCount && otherState > state)
}

/** Result of merging a message or rumor into a [PeerTable]. */
internal sealed interface MergeResult {
    /** The known state was the same or newer. */
    data object Unchanged : MergeResult

    /** The state of [peer] changed; [died] is the incarnation that thereby died, if any. */
    data class Changed(val peer: Peer, val died: HostIdentity?) : MergeResult

    /** The incarnation is unknown, and only an answer of the host itself can confirm it. */
    data class Unconfirmed(val identity: HostIdentity) : MergeResult
}

/**
 * Hosts that have sent a message to this host. A rumor alone adds no host and no incarnation:
 * incarnations have no order, so a late rumor or a delayed message of an earlier incarnation looks
 * the same as one of a later incarnation. The one that answers the latest ping is current.
 */
internal class PeerTable {
    private val peersByHost = sortedMapOf<HostId, Peer>()

    val peers: Collection<Peer> get() = peersByHost.values

    fun find(host: HostId): Peer? = peersByHost[host]

    /** Merges a ping or an answer; [isConfirmed] tells that it answers the latest ping. */
    fun mergeMessage(content: PingContent, isConfirmed: Boolean, nowMs: Long): MergeResult {
        val known = peersByHost[content.from.host]
        return when {
            known == null -> add(content, nowMs)

            known.identity.incarnation == content.from.incarnation ->
                mergeState(known, content.state, content.refutationCount, nowMs)

            isConfirmed -> replace(known, content, nowMs)

            else -> MergeResult.Unconfirmed(content.from)
        }
    }

    /** Merges what a third host reports about a host. */
    fun mergeRumor(rumor: Rumor.Host, nowMs: Long): MergeResult {
        val known = peersByHost[rumor.identity.host]
        val incarnation = rumor.identity.incarnation
        return when {
            known?.identity?.incarnation == incarnation ->
                mergeState(known, rumor.state, rumor.refutationCount, nowMs)

            rumor.state == HostState.DEAD || known?.replaced.orEmpty().contains(incarnation) ->
                MergeResult.Unchanged

            else -> MergeResult.Unconfirmed(rumor.identity)
        }
    }

    /** Sets the state of [peer] if it is newer by the order of [Rumor.Host]. */
    fun mergeState(peer: Peer, state: HostState, count: Long, nowMs: Long): MergeResult {
        if (!peer.isOlderThan(state, count)) return MergeResult.Unchanged
        val wasDead = peer.state == HostState.DEAD
        if (peer.state != state) peer.changedAtMs = nowMs
        peer.state = state
        peer.refutationCount = count
        val died = peer.identity.takeIf { state == HostState.DEAD && !wasDead }
        return MergeResult.Changed(peer, died)
    }

    /** Removes a dead host. */
    fun remove(peer: Peer) {
        peersByHost -= peer.identity.host
    }

    private fun add(content: PingContent, nowMs: Long): MergeResult {
        val peer = Peer(content.from, content.state, content.refutationCount)
        peer.changedAtMs = nowMs
        peersByHost[content.from.host] = peer
        return MergeResult.Changed(peer, died = null)
    }

    private fun replace(known: Peer, content: PingContent, nowMs: Long): MergeResult {
        add(content, nowMs)
        val peer = peersByHost.getValue(content.from.host)
        peer.replaced += known.replaced
        peer.replaced += known.identity.incarnation
        peer.replaced -= content.from.incarnation
        return MergeResult.Changed(peer, known.identity.takeIf { known.state != HostState.DEAD })
    }
}

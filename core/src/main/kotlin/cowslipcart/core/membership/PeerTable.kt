package cowslipcart.core.membership

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId

/** What this host knows of one incarnation of another host. */
internal class Peer(val identity: HostIdentity, var state: HostState, var refutationCount: Long) {
    /** Time of the change to [state]. */
    var changedAtMs: Long = 0

    /** Incarnations of the same host that this one replaced. */
    val replaced: MutableSet<IncarnationId> = mutableSetOf()

    val rumor: Rumor.Host get() = Rumor.Host(identity, state, refutationCount)

    /** Whether a rumor with these values is newer than what is known. */
    fun isOlderThan(otherState: HostState, otherCount: Long): Boolean =
        otherCount > refutationCount || (otherCount == refutationCount && otherState > state)
}

/** Result of merging news into a [PeerTable]. */
internal sealed interface Merge {
    /** Nothing new. */
    data object Unchanged : Merge

    /** The state of [peer] changed; [died] is the incarnation that it made dead, if any. */
    data class Changed(val peer: Peer, val died: HostIdentity?) : Merge

    /** The news is about an incarnation that only the host itself can confirm. */
    data class Unconfirmed(val identity: HostIdentity) : Merge
}

/**
 * Hosts that this host has been in contact with. A rumor alone adds no host and no incarnation:
 * incarnations have no order, so a late rumor about a predecessor could not be told from news
 * about a successor, nor could a delayed message. The process that answers the latest ping decides.
 */
internal class PeerTable {
    private val peersByHost = sortedMapOf<HostId, Peer>()

    val peers: Collection<Peer> get() = peersByHost.values

    fun find(host: HostId): Peer? = peersByHost[host]

    /** Takes a message of the host itself; [isConfirmed] means that it answers the latest ping. */
    fun mergeContact(content: PingContent, isConfirmed: Boolean, nowMs: Long): Merge {
        val known = peersByHost[content.from.host]
        return when {
            known == null -> add(content, nowMs)

            known.identity.incarnation == content.from.incarnation ->
                mergeState(known, content.state, content.refutationCount, nowMs)

            isConfirmed -> replace(known, content, nowMs)

            else -> Merge.Unconfirmed(content.from)
        }
    }

    /** Takes news from a third host. */
    fun mergeRumor(rumor: Rumor.Host, nowMs: Long): Merge {
        val known = peersByHost[rumor.identity.host]
        val incarnation = rumor.identity.incarnation
        return when {
            known?.identity?.incarnation == incarnation ->
                mergeState(known, rumor.state, rumor.refutationCount, nowMs)

            rumor.state == HostState.DEAD || known?.replaced.orEmpty().contains(incarnation) ->
                Merge.Unchanged

            else -> Merge.Unconfirmed(rumor.identity)
        }
    }

    /** Sets the state of [peer] if it is newer by the order of [Rumor.Host]. */
    fun mergeState(peer: Peer, state: HostState, count: Long, nowMs: Long): Merge {
        if (!peer.isOlderThan(state, count)) return Merge.Unchanged
        val wasDead = peer.state == HostState.DEAD
        if (peer.state != state) peer.changedAtMs = nowMs
        peer.state = state
        peer.refutationCount = count
        val died = peer.identity.takeIf { state == HostState.DEAD && !wasDead }
        return Merge.Changed(peer, died)
    }

    /** Forgets a dead host. */
    fun remove(peer: Peer) {
        peersByHost -= peer.identity.host
    }

    private fun add(content: PingContent, nowMs: Long): Merge {
        val peer = Peer(content.from, content.state, content.refutationCount)
        peer.changedAtMs = nowMs
        peersByHost[content.from.host] = peer
        return Merge.Changed(peer, died = null)
    }

    private fun replace(known: Peer, content: PingContent, nowMs: Long): Merge {
        add(content, nowMs)
        val peer = peersByHost.getValue(content.from.host)
        peer.replaced += known.replaced
        peer.replaced += known.identity.incarnation
        peer.replaced -= content.from.incarnation
        return Merge.Changed(peer, known.identity.takeIf { known.state != HostState.DEAD })
    }
}

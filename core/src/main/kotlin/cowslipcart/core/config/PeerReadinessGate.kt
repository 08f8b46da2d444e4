package cowslipcart.core.config

import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/** Creates the gate of host [self], which has just started. */
public fun createReadinessGate(self: HostId): ReadinessGate = PeerReadinessGate(self)

private class PeerReadinessGate(private val self: HostId) : ReadinessGate {
    override var isReady = false
        private set

    override var isLogEndKnown = false
        private set

    private var peerList: PeerList = PeerList.NotRead
    private var appliedOffset = LogOffset(0)

    /** Highest offset that the log or a peer has reported; kept while the log is unavailable. */
    private var highestKnownOffset = LogOffset(0)
    private val answeredPeers = mutableSetOf<HostId>()
    private val silentPeers = mutableSetOf<HostId>()

    override fun onLogEnd(endOffset: LogOffset) = update {
        isLogEndKnown = true
        highestKnownOffset = maxOf(highestKnownOffset, endOffset)
    }

    override fun onPeerOffset(host: HostId, nextOffset: LogOffset, isLogEnd: Boolean) = update {
        isLogEndKnown = isLogEndKnown || isLogEnd
        highestKnownOffset = maxOf(highestKnownOffset, nextOffset)
        answeredPeers += host
        silentPeers -= host
    }

    override fun onPeerSilent(host: HostId) = update { silentPeers += host }

    override fun onListedPeers(hosts: Set<HostId>?) = update {
        peerList = hosts?.let { PeerList.Listed(it - self) } ?: PeerList.Unavailable
    }

    override fun onAppliedOffset(nextOffset: LogOffset) = update {
        appliedOffset = maxOf(appliedOffset, nextOffset)
    }

    override fun describeMissing(): List<String> = buildList {
        if (isReady) return@buildList
        if (!isLogEndKnown) add(LOG_END_UNKNOWN)
        when (val list = peerList) {
            PeerList.NotRead -> add("expected a read of the host list, found none")

            // The end of the log covers all peers; asking them only guards against a stale read.
            PeerList.Unavailable -> Unit

            is PeerList.Listed -> (list.hosts - answeredPeers - silentPeers).sorted().forEach {
                add("expected the configuration offset of $it, found no answer")
            }
        }
        if (appliedOffset < highestKnownOffset) {
            add("expected configuration offset $highestKnownOffset, found $appliedOffset")
        }
    }

    private inline fun update(change: () -> Unit) {
        change()
        isReady = isReady || describeMissing().isEmpty()
    }

    private sealed interface PeerList {
        data object NotRead : PeerList

        data object Unavailable : PeerList

        data class Listed(val hosts: Set<HostId>) : PeerList
    }

    private companion object {
        const val LOG_END_UNKNOWN =
            "expected a read to the end of the log, by this host or a peer, since the start of " +
                "this process, found none"
    }
}

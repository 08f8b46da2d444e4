package cowslipcart.core.config

import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/** Returns the gate of a host that has just started. */
public fun createReadinessGate(self: HostId): ReadinessGate = PeerReadinessGate(self)

private class PeerReadinessGate(private val self: HostId) : ReadinessGate {
    override var isReady = false
        private set

    private var log: LogStatus = LogStatus.NOT_READ
    private var peerList: PeerList = PeerList.NotRead
    private var ownOffset = LogOffset(0)

    /** Highest offset that the log or a peer has named; evidence that outlives a log failure. */
    private var highestOffset = LogOffset(0)
    private val answeredPeers = mutableSetOf<HostId>()
    private val readyPeers = mutableSetOf<HostId>()
    private val silentPeers = mutableSetOf<HostId>()

    override fun onLogEnd(endOffset: LogOffset) = update {
        log = LogStatus.READ_TO_END
        highestOffset = maxOf(highestOffset, endOffset)
    }

    override fun onLogFailure() = update { log = LogStatus.FAILED }

    override fun onPeerOffset(host: HostId, nextOffset: LogOffset, isPeerReady: Boolean) = update {
        highestOffset = maxOf(highestOffset, nextOffset)
        answeredPeers += host
        silentPeers -= host
        if (isPeerReady) readyPeers += host else readyPeers -= host
    }

    override fun onPeerSilent(host: HostId) = update { silentPeers += host }

    override fun onListedPeers(hosts: Set<HostId>?) = update {
        peerList = hosts?.let { PeerList.Listed(it - self) } ?: PeerList.Unavailable
    }

    override fun onOwnOffset(nextOffset: LogOffset) = update {
        ownOffset = maxOf(ownOffset, nextOffset)
    }

    override fun describeMissing(): List<String> {
        if (isReady) return emptyList()
        val missing = when (log) {
            LogStatus.NOT_READ -> listOf("expected a read to the end of the log, found none")
            LogStatus.READ_TO_END -> findMissingWithLog()
            LogStatus.FAILED -> findMissingWithoutLog()
        }
        return if (ownOffset >= highestOffset) {
            missing
        } else {
            missing + "expected configuration offset $highestOffset, found $ownOffset"
        }
    }

    private fun findMissingWithLog(): List<String> = when (val list = peerList) {
        PeerList.NotRead -> listOf(LIST_NOT_READ)
        PeerList.Unavailable -> emptyList()
        is PeerList.Listed -> describeUnanswered(list.hosts - answeredPeers - silentPeers)
    }

    private fun findMissingWithoutLog(): List<String> = when (val list = peerList) {
        PeerList.NotRead -> listOf(LIST_NOT_READ)

        PeerList.Unavailable ->
            listOf("expected the log or the host list, found neither")

        is PeerList.Listed -> describeUnanswered(list.hosts - answeredPeers) +
            describeNoReadyPeer(list.hosts)
    }

    private fun describeUnanswered(hosts: Set<HostId>) =
        hosts.sorted().map { "expected the configuration offset of $it, found no answer" }

    private fun describeNoReadyPeer(hosts: Set<HostId>) = if (hosts.any { it in readyPeers }) {
        emptyList()
    } else {
        listOf("expected a ready peer during the log outage, found none")
    }

    private inline fun update(change: () -> Unit) {
        change()
        isReady = isReady || describeMissing().isEmpty()
    }

    private enum class LogStatus { NOT_READ, READ_TO_END, FAILED }

    private sealed interface PeerList {
        data object NotRead : PeerList

        data object Unavailable : PeerList

        data class Listed(val hosts: Set<HostId>) : PeerList
    }

    private companion object {
        const val LIST_NOT_READ = "expected a reading of the host list, found none"
    }
}

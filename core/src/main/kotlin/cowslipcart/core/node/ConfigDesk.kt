package cowslipcart.core.node

import cowslipcart.core.config.ConfigState
import cowslipcart.core.config.createConfigReplica
import cowslipcart.core.config.createReadinessGate
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.random.Random

/** Configuration of this host and whether it is known to be new enough to serve. */
internal class ConfigDesk(
    private val self: HostId,
    private val random: Random,
    private val outbox: Outbox
) {
    private val replica = createConfigReplica()
    private val gate = createReadinessGate(self)
    private var publishedReadiness: Pair<Boolean, List<String>>? = null
    private var isLogReadable = false
    private val transfer = ConfigTransfer(outbox)
    private var nextCheckpointAtMs = 0L
    private val peers = HashMap<HostId, PeerStatus>()
    private val silentSinceMs = HashMap<HostId, Long>()

    val state: ConfigState get() = replica.state
    val configuration: Configuration get() = replica.state.configuration
    val isReady: Boolean get() = gate.isReady

    /** What [host] said last of its configuration; for this host, what is in force. */
    fun statusOf(host: HostId): PeerStatus? =
        if (host == self) PeerStatus(replica.state.nextOffset, gate.isReady) else peers[host]

    /** Applies records; returns whether the configuration changed. */
    fun onRead(input: NodeInput.ConfigRead): Boolean {
        isLogReadable = true
        val before = replica.state.configuration
        val verdicts = replica.apply(input.records, input.firstKeptOffset)
        verdicts.forEach { outbox.emit(NodeEffect.ConfigDecided(it)) }
        gate.onOwnOffset(replica.state.nextOffset)
        gate.onLogEnd(input.endOffset)
        return publish(before)
    }

    fun onReadFailed() {
        isLogReadable = false
        gate.onLogFailure()
        publishReadiness()
    }

    /** Takes the state of a peer; returns whether the configuration changed. */
    fun onReply(from: HostId, reply: PeerMessage.ConfigReply): Boolean {
        transfer.onReply(from)
        val before = replica.state.configuration
        replica.adopt(reply.state)
        gate.onOwnOffset(replica.state.nextOffset)
        gate.onPeerOffset(from, reply.state.nextOffset, reply.isReady)
        return publish(before)
    }

    /** Takes a part of the state of a peer; returns whether the configuration changed. */
    fun onPart(from: HostId, part: PeerMessage.ConfigPart, nowMs: Long): Boolean =
        transfer.onPart(from, part, replica.state.nextOffset, nowMs)?.let { onReply(from, it) }
            ?: false

    fun onPeerOffset(from: HostId, offset: LogOffset, isPeerReady: Boolean, nowMs: Long) {
        peers[from] = PeerStatus(offset, isPeerReady)
        gate.onPeerOffset(from, offset, isPeerReady)
        val ownOffset = replica.state.nextOffset
        if (offset > ownOffset) transfer.onPeerAhead(from, ownOffset, isLogReadable, nowMs)
        publishReadiness()
    }

    /** Takes the listed peers; one that has not answered for a while is reported as silent. */
    fun onListedPeers(hosts: Set<HostId>?, nowMs: Long) {
        for (host in hosts.orEmpty() - peers.keys) {
            val sinceMs = silentSinceMs.getOrPut(host) { nowMs }
            if (nowMs - sinceMs >= PEER_ANSWER_TIMEOUT_MS) gate.onPeerSilent(host)
        }
        gate.onListedPeers(hosts)
        publishReadiness()
    }

    /** Appends a checkpoint when one is due; jitter keeps hosts from all writing it at once. */
    fun tick(wallNowMs: Long, nowMs: Long) {
        transfer.tick(nowMs)
        if (nowMs < nextCheckpointAtMs) return
        val isFirst = nextCheckpointAtMs == 0L
        nextCheckpointAtMs = nowMs + CHECKPOINT_INTERVAL_MS +
            random.nextLong(CHECKPOINT_INTERVAL_MS)
        if (isFirst || !isLogReadable || !gate.isReady) return
        replica.proposeCheckpoint(wallNowMs, RETENTION_MS)
            ?.let { outbox.emit(NodeEffect.AppendConfig(it)) }
    }

    private fun publish(before: Configuration): Boolean {
        val state = replica.state
        val hasChanged = state.configuration != before
        if (hasChanged) {
            outbox.emit(NodeEffect.PublishConfiguration(state.configuration, state.nextOffset))
        }
        publishReadiness()
        return hasChanged
    }

    private fun publishReadiness() {
        val missing = gate.describeMissing() +
            if (configuration.presetInForce == null) listOf("a preset in force") else emptyList()
        val readiness = missing.isEmpty() to missing
        if (readiness == publishedReadiness) return
        publishedReadiness = readiness
        outbox.emit(NodeEffect.PublishReadiness(readiness.first, readiness.second))
    }

    private companion object {
        /** Time in which a listed peer is pinged several times. */
        const val PEER_ANSWER_TIMEOUT_MS = 5_000L
        const val CHECKPOINT_INTERVAL_MS = 60_000L

        /** Retention that the log is expected to have at least. */
        const val RETENTION_MS = 24 * 3_600_000L
    }
}

/** Configuration offset and readiness of a host. */
internal data class PeerStatus(val configOffset: LogOffset, val isReady: Boolean)

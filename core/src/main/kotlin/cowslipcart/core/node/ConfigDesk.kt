package cowslipcart.core.node

import cowslipcart.core.config.ConfigState
import cowslipcart.core.config.PeerFetches
import cowslipcart.core.config.createConfigReplica
import cowslipcart.core.config.createReadinessGate
import cowslipcart.core.model.ConfigFetchId
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
    private val transfer = ConfigTransfer(outbox) { checkNotNull(fetches).begin(it) }
    private val parts = ConfigParts(random)
    private var fetches: PeerFetches? = null

    /** Start of the last read of the log that found no record behind the state. */
    private var endReadBeganAtMs: Long? = null
    private var lastConfirmAtMs = Long.MIN_VALUE / 2
    private var nextCheckpointAtMs = 0L
    private val peers = HashMap<HostId, PeerStatus>()
    private val silentSinceMs = HashMap<HostId, Long>()

    val state: ConfigState get() = replica.state
    val configuration: Configuration get() = replica.state.configuration
    val isReady: Boolean get() = gate.isReady

    /** Whether the last read of the log reached its end. */
    var isLogReadable = false
        private set

    /** What [host] said last of its configuration; for this host, what is in force. */
    fun statusOf(host: HostId): PeerStatus? = if (host == self) {
        PeerStatus(replica.state.nextOffset, gate.isReady, isLogReadable)
    } else {
        peers[host]
    }

    /** Notes the time of the first input as the start of this process. */
    fun onInput(nowMs: Long) {
        if (fetches == null) fetches = PeerFetches(nowMs, random)
    }

    /** Applies records; returns whether the configuration changed. */
    fun onRead(input: NodeInput.ConfigRead): Boolean {
        val before = replica.state.configuration
        val verdicts = replica.apply(input.records, input.firstKeptOffset)
        verdicts.forEach { outbox.emit(NodeEffect.ConfigDecided(it)) }
        gate.onOwnOffset(replica.state.nextOffset)
        gate.onLogEnd(input.endOffset)
        isLogReadable = replica.state.nextOffset >= input.endOffset
        if (isLogReadable) endReadBeganAtMs = input.beganAtMs
        return publish(before)
    }

    fun onReadFailed() {
        isLogReadable = false
    }

    /** Sends this host's state, and how old its knowledge of the end of the log is. */
    fun onFetch(from: HostId, fetch: PeerMessage.ConfigFetch, nowMs: Long) {
        outbox.send(from, parts.answerFetch(replyTo(fetch.fetchId, nowMs)))
    }

    /** Sends a further part of this host's state. */
    fun onPartFetch(from: HostId, fetch: PeerMessage.ConfigPartFetch, nowMs: Long) {
        outbox.send(from, parts.answerPartFetch(replyTo(fetch.fetchId, nowMs), fetch))
    }

    private fun replyTo(fetchId: ConfigFetchId, nowMs: Long) = PeerMessage.ConfigReply(
        fetchId,
        replica.state,
        logReadAgeMs = endReadBeganAtMs?.let { nowMs - it }
    )

    /** Takes the state of a peer; returns whether the configuration changed. */
    fun onReply(from: HostId, reply: PeerMessage.ConfigReply): Boolean {
        transfer.onReply(from)
        val before = replica.state.configuration
        replica.adopt(reply.state)
        gate.onOwnOffset(replica.state.nextOffset)
        val isLogEnd = reply.logReadAgeMs
            ?.let { fetches?.isReadAfterStart(reply.fetchId, it) }
            ?: false
        gate.onPeerOffset(from, reply.state.nextOffset, isLogEnd)
        return publish(before)
    }

    /**
     * Takes a part of the state of a peer; returns whether the configuration changed. A part of a
     * state that is not ahead only tells how old the peer's read of the log is.
     */
    fun onPart(from: HostId, part: PeerMessage.ConfigPart, nowMs: Long): Boolean {
        val ownOffset = replica.state.nextOffset
        val reply = if (part.reply.state.nextOffset <= ownOffset) {
            part.reply
        } else {
            transfer.onPart(from, part, ownOffset, nowMs)
        }
        return reply?.let { onReply(from, it) } ?: false
    }

    /** Takes what a peer's ping says. */
    fun onPeerStatus(from: HostId, status: PeerStatus, nowMs: Long) {
        peers[from] = status
        gate.onPeerOffset(from, status.configOffset, isLogEnd = false)
        val ownOffset = replica.state.nextOffset
        if (status.configOffset > ownOffset) {
            transfer.onPeerAhead(from, ownOffset, isLogReadable, nowMs)
        } else if (!gate.isLogEndKnown && status.isLogReadable) {
            confirmLogEnd(from, nowMs)
        }
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

    /** Asks a peer of the same state how old its read of the log is. */
    private fun confirmLogEnd(from: HostId, nowMs: Long) {
        val fetches = fetches
        if (fetches == null || nowMs - lastConfirmAtMs < CONFIRM_INTERVAL_MS) return
        lastConfirmAtMs = nowMs
        outbox.send(from, PeerMessage.ConfigFetch(fetches.begin(nowMs)))
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
        /** Peers read the log about once a second; each fetch carries up to 64 KiB. */
        const val CONFIRM_INTERVAL_MS = 1_000L

        /** Time in which a listed peer is pinged several times. */
        const val PEER_ANSWER_TIMEOUT_MS = 5_000L
        const val CHECKPOINT_INTERVAL_MS = 60_000L

        /** Retention that the log is expected to have at least. */
        const val RETENTION_MS = 24 * 3_600_000L
    }
}

/** What a host says of its configuration in pings. */
internal data class PeerStatus(
    val configOffset: LogOffset,
    val isReady: Boolean,
    val isLogReadable: Boolean
)

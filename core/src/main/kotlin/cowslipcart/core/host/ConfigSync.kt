package cowslipcart.core.host

import cowslipcart.core.config.ConfigFetchTracker
import cowslipcart.core.config.ConfigState
import cowslipcart.core.config.createConfigReplica
import cowslipcart.core.config.createReadinessGate
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.random.Random

/**
 * Keeps the configuration replica of this host up to date from the log and from peers, and decides
 * whether it is recent enough to serve requests.
 */
internal class ConfigSync(
    private val self: HostId,
    private val random: Random,
    private val outbox: Outbox
) {
    private val replica = createConfigReplica()
    private val readinessGate = createReadinessGate(self)
    private var publishedReadiness: Pair<Boolean, List<String>>? = null
    private val fetcher = ConfigFetcher(outbox) { checkNotNull(fetchTracker).begin(it) }
    private val responder = ConfigResponder(random)
    private var fetchTracker: ConfigFetchTracker? = null

    /** Start time of the last log read that reached the end of the log; null if there was none. */
    private var endReadStartedAtMs: Long? = null
    private var lastConfirmAtMs = Long.MIN_VALUE / 2
    private var nextCheckpointAtMs = 0L
    private val peerStatuses = HashMap<HostId, ConfigStatus>()
    private val unansweredSinceMs = HashMap<HostId, Long>()

    val state: ConfigState get() = replica.state
    val configuration: Configuration get() = replica.state.configuration
    val isReady: Boolean get() = readinessGate.isReady

    /** Whether the last read of the log reached its end. */
    var isLogReadable = false
        private set

    /** Returns the last status that [host] reported; for this host, the current one. */
    fun statusOf(host: HostId): ConfigStatus? = if (host == self) {
        ConfigStatus(replica.state.nextOffset, readinessGate.isReady, isLogReadable)
    } else {
        peerStatuses[host]
    }

    /** Records the time of the first input as the start time of this process. */
    fun onInput(nowMs: Long) {
        if (fetchTracker == null) fetchTracker = ConfigFetchTracker(nowMs, random)
    }

    /** Applies records of the log; returns whether the configuration changed. */
    fun onRead(input: HostInput.ConfigRead): Boolean {
        val previous = replica.state.configuration
        val verdicts = replica.apply(input.records, input.firstKeptOffset)
        verdicts.forEach { outbox.emit(HostEffect.ReportConfigVerdict(it)) }
        readinessGate.onAppliedOffset(replica.state.nextOffset)
        readinessGate.onLogEnd(input.endOffset)
        isLogReadable = replica.state.nextOffset >= input.endOffset
        if (isLogReadable) endReadStartedAtMs = input.sentAtMs
        return publishChange(previous)
    }

    /** Marks the log as not readable until the next successful read. */
    fun onReadFailed() {
        isLogReadable = false
    }

    /** Sends this host's state and the age of its last read that reached the end of the log. */
    fun onFetch(from: HostId, fetch: PeerMessage.ConfigFetch, nowMs: Long) {
        outbox.send(from, responder.answerFetch(replyTo(fetch.fetchId, nowMs)))
    }

    /** Sends a further part of this host's state. */
    fun onPartFetch(from: HostId, fetch: PeerMessage.ConfigPartFetch, nowMs: Long) {
        outbox.send(from, responder.answerPartFetch(replyTo(fetch.fetchId, nowMs), fetch))
    }

    private fun replyTo(fetchId: ConfigFetchId, nowMs: Long) = PeerMessage.ConfigReply(
        fetchId,
        replica.state,
        logReadAgeMs = endReadStartedAtMs?.let { nowMs - it }
    )

    /** Adopts the state of a peer if it is ahead; returns whether the configuration changed. */
    fun onReply(from: HostId, reply: PeerMessage.ConfigReply): Boolean {
        fetcher.onReply(from)
        val previous = replica.state.configuration
        replica.adopt(reply.state)
        readinessGate.onAppliedOffset(replica.state.nextOffset)
        val isLogEnd = reply.logReadAgeMs
            ?.let { fetchTracker?.isReadAfterStart(reply.fetchId, it) }
            ?: false
        readinessGate.onPeerOffset(from, reply.state.nextOffset, isLogEnd)
        return publishChange(previous)
    }

    /**
     * Takes a part of a peer's state; returns whether the configuration changed. If that state is
     * not ahead of this host's, only the age of the peer's log read is used.
     */
    fun onPart(from: HostId, part: PeerMessage.ConfigPart, nowMs: Long): Boolean {
        val ownOffset = replica.state.nextOffset
        val reply = if (part.reply.state.nextOffset <= ownOffset) {
            part.reply
        } else {
            fetcher.onPart(from, part, ownOffset, nowMs)
        }
        return reply?.let { onReply(from, it) } ?: false
    }

    /** Takes the status in a peer's ping; fetches the peer's state if it is ahead. */
    fun onPeerStatus(from: HostId, status: ConfigStatus, nowMs: Long) {
        peerStatuses[from] = status
        readinessGate.onPeerOffset(from, status.configOffset, isLogEnd = false)
        val ownOffset = replica.state.nextOffset
        if (status.configOffset > ownOffset) {
            fetcher.onPeerAhead(from, ownOffset, isLogReadable, nowMs)
        } else if (!readinessGate.isLogEndKnown && status.isLogReadable) {
            confirmLogEnd(from, nowMs)
        }
        publishReadiness()
    }

    /**
     * Takes the peers on the platform's list; null if the list could not be read. A peer that has
     * sent no status for [PEER_ANSWER_TIMEOUT_MS] is reported to the readiness gate as silent.
     */
    fun onListedPeers(hosts: Set<HostId>?, nowMs: Long) {
        for (host in hosts.orEmpty() - peerStatuses.keys) {
            val sinceMs = unansweredSinceMs.getOrPut(host) { nowMs }
            if (nowMs - sinceMs >= PEER_ANSWER_TIMEOUT_MS) readinessGate.onPeerSilent(host)
        }
        readinessGate.onListedPeers(hosts)
        publishReadiness()
    }

    /** Appends a checkpoint when one is due; jitter keeps the hosts from appending all at once. */
    fun tick(wallNowMs: Long, nowMs: Long) {
        fetcher.tick(nowMs)
        if (nowMs < nextCheckpointAtMs) return
        val isFirst = nextCheckpointAtMs == 0L
        nextCheckpointAtMs = nowMs + CHECKPOINT_INTERVAL_MS +
            random.nextLong(CHECKPOINT_INTERVAL_MS)
        if (isFirst || !isLogReadable || !readinessGate.isReady) return
        replica.checkpointIfDue(wallNowMs, RETENTION_MS)
            ?.let { outbox.emit(HostEffect.AppendConfig(it)) }
    }

    /** Asks a peer that is not ahead for the age of its last read to the end of the log. */
    private fun confirmLogEnd(from: HostId, nowMs: Long) {
        val fetchTracker = fetchTracker
        if (fetchTracker == null || nowMs - lastConfirmAtMs < CONFIRM_INTERVAL_MS) return
        lastConfirmAtMs = nowMs
        outbox.send(from, PeerMessage.ConfigFetch(fetchTracker.begin(nowMs)))
    }

    /** Publishes the readiness, and the configuration if it differs from [previous]. */
    private fun publishChange(previous: Configuration): Boolean {
        val state = replica.state
        val hasChanged = state.configuration != previous
        if (hasChanged) {
            outbox.emit(HostEffect.PublishConfiguration(state.configuration, state.nextOffset))
        }
        publishReadiness()
        return hasChanged
    }

    private fun publishReadiness() {
        val missing = readinessGate.describeMissing() +
            if (configuration.presetInForce == null) listOf("a preset in force") else emptyList()
        val readiness = missing.isEmpty() to missing
        if (readiness == publishedReadiness) return
        publishedReadiness = readiness
        outbox.emit(HostEffect.PublishReadiness(readiness.first, readiness.second))
    }

    private companion object {
        /** Peers read the log about once a second; the reply to a fetch takes up to 64 KiB. */
        const val CONFIRM_INTERVAL_MS = 1_000L

        /** Long enough for several pings to a listed peer. */
        const val PEER_ANSWER_TIMEOUT_MS = 5_000L
        const val CHECKPOINT_INTERVAL_MS = 60_000L

        /** Shortest retention that the log is expected to have. */
        const val RETENTION_MS = 24 * 3_600_000L
    }
}

/** Status of a host's configuration, as carried by its pings. */
internal data class ConfigStatus(
    val configOffset: LogOffset,
    val isReady: Boolean,
    val isLogReadable: Boolean
)

package cowslipcart.core.membership

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.random.Random

/** Creates the view of the host process [self], which has just started and knows no other host. */
public fun createMembershipView(self: HostIdentity, random: Random): MembershipView =
    SwimMembershipView(self, random)

/**
 * Membership by a variant of the SWIM protocol: direct and indirect pings detect failures, a host
 * is suspect before it is declared dead, and rumors on pings spread state changes.
 */
private class SwimMembershipView(private val self: HostIdentity, private val random: Random) :
    MembershipView {
    private val table = PeerTable()
    private val rumors = RumorQueue()
    private val notices = EndpointNotices()
    private val schedule = ProbeSchedule(random)
    private val relays = PingRelays()

    /** Number of the latest ping to each host; only its answer confirms an incarnation. */
    private val latestPingNumbers = mutableMapOf<HostId, Long>()

    /** Times of the latest pings that asked a host to confirm its incarnation. */
    private val confirmSentAtMs = mutableMapOf<HostId, List<Long>>()

    /** Starts at random, so that no answer to an earlier process counts as one to this process. */
    private var nextPingNumber = random.nextLong()

    private var hostList = HostList(emptyList(), emptySet())
    private var listedByHost = emptyMap<HostId, ListedHost>()
    private var ownState = HostState.LIVE
    private var ownRefutationCount = 0L
    private var ownConfigOffset = LogOffset(0)
    private var lastTickMs: Long? = null

    /** Whether [ownerCandidates] must be recomputed; ticks are frequent and rarely change it. */
    private var areOwnersStale = false
    private var nextRoundMs = Long.MIN_VALUE

    override var ownerCandidates: Set<HostId> = setOf(self.host)
        private set

    override val liveHosts: Map<HostId, HostIdentity>
        get() = table.peers.filter { it.state != HostState.DEAD }
            .associate { it.identity.host to it.identity } + (self.host to self)

    override var leavingEndpoints: Set<EndpointId> = emptySet()
        private set

    override var highestConfigOffset: LogOffset? = null
        private set

    override fun onHostList(list: HostList, nowMs: Long) = effectsOf { _ ->
        this.hostList = list
        areOwnersStale = true
        listedByHost = list.hosts.filter { it.host != self.host }.associateBy { it.host }
        listedByHost.values.filter { table.find(it.host) == null }
            .forEach { schedule.requestPing(it.host, it.peerAddress) }
    }

    override fun onPing(ping: PingContent, nowMs: Long) = effectsOf { effects ->
        if (ping.from.host == self.host) return@effectsOf
        onMessage(ping, isConfirmed = false, effects, nowMs)
        val ack = createPingContent(ping.from.host, ping.pingNumber, nowMs)
        effects += MembershipEffect.SendPingAck(ping.from.host, ack)
    }

    override fun onPingAck(ack: PingContent, nowMs: Long) = effectsOf { effects ->
        val host = ack.from.host
        if (host == self.host) return@effectsOf
        onMessage(ack, isConfirmed = latestPingNumbers[host] == ack.pingNumber, effects, nowMs)
        if (table.find(host)?.identity == ack.from) schedule.onAnswer(host)
        effects += relays.take(host).map { MembershipEffect.SendPingAck(it, ack) }
    }

    override fun onPingRequest(from: HostId, target: HostId, nowMs: Long) = effectsOf { effects ->
        if (target == self.host) return@effectsOf
        relays.add(target, from, nowMs)
        sendPing(target, effects, nowMs)
    }

    override fun onEndpointLeaving(endpoint: EndpointId, nowMs: Long) = effectsOf { _ ->
        if (notices.merge(endpoint, ageMs = 0, nowMs)) {
            rumors.refresh(RumorTopic.OfEndpoint(endpoint))
        }
    }

    override fun leave(nowMs: Long) = effectsOf { effects ->
        if (ownState == HostState.LEAVING) return@effectsOf
        ownState = HostState.LEAVING
        areOwnersStale = true
        ownRefutationCount++
        // The balancer and other hosts learn of it before the next round of pings.
        table.peers.filter { it.state != HostState.DEAD }.shuffled(random).take(LEAVE_PINGS)
            .forEach { sendPing(it.identity.host, effects, nowMs) }
    }

    override fun tick(configOffset: LogOffset, nowMs: Long) = effectsOf { effects ->
        ownConfigOffset = maxOf(ownConfigOffset, configOffset)
        if (lastTickMs?.let { nowMs - it >= LOCAL_PAUSE_MS } == true) onLocalPause(nowMs)
        lastTickMs = nowMs
        notices.removeExpired(nowMs).forEach { rumors.remove(RumorTopic.OfEndpoint(it)) }
        relays.removeExpired(nowMs)
        schedule.takeRetries(nowMs).forEach { retryPing(it, effects, nowMs) }
        if (nowMs >= nextRoundMs) {
            nextRoundMs = nowMs + MembershipView.PING_INTERVAL_MS
            detectFailures(effects, nowMs)
            removeDeadHosts(nowMs)
            startRound(effects, nowMs)
        }
    }

    /** Restarts all timeouts: this host saw no answers while it was paused itself. */
    private fun onLocalPause(nowMs: Long) {
        schedule.reset()
        table.peers.filter { it.state == HostState.SUSPECT }.forEach { it.changedAtMs = nowMs }
    }

    private fun detectFailures(effects: MutableList<MembershipEffect>, nowMs: Long) {
        for ((host, missed) in schedule.endRound(liveHosts.keys)) {
            val peer = table.find(host) ?: continue
            val isOverdue = nowMs - missed.firstSentAtMs >= MembershipView.FAILURE_TIMEOUT_MS
            val state = when {
                missed.count < SUSPECT_AFTER_MISSED_PINGS -> continue
                isOverdue -> HostState.DEAD
                else -> HostState.SUSPECT
            }
            onMergeResult(table.mergeState(peer, state, peer.refutationCount, nowMs), effects)
        }
    }

    private fun removeDeadHosts(nowMs: Long) {
        val removed = table.peers.filter {
            it.state == HostState.DEAD && it.identity.host !in listedByHost &&
                nowMs - it.changedAtMs >= REMOVE_DEAD_AFTER_MS
        }
        removed.forEach {
            table.remove(it)
            latestPingNumbers -= it.identity.host
            confirmSentAtMs -= it.identity.host
            rumors.remove(RumorTopic.OfHost(it.identity.host))
        }
    }

    private fun startRound(effects: MutableList<MembershipEffect>, nowMs: Long) {
        val liveOthers = table.peers.filter { it.state != HostState.DEAD }
        // Normally the host that suspects a peer decides whether it died. If that host died too, a
        // suspicion stays open, and then every host pings the suspect itself.
        val overdue = liveOthers.filter {
            it.state == HostState.SUSPECT &&
                nowMs - it.changedAtMs >= MembershipView.FAILURE_TIMEOUT_MS
        }
        // Listed hosts are pinged even if they are dead: after a network partition, each side has
        // declared the other dead, and no other message would reconnect them.
        val candidates = liveOthers.mapTo(sortedSetOf()) { it.identity.host } + listedByHost.keys
        val overdueHosts = overdue.mapTo(mutableSetOf()) { it.identity.host }
        schedule.startRound(candidates, overdueHosts, nowMs)
            .forEach { (host, address) -> sendPing(host, effects, nowMs, address) }
    }

    private fun retryPing(target: HostId, effects: MutableList<MembershipEffect>, nowMs: Long) {
        val peer = table.find(target)
        if (peer == null || peer.state == HostState.DEAD) return
        sendPing(target, effects, nowMs)
        table.peers
            .filter { it.state == HostState.LIVE && it.identity.host != target }
            .shuffled(random).take(INDIRECT_PINGS)
            .forEach { effects += MembershipEffect.SendPingRequest(it.identity.host, target) }
    }

    private fun onMessage(
        content: PingContent,
        isConfirmed: Boolean,
        effects: MutableList<MembershipEffect>,
        nowMs: Long
    ) {
        val result = table.mergeMessage(content, isConfirmed, nowMs)
        if (result is MergeResult.Unconfirmed) {
            confirm(content.from, effects, nowMs)
        } else {
            onMergeResult(result, effects)
        }
        highestConfigOffset =
            maxOf(highestConfigOffset ?: content.configOffset, content.configOffset)
        for (rumor in content.rumors) {
            when (rumor) {
                is Rumor.Host -> onHostRumor(rumor, effects, nowMs)

                is Rumor.EndpointLeaving ->
                    if (notices.merge(rumor.endpoint, rumor.ageMs, nowMs)) {
                        rumors.refresh(RumorTopic.OfEndpoint(rumor.endpoint))
                    }
            }
        }
    }

    /**
     * Pings [identity] at once to confirm its incarnation, at most [MAX_CONFIRM_PINGS] times per
     * [CONFIRM_INTERVAL_MS] and else in a later round. Each ping makes the answers to earlier ones
     * stale, so two answers in flight would cause pings without end.
     */
    private fun confirm(
        identity: HostIdentity,
        effects: MutableList<MembershipEffect>,
        nowMs: Long
    ) {
        val recent = confirmSentAtMs[identity.host].orEmpty()
            .filter { nowMs - it < CONFIRM_INTERVAL_MS }
        if (recent.size >= MAX_CONFIRM_PINGS) {
            schedule.requestPing(identity.host, identity.peerAddress)
            return
        }
        confirmSentAtMs[identity.host] = recent + nowMs
        sendPing(identity.host, effects, nowMs, identity.peerAddress)
    }

    private fun onHostRumor(
        rumor: Rumor.Host,
        effects: MutableList<MembershipEffect>,
        nowMs: Long
    ) {
        if (rumor.identity.host != self.host) {
            onMergeResult(table.mergeRumor(rumor, nowMs), effects)
        } else if (rumor.identity.incarnation == self.incarnation) {
            refute(rumor)
        }
    }

    /** Raises the refutation count if [rumor] contradicts the own state. */
    private fun refute(rumor: Rumor.Host) {
        val isWrong = rumor.refutationCount > ownRefutationCount ||
            (rumor.refutationCount == ownRefutationCount && rumor.state > ownState)
        if (isWrong) ownRefutationCount = rumor.refutationCount + 1
    }

    private fun onMergeResult(result: MergeResult, effects: MutableList<MembershipEffect>) {
        when (result) {
            MergeResult.Unchanged -> Unit

            is MergeResult.Unconfirmed ->
                schedule.requestPing(result.identity.host, result.identity.peerAddress)

            is MergeResult.Changed -> {
                areOwnersStale = true
                rumors.refresh(RumorTopic.OfHost(result.peer.identity.host))
                result.died?.let {
                    schedule.onDeath(it.host)
                    effects += MembershipEffect.HostDied(it)
                }
            }
        }
    }

    private fun sendPing(
        to: HostId,
        effects: MutableList<MembershipEffect>,
        nowMs: Long,
        address: String? = null
    ) {
        // The list lags, so the address that a live host announced goes before the listed one. A
        // dead host may have been replaced by a process whose address only the list knows.
        val known = table.find(to)
        val announcedAddress = known?.takeIf { it.state != HostState.DEAD }?.identity?.peerAddress
        val target = address ?: announcedAddress ?: listedByHost[to]?.peerAddress
            ?: known?.identity?.peerAddress ?: return
        val number = nextPingNumber++
        latestPingNumbers[to] = number
        effects += MembershipEffect.SendPing(to, target, createPingContent(to, number, nowMs))
    }

    private fun createPingContent(to: HostId, pingNumber: Long, nowMs: Long): PingContent {
        // A host that is seen as suspect or dead gets that rumor first, so that it can refute it.
        val isSuspectOrDead = table.find(to)?.state.let {
            it == HostState.SUSPECT || it == HostState.DEAD
        }
        val content = rumors.take(table.peers.size + 1, to, isSuspectOrDead).mapNotNull { topic ->
            when (topic) {
                is RumorTopic.OfHost -> table.find(topic.host)?.rumor
                is RumorTopic.OfEndpoint -> notices.rumor(topic.endpoint, nowMs)
            }
        }
        return PingContent(
            self,
            pingNumber,
            ownState,
            ownRefutationCount,
            ownConfigOffset,
            content
        )
    }

    /** Runs [change] and returns its effects and those of the changes to the public state. */
    private inline fun effectsOf(
        change: (MutableList<MembershipEffect>) -> Unit
    ): List<MembershipEffect> {
        val effects = mutableListOf<MembershipEffect>()
        change(effects)
        val newCandidates = if (areOwnersStale) selectOwners() else ownerCandidates
        areOwnersStale = false
        if (newCandidates != ownerCandidates) {
            ownerCandidates = newCandidates
            effects += MembershipEffect.OwnersChanged
        }
        val newLeaving = hostList.leavingEndpoints + notices.endpoints
        if (newLeaving != leavingEndpoints) {
            leavingEndpoints = newLeaving
            effects += MembershipEffect.LeavingEndpointsChanged
        }
        return effects
    }

    private fun selectOwners(): Set<HostId> {
        val listedLeaving = hostList.hosts.filter { it.isLeaving }.mapTo(mutableSetOf()) { it.host }
        val hosts = table.peers
            .filter { it.state == HostState.LIVE || it.state == HostState.SUSPECT }
            .mapTo(sortedSetOf()) { it.identity.host }
        if (ownState == HostState.LIVE) hosts += self.host
        return hosts - listedLeaving
    }

    private companion object {
        const val SUSPECT_AFTER_MISSED_PINGS = 2
        const val INDIRECT_PINGS = 2
        const val LEAVE_PINGS = 3

        /** As long as the wait before an unanswered ping is retried; an answer takes a few ms. */
        const val CONFIRM_INTERVAL_MS = 300L

        /** One for a delayed message of an earlier process and one for a message of the new one. */
        const val MAX_CONFIRM_PINGS = 2

        /** Twice the ping interval. A host without a tick for this long has missed answers. */
        const val LOCAL_PAUSE_MS = 2_000L

        /** Longer than any rumor that the host is live can still be in flight. */
        const val REMOVE_DEAD_AFTER_MS = 60_000L
    }
}

package cowslipcart.core.membership

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.random.Random

/** Returns the view of a host that has just started and knows itself only. */
public fun createMembershipView(self: HostIdentity, random: Random): MembershipView =
    SwimMembershipView(self, random)

private class SwimMembershipView(private val self: HostIdentity, private val random: Random) :
    MembershipView {
    private val table = PeerTable()
    private val rumors = RumorQueue()
    private val notices = EndpointNotices()
    private val schedule = ProbeSchedule(random)
    private val relays = PingRelays()
    private val latestPings = mutableMapOf<HostId, Long>()

    /** Times of the latest pings that asked a host to confirm its incarnation. */
    private val confirmSentAtMs = mutableMapOf<HostId, List<Long>>()

    /** Random start, so that no answer to a predecessor's ping is taken for one to this process. */
    private var nextPingNumber = random.nextLong()

    private var list = HostList(emptyList(), emptySet())
    private var listedByHost = emptyMap<HostId, ListedHost>()
    private var ownState = HostState.LIVE
    private var ownRefutationCount = 0L
    private var ownConfigOffset = LogOffset(0)
    private var lastTickMs: Long? = null

    /** Whether [owners] has to be computed again; ticks are frequent and rarely change it. */
    private var isOwnersStale = false
    private var nextRoundMs = Long.MIN_VALUE

    override var owners: Set<HostId> = setOf(self.host)
        private set

    override val liveHosts: Map<HostId, HostIdentity>
        get() = table.peers.filter { it.state != HostState.DEAD }
            .associate { it.identity.host to it.identity } + (self.host to self)

    override var leavingEndpoints: Set<EndpointId> = emptySet()
        private set

    override var highestConfigOffset: LogOffset? = null
        private set

    override fun onHostList(list: HostList, nowMs: Long) = collect { _ ->
        this.list = list
        isOwnersStale = true
        listedByHost = list.hosts.filter { it.host != self.host }.associateBy { it.host }
        listedByHost.values.filter { table.find(it.host) == null }
            .forEach { schedule.confirm(it.host, it.peerAddress) }
    }

    override fun onPing(ping: PingContent, nowMs: Long) = collect { effects ->
        if (ping.from.host == self.host) return@collect
        onContact(ping, isConfirmed = false, effects, nowMs)
        val ack = createContent(ping.from.host, ping.pingNumber, nowMs)
        effects += MembershipEffect.SendPingAck(ping.from.host, ack)
    }

    override fun onPingAck(ack: PingContent, nowMs: Long) = collect { effects ->
        val host = ack.from.host
        if (host == self.host) return@collect
        onContact(ack, isConfirmed = latestPings[host] == ack.pingNumber, effects, nowMs)
        if (table.find(host)?.identity == ack.from) schedule.onAnswer(host)
        effects += relays.take(host).map { MembershipEffect.SendPingAck(it, ack) }
    }

    override fun onPingRequest(from: HostId, target: HostId, nowMs: Long) = collect { effects ->
        if (target == self.host) return@collect
        relays.add(target, from, nowMs)
        sendPing(target, effects, nowMs)
    }

    override fun onEndpointLeaving(endpoint: EndpointId, nowMs: Long) = collect { _ ->
        if (notices.merge(endpoint, ageMs = 0, nowMs)) {
            rumors.refresh(RumorTopic.OfEndpoint(endpoint))
        }
    }

    override fun leave(nowMs: Long) = collect { effects ->
        if (ownState == HostState.LEAVING) return@collect
        ownState = HostState.LEAVING
        isOwnersStale = true
        ownRefutationCount++
        // The balancer and other hosts learn of it faster than by the next round of pings.
        table.peers.filter { it.state != HostState.DEAD }.shuffled(random).take(LEAVE_PINGS)
            .forEach { sendPing(it.identity.host, effects, nowMs) }
    }

    override fun tick(configOffset: LogOffset, nowMs: Long) = collect { effects ->
        ownConfigOffset = maxOf(ownConfigOffset, configOffset)
        if (lastTickMs?.let { nowMs - it >= PAUSE_MS } == true) onOwnPause(nowMs)
        lastTickMs = nowMs
        notices.removeLapsed(nowMs).forEach { rumors.remove(RumorTopic.OfEndpoint(it)) }
        relays.removeOld(nowMs)
        schedule.takeRepeats(nowMs).forEach { repeatPing(it, effects, nowMs) }
        if (nowMs >= nextRoundMs) {
            nextRoundMs = nowMs + MembershipView.PING_INTERVAL_MS
            judgeSilentHosts(effects, nowMs)
            forgetDeadHosts(nowMs)
            pingRound(effects, nowMs)
        }
    }

    /** While this host was paused it saw no answers, so silence proves nothing. */
    private fun onOwnPause(nowMs: Long) {
        schedule.restart()
        table.peers.filter { it.state == HostState.SUSPECT }.forEach { it.changedAtMs = nowMs }
    }

    private fun judgeSilentHosts(effects: MutableList<MembershipEffect>, nowMs: Long) {
        for ((host, streak) in schedule.endRound(liveHosts.keys)) {
            val peer = table.find(host) ?: continue
            val isOverdue = nowMs - streak.firstSentAtMs >= MembershipView.DEATH_AFTER_MS
            val state = when {
                streak.missedCount < SUSPECT_AFTER_MISSES -> continue
                isOverdue -> HostState.DEAD
                else -> HostState.SUSPECT
            }
            onMerge(table.mergeState(peer, state, peer.refutationCount, nowMs), effects)
        }
    }

    private fun forgetDeadHosts(nowMs: Long) {
        val forgotten = table.peers.filter {
            it.state == HostState.DEAD && it.identity.host !in listedByHost &&
                nowMs - it.changedAtMs >= FORGET_AFTER_MS
        }
        forgotten.forEach {
            table.remove(it)
            latestPings -= it.identity.host
            confirmSentAtMs -= it.identity.host
            rumors.remove(RumorTopic.OfHost(it.identity.host))
        }
    }

    private fun pingRound(effects: MutableList<MembershipEffect>, nowMs: Long) {
        val known = table.peers.filter {
            it.state != HostState.DEAD || it.identity.host in listedByHost
        }
        // A rumor of suspicion is left to the host that suspects; if that one died too, each host
        // has to find out itself.
        val overdue = known.filter {
            it.state == HostState.SUSPECT &&
                nowMs - it.changedAtMs >= MembershipView.DEATH_AFTER_MS
        }
        val candidates = known.mapTo(sortedSetOf()) { it.identity.host } + listedByHost.keys
        val overdueHosts = overdue.mapTo(mutableSetOf()) { it.identity.host }
        schedule.startRound(candidates, overdueHosts, nowMs)
            .forEach { (host, address) -> sendPing(host, effects, nowMs, address) }
    }

    private fun repeatPing(target: HostId, effects: MutableList<MembershipEffect>, nowMs: Long) {
        val peer = table.find(target)
        if (peer == null || peer.state == HostState.DEAD) return
        sendPing(target, effects, nowMs)
        table.peers
            .filter { it.state == HostState.LIVE && it.identity.host != target }
            .shuffled(random).take(INDIRECT_PINGS)
            .forEach { effects += MembershipEffect.SendPingRequest(it.identity.host, target) }
    }

    private fun onContact(
        content: PingContent,
        isConfirmed: Boolean,
        effects: MutableList<MembershipEffect>,
        nowMs: Long
    ) {
        val merge = table.mergeContact(content, isConfirmed, nowMs)
        if (merge is Merge.Unconfirmed) {
            confirm(content.from, effects, nowMs)
        } else {
            onMerge(merge, effects)
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
     * Pings [identity] at once, but only a few times before the answers can have come: each ping
     * makes the answers to earlier ones stale, so that two answers under way would ask for pings
     * without end.
     */
    private fun confirm(
        identity: HostIdentity,
        effects: MutableList<MembershipEffect>,
        nowMs: Long
    ) {
        val recent = confirmSentAtMs[identity.host].orEmpty()
            .filter { nowMs - it < CONFIRM_INTERVAL_MS }
        if (recent.size >= MAX_CONFIRM_PINGS) {
            schedule.confirm(identity.host, identity.peerAddress)
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
            onMerge(table.mergeRumor(rumor, nowMs), effects)
        } else if (rumor.identity.incarnation == self.incarnation) {
            refute(rumor)
        }
    }

    private fun refute(rumor: Rumor.Host) {
        val isWrong = rumor.refutationCount > ownRefutationCount ||
            (rumor.refutationCount == ownRefutationCount && rumor.state > ownState)
        if (isWrong) ownRefutationCount = rumor.refutationCount + 1
    }

    private fun onMerge(merge: Merge, effects: MutableList<MembershipEffect>) {
        when (merge) {
            Merge.Unchanged -> Unit

            is Merge.Unconfirmed ->
                schedule.confirm(merge.identity.host, merge.identity.peerAddress)

            is Merge.Changed -> {
                isOwnersStale = true
                rumors.refresh(RumorTopic.OfHost(merge.peer.identity.host))
                merge.died?.let {
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
        // The list lags, so a live host's own word on its address goes before the list's. A dead
        // host may have been replaced by one with an address that only the list knows.
        val known = table.find(to)
        val ownWord = known?.takeIf { it.state != HostState.DEAD }?.identity?.peerAddress
        val target = address ?: ownWord ?: listedByHost[to]?.peerAddress
            ?: known?.identity?.peerAddress ?: return
        val number = nextPingNumber++
        latestPings[to] = number
        effects += MembershipEffect.SendPing(to, target, createContent(to, number, nowMs))
    }

    private fun createContent(to: HostId, pingNumber: Long, nowMs: Long): PingContent {
        // A host that is taken for suspect or dead is told so first, so that it can refute it.
        val isDoubted = table.find(to)?.state.let {
            it == HostState.SUSPECT || it == HostState.DEAD
        }
        val content = rumors.take(table.peers.size + 1, to, isDoubted).mapNotNull { topic ->
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

    /** Runs [change] and adds the effects of what it changed in the public state. */
    private inline fun collect(
        change: (MutableList<MembershipEffect>) -> Unit
    ): List<MembershipEffect> {
        val effects = mutableListOf<MembershipEffect>()
        change(effects)
        val newOwners = if (isOwnersStale) selectOwners() else owners
        isOwnersStale = false
        if (newOwners != owners) {
            owners = newOwners
            effects += MembershipEffect.OwnersChanged
        }
        val newLeaving = list.leavingEndpoints + notices.endpoints
        if (newLeaving != leavingEndpoints) {
            leavingEndpoints = newLeaving
            effects += MembershipEffect.LeavingEndpointsChanged
        }
        return effects
    }

    private fun selectOwners(): Set<HostId> {
        val listedLeaving = list.hosts.filter { it.isLeaving }.mapTo(mutableSetOf()) { it.host }
        val hosts = table.peers
            .filter { it.state == HostState.LIVE || it.state == HostState.SUSPECT }
            .mapTo(sortedSetOf()) { it.identity.host }
        if (ownState == HostState.LIVE) hosts += self.host
        return hosts - listedLeaving
    }

    private companion object {
        const val SUSPECT_AFTER_MISSES = 2
        const val INDIRECT_PINGS = 2
        const val LEAVE_PINGS = 3

        /** Like the repetition of an unanswered ping; an answer takes a few milliseconds. */
        const val CONFIRM_INTERVAL_MS = 300L

        /** One for a delayed message of a predecessor and one for a message of its successor. */
        const val MAX_CONFIRM_PINGS = 2

        /** Twice the ping interval: a host whose own clock jumped this far has missed answers. */
        const val PAUSE_MS = 2_000L

        /** Longer than any rumor of the host's life is still under way. */
        const val FORGET_AFTER_MS = 60_000L
    }
}

package cowslipcart.core.host

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.membership.MembershipEffect
import cowslipcart.core.membership.createMembershipView
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.ShardId
import cowslipcart.core.origin.CallerRequest
import cowslipcart.core.origin.Rejection
import cowslipcart.core.origin.createOriginController
import cowslipcart.core.quarantine.QuarantineStatus
import cowslipcart.core.quarantine.createSuspectRegistry
import kotlin.random.Random

/**
 * Creates the control state of the host process [self].
 *
 * @param cacheReadBytesPerS limit for this host's reads of cache events, on average; 0 turns reads
 * off
 */
public fun createHostController(
    self: HostIdentity,
    random: Random,
    cacheReadBytesPerS: Long = DEFAULT_CACHE_READ_BYTES_PER_S
): HostController = DefaultHostController(self, random, cacheReadBytesPerS)

/** Enough for all events of about 130 prompt blocks a second that are stored and evict others. */
public const val DEFAULT_CACHE_READ_BYTES_PER_S: Long = 16_384

private class DefaultHostController(
    private val self: HostIdentity,
    random: Random,
    cacheReadBytesPerS: Long
) : HostController {
    private val process = ProcessId(self.host, self.incarnation)
    private val membership = createMembershipView(self, random)
    private val outbox = Outbox(self.host) { membership.liveHosts[it]?.peerAddress }
    private val config = ConfigSync(self.host, random, outbox)
    private val shards = ShardManager(self.host, random, outbox, cacheReadBytesPerS)
    private val claims = ClaimHandler(process, membership, outbox)
    private val crashes = CrashBroadcaster(self.host, membership, outbox)
    private val keyQueries = KeyQueryTracker(self.host, membership, outbox)
    private val quota = QuotaHandler(membership, outbox)
    private val suspects = createSuspectRegistry()
    private val quarantineHandover = QuarantineHandover(self.host, membership, suspects, outbox)
    private val origin = createOriginController(process, random) { request ->
        config.configuration.pools[request.pool]?.shardCount ?: 1
    }
    private val orders = OrderIssuer(process, random, outbox)
    private val originEffects =
        OriginEffectHandler(origin, config, shards, claims, crashes, keyQueries, suspects, outbox)
    private val outcomeQueries = OutcomeQueryHandler(process, origin, membership, outbox)
    private var hostsPublishedAtMs = Long.MIN_VALUE / 2
    private val lastOwners = HashMap<ShardId, HostId?>()

    override val openRequestCount: Int get() = origin.openCount

    override fun handle(input: HostInput, nowMs: Long): List<HostEffect> {
        shards.onInput(nowMs)
        config.onInput(nowMs)
        handleInput(input, nowMs)
        while (true) {
            val message = outbox.localMessages.removeFirstOrNull() ?: break
            onMessage(self.host, message, nowMs)
        }
        return outbox.takeEffects()
    }

    private fun handleInput(input: HostInput, nowMs: Long) {
        when (input) {
            is HostInput.RequestReceived -> onRequestReceived(input.request, nowMs)

            is HostInput.CallerDisconnected -> originEffects.perform(
                origin.onCallerDisconnected(input.requestId, nowMs),
                nowMs
            )

            is HostInput.StreamEnded ->
                originEffects.perform(origin.onStreamEnd(input.requestId, input.end, nowMs), nowMs)

            is HostInput.StreamProgress -> input.reports.forEach { (shard, reports) ->
                outbox.send(shards.ownerOf(shard), PeerMessage.CapacityProgress(shard, reports))
            }

            is HostInput.PeerMessageReceived -> onMessage(input.from, input.message, nowMs)

            is HostInput.HostListRead -> onHostList(input, nowMs)

            HostInput.HostListFailed -> config.onListedPeers(null, nowMs)

            is HostInput.LoadRead -> onLoad(input, nowMs)

            is HostInput.LoadFailed -> if (shards.onLoadFailed(input.endpoint)) refresh(nowMs)

            is HostInput.CacheRead -> shards.onCacheRead(input, nowMs)

            is HostInput.CacheReadFailed -> shards.onCacheReadFailed(input.endpoint, nowMs)

            is HostInput.ConfigRead -> if (config.onRead(input)) refresh(nowMs)

            HostInput.ConfigReadFailed -> config.onReadFailed()

            is HostInput.EpochsRead -> claims.onEpochs(input.records)

            is HostInput.Claims -> claims.onClaimsInput(input, nowMs)

            is OrderInput -> orders.onInput(input, nowMs)

            is HostInput.FindOutcome -> outcomeQueries.onFind(input, nowMs)

            is HostInput.Drain -> {
                applyMembership(membership.leave(nowMs), nowMs)
                originEffects.perform(origin.drain(input.limitMs, nowMs), nowMs)
            }

            is HostInput.Tick -> onTick(input.wallNowMs, nowMs)
        }
    }

    /** Handles a message of a peer, or of this host to itself. */
    private fun onMessage(from: HostId, message: PeerMessage, nowMs: Long) {
        when (message) {
            is PeerMessage.Ping -> {
                applyMembership(membership.onPing(message.content, nowMs), nowMs)
                val offset = message.content.configOffset
                val status = ConfigStatus(offset, message.isReady, message.isLogReadable)
                config.onPeerStatus(from, status, nowMs)
            }

            is PeerMessage.PingAck -> {
                applyMembership(membership.onPingAck(message.content, nowMs), nowMs)
                val offset = message.content.configOffset
                val status = ConfigStatus(offset, message.isReady, message.isLogReadable)
                config.onPeerStatus(from, status, nowMs)
            }

            is PeerMessage.PingRequest ->
                applyMembership(membership.onPingRequest(from, message.target, nowMs), nowMs)

            is PeerMessage.ToShardOwner -> shards.onMessage(message, nowMs)

            is PeerMessage.ToOrigin -> onReplyToOrigin(message, nowMs)

            is PeerMessage.ClaimRequest -> claims.onClaim(message, nowMs)

            is PeerMessage.ClaimNotice -> claims.onNotice(message, nowMs)

            is PeerMessage.OutcomeQuery -> outcomeQueries.onQuery(from, message)

            is PeerMessage.KeyQuery -> {
                val own = origin.statusOf(message.key, null)
                val status = keyQueries.statusOf(message.key, own)
                outbox.send(from, PeerMessage.KeyReply(message.requestId, status))
            }

            is PeerMessage.KeyReply ->
                keyQueries.onReply(from, message.requestId, message.status)?.let {
                    originEffects.perform(origin.onKeyStatus(message.requestId, it, nowMs), nowMs)
                }

            is PeerMessage.CrashNotice -> {
                suspects.onCrash(message.report, nowMs)
                outbox.send(from, PeerMessage.CrashAck(message.report.crashId))
            }

            is PeerMessage.CrashAck -> if (crashes.onAck(from, message.crashId)) {
                originEffects.perform(origin.onCrashAcknowledged(message.crashId, nowMs), nowMs)
            }

            is PeerMessage.ConfigFetch -> config.onFetch(from, message, nowMs)

            is PeerMessage.ConfigPartFetch -> config.onPartFetch(from, message, nowMs)

            is PeerMessage.ConfigPart -> if (config.onPart(from, message, nowMs)) refresh(nowMs)

            is PeerMessage.ConfigReply -> if (config.onReply(from, message)) refresh(nowMs)

            is PeerMessage.QuotaAsk -> quota.onAsk(from, message, config.configuration, nowMs)

            is PeerMessage.QuotaGranted -> quota.onGranted(message, nowMs)
        }
    }

    private fun onReplyToOrigin(message: PeerMessage.ToOrigin, nowMs: Long) {
        val effects = when (message) {
            is PeerMessage.CapacityGranted -> origin.onGranted(message.toReceivedGrant(), nowMs)

            is PeerMessage.CapacityRefused -> origin.onRefused(
                message.shard,
                message.requestId,
                message.reason,
                message.retryAfterMs,
                nowMs
            )

            is PeerMessage.GiveWay -> origin.onPreempt(message.requestId, message.grantId)

            is PeerMessage.ClaimReply ->
                origin.onClaimVerdict(message.attempt, message.verdict, nowMs)

            is PeerMessage.OutcomeReply -> {
                outcomeQueries.onReply(message.organisation, message.requestId, message.outcome)
                origin.onOutcome(message.organisation, message.requestId, message.outcome, nowMs)
            }
        }
        originEffects.perform(effects, nowMs)
    }

    private fun onRequestReceived(request: CallerRequest, nowMs: Long) {
        val status = suspects.statusOf(request.fingerprint, nowMs)
        if (status == QuarantineStatus.QUARANTINED) {
            reject(request, Rejection.Quarantined("this content crashed two endpoints"))
            return
        }
        val retryAfterMs = quota.admit(request, config.configuration, nowMs)
        if (retryAfterMs != null) {
            val rejection = Rejection.LimitExceeded(
                "the organisation's limit is used up",
                retryAfterMs
            )
            reject(request, rejection)
            return
        }
        originEffects.perform(
            origin.start(request, status == QuarantineStatus.SUSPECT, nowMs),
            nowMs
        )
    }

    private fun reject(request: CallerRequest, rejection: Rejection) {
        outbox.emit(HostEffect.Reject(request.requestId, rejection))
    }

    private fun onHostList(input: HostInput.HostListRead, nowMs: Long) {
        applyMembership(membership.onHostList(input.list, nowMs), nowMs)
        keyQueries.onHostList(input.list)
        val peers = input.list.hosts
            .filter { !it.isLeaving && it.host != self.host }
            .mapTo(mutableSetOf()) { it.host }
        config.onListedPeers(peers, nowMs)
    }

    private fun onLoad(input: HostInput.LoadRead, nowMs: Long) {
        val report = input.report
        if (report.isLeaving) {
            applyMembership(membership.onEndpointLeaving(report.endpoint, nowMs), nowMs)
        }
        if (shards.onLoad(report, nowMs)) refresh(nowMs)
    }

    private fun onTick(wallNowMs: Long, nowMs: Long) {
        keyQueries.onTick(wallNowMs)
        applyMembership(membership.tick(config.state.nextOffset, nowMs), nowMs)
        originEffects.perform(origin.tick(nowMs), nowMs)
        crashes.removeExpired(nowMs).forEach {
            originEffects.perform(origin.onCrashAcknowledged(it, nowMs), nowMs)
        }
        claims.tick(wallNowMs, nowMs)
        config.tick(wallNowMs, nowMs)
        quota.tick(nowMs)
        outcomeQueries.tick(nowMs)
        shards.tick(nowMs)
        orders.tick(nowMs)
        suspects.tick(nowMs)
        quarantineHandover.tick(nowMs)
        if (nowMs - hostsPublishedAtMs >= HOSTS_INTERVAL_MS) {
            hostsPublishedAtMs = nowMs
            outbox.emit(HostEffect.PublishHosts(describeHosts()))
        }
    }

    private fun applyMembership(effects: List<MembershipEffect>, nowMs: Long) {
        for (effect in effects) {
            when (effect) {
                is MembershipEffect.SendPing -> outbox.emit(
                    HostEffect.SendPeer(
                        effect.to,
                        effect.address,
                        PeerMessage.Ping(effect.ping, config.isReady, config.isLogReadable)
                    )
                )

                is MembershipEffect.SendPingAck -> outbox.send(
                    effect.to,
                    PeerMessage.PingAck(effect.ack, config.isReady, config.isLogReadable)
                )

                is MembershipEffect.SendPingRequest ->
                    outbox.send(effect.via, PeerMessage.PingRequest(effect.target))

                is MembershipEffect.HostDied -> {
                    keyQueries.onHostDied(effect.identity.host)
                    shards.onHostDied(effect.identity.host, nowMs)
                    outbox.emit(HostEffect.ClosePeerConnections(effect.identity.host))
                }

                MembershipEffect.OwnersChanged,
                MembershipEffect.LeavingEndpointsChanged -> refresh(nowMs)
            }
        }
    }

    /**
     * Recomputes the owners of all shards after a change of members, endpoints or configuration.
     */
    private fun refresh(nowMs: Long) {
        shards.refresh(
            config.configuration,
            membership.ownerCandidates,
            membership.leavingEndpoints,
            nowMs
        )
        val leaving = membership.leavingEndpoints
        orders.refresh(config.configuration, leaving, shards::ownerOf, nowMs)
        for (shard in shards.allShards()) {
            val owner = shards.ownerOf(shard)
            if (lastOwners.put(shard, owner) != owner) {
                originEffects.perform(origin.onOwnerChanged(shard, nowMs), nowMs)
            }
        }
    }

    private fun describeHosts(): List<KnownHost> = membership.liveHosts.values.map {
        val status = config.statusOf(it.host)
        KnownHost(
            it.host,
            it.peerAddress,
            it.domain.value,
            it.host in membership.ownerCandidates,
            status?.configOffset ?: LogOffset(0),
            status?.isReady ?: false
        )
    }

    private companion object {
        /** Operators see changes of the hosts' state with up to this delay. */
        const val HOSTS_INTERVAL_MS = 500L
    }
}

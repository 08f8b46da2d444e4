package cowslipcart.core.node

import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.membership.MembershipEffect
import cowslipcart.core.membership.createMembershipView
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.ShardId
import cowslipcart.core.origin.CallerRequest
import cowslipcart.core.origin.Rejection
import cowslipcart.core.origin.createOriginController
import cowslipcart.core.quarantine.Standing
import cowslipcart.core.quarantine.createSuspectRegistry
import kotlin.random.Random

/**
 * Creates the control state of the host process [self].
 *
 * @param cacheReadBytesPerS limit for this host's reads of cache events, on average; 0 turns reads
 * off
 */
public fun createNodeController(
    self: HostIdentity,
    random: Random,
    cacheReadBytesPerS: Long = DEFAULT_CACHE_READ_BYTES_PER_S
): NodeController = DefaultNodeController(self, random, cacheReadBytesPerS)

/** Enough for all events of about 130 prompt blocks a second that are stored and evict others. */
public const val DEFAULT_CACHE_READ_BYTES_PER_S: Long = 16_384

private class DefaultNodeController(
    private val self: HostIdentity,
    random: Random,
    cacheReadBytesPerS: Long
) : NodeController {
    private val process = AttemptOrigin(self.host, self.incarnation)
    private val membership = createMembershipView(self, random)
    private val outbox = Outbox(self.host) { membership.liveHosts[it]?.peerAddress }
    private val config = ConfigSync(self.host, random, outbox)
    private val shards = ShardManager(self.host, random, outbox, cacheReadBytesPerS)
    private val claims = ClaimHandler(process, membership, outbox)
    private val crashes = CrashBroadcaster(self.host, membership, outbox)
    private val keyQueries = KeyQueryTracker(self.host, membership, outbox)
    private val quota = QuotaHandler(membership, outbox)
    private val suspects = createSuspectRegistry()
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

    override fun handle(input: NodeInput, nowMs: Long): List<NodeEffect> {
        shards.onInput(nowMs)
        config.onInput(nowMs)
        handleInput(input, nowMs)
        while (true) {
            val message = outbox.localMessages.removeFirstOrNull() ?: break
            onMessage(self.host, message, nowMs)
        }
        return outbox.takeEffects()
    }

    private fun handleInput(input: NodeInput, nowMs: Long) {
        when (input) {
            is NodeInput.Start -> onStart(input.request, nowMs)

            is NodeInput.CallerGone -> originEffects.perform(
                origin.onCallerGone(input.requestId, nowMs),
                nowMs
            )

            is NodeInput.StreamEnded ->
                originEffects.perform(origin.onStreamEnd(input.requestId, input.end, nowMs), nowMs)

            is NodeInput.StreamProgress -> input.reports.forEach { (shard, reports) ->
                outbox.send(shards.ownerOf(shard), PeerMessage.CapacityProgress(shard, reports))
            }

            is NodeInput.FromPeer -> onMessage(input.from, input.message, nowMs)

            is NodeInput.HostListRead -> onHostList(input, nowMs)

            NodeInput.HostListFailed -> config.onListedPeers(null, nowMs)

            is NodeInput.LoadRead -> onLoad(input, nowMs)

            is NodeInput.LoadFailed -> if (shards.onLoadFailed(input.endpoint)) refresh(nowMs)

            is NodeInput.CacheRead -> shards.onCacheRead(input, nowMs)

            is NodeInput.CacheReadFailed -> shards.onCacheReadFailed(input.endpoint, nowMs)

            is NodeInput.ConfigRead -> if (config.onRead(input)) refresh(nowMs)

            NodeInput.ConfigReadFailed -> config.onReadFailed()

            is NodeInput.EpochsRead -> claims.onEpochs(input.records)

            is NodeInput.Claims -> claims.onClaimsInput(input, nowMs)

            is OrderInput -> orders.onInput(input, nowMs)

            is NodeInput.FindOutcome -> outcomeQueries.onFind(input, nowMs)

            is NodeInput.Drain -> {
                applyMembership(membership.leave(nowMs), nowMs)
                originEffects.perform(origin.drain(input.limitMs, nowMs), nowMs)
            }

            is NodeInput.Tick -> onTick(input.wallNowMs, nowMs)
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
                val own = origin.standingOf(message.key, null)
                val standing = keyQueries.standingOf(message.key, own)
                outbox.send(from, PeerMessage.KeyReply(message.requestId, standing))
            }

            is PeerMessage.KeyReply ->
                keyQueries.onReply(from, message.requestId, message.standing)?.let {
                    originEffects.perform(origin.onKeyStanding(message.requestId, it, nowMs), nowMs)
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

            is PeerMessage.GiveWay -> origin.onGiveWay(message.requestId, message.grantId)

            is PeerMessage.ClaimReply ->
                origin.onClaimVerdict(message.attempt, message.verdict, nowMs)

            is PeerMessage.OutcomeReply -> {
                outcomeQueries.onReply(message.organisation, message.requestId, message.outcome)
                origin.onOutcome(message.organisation, message.requestId, message.outcome, nowMs)
            }
        }
        originEffects.perform(effects, nowMs)
    }

    private fun onStart(request: CallerRequest, nowMs: Long) {
        val standing = suspects.standing(request.fingerprint, nowMs)
        if (standing == Standing.QUARANTINED) {
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
        originEffects.perform(origin.start(request, standing == Standing.SUSPECT, nowMs), nowMs)
    }

    private fun reject(request: CallerRequest, rejection: Rejection) {
        outbox.emit(NodeEffect.Reject(request.requestId, rejection))
    }

    private fun onHostList(input: NodeInput.HostListRead, nowMs: Long) {
        applyMembership(membership.onHostList(input.list, nowMs), nowMs)
        keyQueries.onHostList(input.list)
        val peers = input.list.hosts
            .filter { !it.isLeaving && it.host != self.host }
            .mapTo(mutableSetOf()) { it.host }
        config.onListedPeers(peers, nowMs)
    }

    private fun onLoad(input: NodeInput.LoadRead, nowMs: Long) {
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
        if (nowMs - hostsPublishedAtMs >= HOSTS_INTERVAL_MS) {
            hostsPublishedAtMs = nowMs
            outbox.emit(NodeEffect.PublishHosts(describeHosts()))
        }
    }

    private fun applyMembership(effects: List<MembershipEffect>, nowMs: Long) {
        for (effect in effects) {
            when (effect) {
                is MembershipEffect.SendPing -> outbox.emit(
                    NodeEffect.SendPeer(
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
                    outbox.emit(NodeEffect.ForgetPeer(effect.identity.host))
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
            membership.owners,
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
            it.host in membership.owners,
            status?.configOffset ?: LogOffset(0),
            status?.isReady ?: false
        )
    }

    private companion object {
        /** Operators see changes of the hosts' state with up to this delay. */
        const val HOSTS_INTERVAL_MS = 500L
    }
}

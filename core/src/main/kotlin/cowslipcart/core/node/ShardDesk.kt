package cowslipcart.core.node

import cowslipcart.core.capacity.CacheEvent
import cowslipcart.core.capacity.LoadReport
import cowslipcart.core.capacity.SchedulerDecision
import cowslipcart.core.capacity.SchedulerPolicy
import cowslipcart.core.capacity.ShardConfig
import cowslipcart.core.capacity.createShardScheduler
import cowslipcart.core.membership.rendezvousOwner
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.ShardId
import kotlin.random.Random

/** Owner side of the shards that this host owns. */
internal class ShardDesk(
    private val self: HostId,
    private val random: Random,
    private val outbox: Outbox,
    cacheReadBytesPerS: Long
) {
    private val caches = CacheDesk(cacheReadBytesPerS, outbox)
    private val owned = HashMap<ShardId, OwnedShard>()
    private var configuration = Configuration.EMPTY
    private var layout = ShardLayout(Configuration.EMPTY, null)
    private var owners: Set<HostId> = emptySet()

    /** Owners that were computed for [owners]: 350 hosts and 200 shards take 70,000 hashes. */
    private val ownerByShard = HashMap<ShardId, HostId>()
    private var leaving: Set<EndpointId> = emptySet()
    private val failureCounts = HashMap<EndpointId, Int>()

    /**
     * Load reports that an endpoint has to give before it gets new work. An owner may have missed
     * the notice that it leaves: before it became the owner, or in [onPause].
     */
    private val owedReports = HashMap<EndpointId, Int>()
    private var watchedAddresses: Map<EndpointId, String> = emptyMap()
    private var lastInputMs: Long? = null

    /** Returns the host that owns [shard] now, or null if no host is live. */
    fun ownerOf(shard: ShardId): HostId? {
        ownerByShard[shard]?.let { return it }
        val owner = rendezvousOwner("shard/$shard", owners) ?: return null
        ownerByShard[shard] = owner
        return owner
    }

    /** All shards of the configuration. */
    fun allShards(): List<ShardId> = layout.shards

    /** Takes changed facts; creates and drops schedulers and reconfigures the others. */
    fun refresh(
        configuration: Configuration,
        owners: Set<HostId>,
        leaving: Set<EndpointId>,
        nowMs: Long
    ) {
        val previous = this.configuration
        this.configuration = configuration
        if (configuration.pools != previous.pools ||
            configuration.endpoints != previous.endpoints
        ) {
            layout = ShardLayout(configuration, layout)
            ownerByShard.keys.retainAll(layout.shards.toSet())
        }
        if (owners != this.owners) {
            this.owners = owners
            ownerByShard.clear()
        }
        this.leaving = leaving
        val mine = allShards().filter { ownerOf(it) == self }
        owned.keys.retainAll(mine.toSet())
        val endpoints = mine.flatMap { endpointsOf(it) }
        awaitFirstReports(endpoints)
        for (shard in mine) {
            val config = shardConfig(shard)
            val existing = owned[shard]
            if (existing == null) {
                owned[shard] = OwnedShard(
                    createShardScheduler(SchedulerPolicy.CowslipCart, config, random, true)
                )
            } else {
                decide(shard, existing.scheduler.reconfigure(config, nowMs))
            }
        }
        outbox.emit(NodeEffect.WatchEndpoints(endpoints))
        caches.watch(mine.filter(::isModel).flatMap { endpointsOf(it) }, nowMs)
    }

    /** The poll of an endpoint that was not watched starts at once. */
    private fun awaitFirstReports(endpoints: List<EndpointSpec>) {
        val addresses = endpoints.associate { it.id to it.address }
        owedReports.keys.retainAll(addresses.keys)
        for ((id, address) in addresses) {
            if (watchedAddresses[id] != address) owedReports.putIfAbsent(id, 1)
        }
        watchedAddresses = addresses
    }

    /** Notes the time of each input, so that a pause of this host is noticed. */
    fun onInput(nowMs: Long) {
        val isPause = lastInputMs?.let { nowMs - it >= PAUSE_MS } ?: false
        if (isPause) onPause(nowMs)
        lastInputMs = nowMs
    }

    /**
     * While this host was paused an endpoint can have left, so none gets new work before it is
     * known again. Its first report may have been under way before the pause, the second was not.
     */
    private fun onPause(nowMs: Long) {
        for (shard in owned.keys) {
            endpointsOf(shard).forEach { owedReports[it.id] = REPORTS_AFTER_PAUSE }
            reconfigure(shard, nowMs)
        }
    }

    private fun reconfigure(shard: ShardId, nowMs: Long) = withShard(shard) {
        it.scheduler.reconfigure(shardConfig(shard), nowMs)
    }

    /** Handles a message to the owner of a shard; it is ignored if another host owns it. */
    fun onMessage(message: PeerMessage.ToShardOwner, nowMs: Long) {
        when (message) {
            is PeerMessage.AskCapacity -> onAsk(message, nowMs)

            is PeerMessage.CancelAsk ->
                withShard(message.shard) { it.onCancel(message.requestId, nowMs) }

            is PeerMessage.CapacityReleased ->
                withShard(message.shard) { it.onReleased(message, nowMs) }

            is PeerMessage.CapacityProgress ->
                withShard(message.shard) { it.scheduler.progress(message.reports, nowMs) }

            is PeerMessage.GaveWay ->
                withShard(message.shard) { it.onGaveWay(message, nowMs) }

            is PeerMessage.RunningReport ->
                withShard(message.shard) { it.onRunning(message.running, nowMs) }
        }
    }

    fun onHostDied(host: HostId, nowMs: Long) {
        for ((shard, state) in owned) decide(shard, state.onHostDied(host, nowMs))
    }

    /** Takes a load report; returns whether an endpoint that was taken as dead is back. */
    fun onLoad(report: LoadReport, nowMs: Long): Boolean {
        val wasDead = isDead(report.endpoint)
        failureCounts.remove(report.endpoint)
        val owedCount = owedReports.remove(report.endpoint) ?: 0
        if (owedCount > 1) owedReports[report.endpoint] = owedCount - 1
        val shard = shardOf(report.endpoint) ?: return wasDead
        withShard(shard) { it.scheduler.reportLoad(report, nowMs) }
        if (owedCount == 1) reconfigure(shard, nowMs)
        return wasDead
    }

    /** Counts a missing load report; returns whether the endpoint is taken as dead from now on. */
    fun onLoadFailed(endpoint: EndpointId): Boolean {
        val count = failureCounts.merge(endpoint, 1, Int::plus)
        return count == MAX_LOAD_FAILURES
    }

    fun onCacheRead(page: NodeInput.CacheRead, nowMs: Long) {
        val endpoint = page.endpoint
        val reading = caches.onRead(page, nowMs) ?: return
        val scheduler = shardOf(endpoint)?.let { owned[it] }?.scheduler ?: return
        val events = reading.events.map { CacheEvent(endpoint, it.block, it.isStored) }
        scheduler.reportCache(events, nowMs)
        reading.gap?.let {
            scheduler.reportCacheGap(endpoint, it, nowMs)
            outbox.emit(NodeEffect.ReportCacheGap(endpoint, it))
        }
    }

    fun onCacheReadFailed(endpoint: EndpointId, nowMs: Long) = caches.onReadFailed(endpoint, nowMs)

    fun tick(nowMs: Long) {
        for ((shard, state) in owned) decide(shard, state.scheduler.tick(nowMs))
        caches.tick(nowMs)
    }

    private fun onAsk(message: PeerMessage.AskCapacity, nowMs: Long) {
        val state = owned[message.shard] ?: return
        val reaction =
            state.onAsk(message, { isUnavailable(it) || it in owedReports }, nowMs)
        decide(message.shard, reaction.decisions)
        reaction.repeatedGrant?.let { outbox.send(message.request.origin, it) }
    }

    private fun withShard(shard: ShardId, action: (OwnedShard) -> List<SchedulerDecision>) {
        val state = owned[shard] ?: return
        decide(shard, action(state))
    }

    private fun decide(shard: ShardId, decisions: List<SchedulerDecision>) {
        for (decision in decisions) {
            log(shard, decision)
            send(shard, decision)
        }
    }

    private fun send(shard: ShardId, decision: SchedulerDecision) {
        val requestId = decision.request.requestId
        val askCount = owned[shard]?.onDecision(decision) ?: return
        val message = when (decision) {
            is SchedulerDecision.Grant -> PeerMessage.CapacityGranted(
                shard,
                requestId,
                decision.grantId,
                decision.endpoint,
                askCount
            )

            is SchedulerDecision.Refuse -> PeerMessage.CapacityRefused(
                shard,
                requestId,
                decision.reason,
                decision.retryAfterMs
            )

            is SchedulerDecision.GiveWay ->
                PeerMessage.GiveWay(shard, requestId, decision.grantId)
        }
        outbox.send(decision.request.origin, message)
    }

    private fun log(shard: ShardId, decision: SchedulerDecision) {
        val request = decision.request
        val (candidates, choice, reason) = when (decision) {
            is SchedulerDecision.Grant ->
                Triple(decision.candidates, "grant ${decision.endpoint}", decision.reason)

            is SchedulerDecision.Refuse ->
                Triple(emptyList(), "refuse", decision.reason.name.lowercase())

            is SchedulerDecision.GiveWay ->
                Triple(listOf(decision.endpoint), "give way", "more urgent work waits")
        }
        val line = DecisionLine(
            request.requestId,
            request.organisation,
            request.tier,
            shard,
            candidates,
            choice,
            reason,
            configuration.revision
        )
        outbox.emit(NodeEffect.LogDecision(line))
    }

    private fun shardConfig(shard: ShardId): ShardConfig {
        val endpoints = endpointsOf(shard)
        return ShardConfig(
            shard = shard,
            endpoints = endpoints,
            unavailable = endpoints.map { it.id }.filterTo(mutableSetOf()) { isUnavailable(it) },
            tiers = configuration.tiers,
            preset = configuration.preset,
            weights = configuration.organisationWeights,
            unreported = endpoints.map { it.id }.filterTo(mutableSetOf()) { it in owedReports }
        )
    }

    private fun endpointsOf(shard: ShardId): List<EndpointSpec> =
        layout.endpointsByShard[shard].orEmpty()

    /** Plain services have no prefix cache. */
    private fun isModel(shard: ShardId): Boolean =
        configuration.pools[shard.pool]?.kind is PoolKind.Model

    private fun shardOf(endpoint: EndpointId): ShardId? = layout.shardByEndpoint[endpoint]

    private fun isUnavailable(endpoint: EndpointId): Boolean =
        endpoint in leaving || endpoint in configuration.drainedEndpoints || isDead(endpoint)

    private fun isDead(endpoint: EndpointId): Boolean =
        (failureCounts[endpoint] ?: 0) >= MAX_LOAD_FAILURES

    private companion object {
        /** Load polls in a row without answer after which an endpoint gets no new work. */
        const val MAX_LOAD_FAILURES = 2
        const val REPORTS_AFTER_PAUSE = 2

        /**
         * Longest time without input that is no pause; ticks come every 20 ms. An endpoint's notice
         * is known within 0.5 s by the polls and a grant is used within 1.5 s, which with this
         * leaves 0.5 s of the 3 s.
         */
        const val PAUSE_MS = 500L
    }
}

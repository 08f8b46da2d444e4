package cowslipcart.core.host

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

/** Runs the schedulers of the shards that this host owns and answers their origins. */
internal class ShardManager(
    private val self: HostId,
    private val random: Random,
    private val outbox: Outbox,
    cacheReadBytesPerS: Long
) {
    private val cachePoller = CacheEventPoller(cacheReadBytesPerS, outbox)
    private val owned = HashMap<ShardId, OwnedShard>()
    private var configuration = Configuration.EMPTY
    private var layout = ShardLayout(Configuration.EMPTY, null)
    private var owners: Set<HostId> = emptySet()

    /**
     * Cache of computed owners, valid for [owners]: 350 hosts and 200 shards take 70,000 hashes.
     */
    private val ownerByShard = HashMap<ShardId, HostId>()
    private var leaving: Set<EndpointId> = emptySet()
    private val failureCounts = HashMap<EndpointId, Int>()

    /**
     * Number of load reports that an endpoint still has to send before it gets new work. This host
     * may have missed the notice that the endpoint leaves: before it became the owner, or while it
     * was paused (see [onPause]).
     */
    private val awaitedReports = HashMap<EndpointId, Int>()
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

    /**
     * Applies a change of configuration, owners or leaving endpoints: creates schedulers for new
     * shards, drops those of lost ones and reconfigures the others.
     */
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
        val ownShards = allShards().filter { ownerOf(it) == self }
        owned.keys.retainAll(ownShards.toSet())
        val endpoints = ownShards.flatMap { endpointsOf(it) }
        awaitFirstReports(endpoints)
        for (shard in ownShards) {
            val config = shardConfig(shard)
            val existing = owned[shard]
            if (existing == null) {
                owned[shard] = OwnedShard(
                    createShardScheduler(SchedulerPolicy.CowslipCart, config, random, true)
                )
            } else {
                perform(shard, existing.scheduler.reconfigure(config, nowMs))
            }
        }
        outbox.emit(HostEffect.PollLoad(endpoints))
        cachePoller.watch(ownShards.filter(::isModel).flatMap { endpointsOf(it) }, nowMs)
    }

    /**
     * Requires one load report of each endpoint that is new or has a new address. The wait is
     * short, as the poll of such an endpoint starts at once.
     */
    private fun awaitFirstReports(endpoints: List<EndpointSpec>) {
        val addresses = endpoints.associate { it.id to it.address }
        awaitedReports.keys.retainAll(addresses.keys)
        for ((id, address) in addresses) {
            if (watchedAddresses[id] != address) awaitedReports.putIfAbsent(id, 1)
        }
        watchedAddresses = addresses
    }

    /** Records the time of each input to detect pauses of this host. */
    fun onInput(nowMs: Long) {
        val wasPaused = lastInputMs?.let { nowMs - it >= PAUSE_MS } ?: false
        if (wasPaused) onPause(nowMs)
        lastInputMs = nowMs
    }

    /**
     * Withholds new work from all endpoints until they have reported again, as one may have left
     * during the pause. Two reports are required: the first may have been sent before the pause.
     */
    private fun onPause(nowMs: Long) {
        for (shard in owned.keys) {
            endpointsOf(shard).forEach { awaitedReports[it.id] = REPORTS_AFTER_PAUSE }
            reconfigure(shard, nowMs)
        }
    }

    private fun reconfigure(shard: ShardId, nowMs: Long) = withShard(shard) {
        it.scheduler.reconfigure(shardConfig(shard), nowMs)
    }

    /** Handles a message to the owner of a shard; ignored if this host does not own the shard. */
    fun onMessage(message: PeerMessage.ToShardOwner, nowMs: Long) {
        when (message) {
            is PeerMessage.AskCapacity -> onAsk(message, nowMs)

            is PeerMessage.CancelAsk ->
                withShard(message.shard) { it.onCancel(message.requestId, nowMs) }

            is PeerMessage.CapacityReleased ->
                withShard(message.shard) { it.onReleased(message, nowMs) }

            is PeerMessage.CapacityProgress ->
                withShard(message.shard) { it.scheduler.applyProgress(message.reports, nowMs) }

            is PeerMessage.GaveWay ->
                withShard(message.shard) { it.onPreempted(message, nowMs) }

            is PeerMessage.RunningReport ->
                withShard(message.shard) { it.onRunning(message.running, nowMs) }
        }
    }

    fun onHostDied(host: HostId, nowMs: Long) {
        for ((shard, ownedShard) in owned) perform(shard, ownedShard.onHostDied(host, nowMs))
    }

    /** Takes a load report; returns whether the endpoint was considered dead until now. */
    fun onLoad(report: LoadReport, nowMs: Long): Boolean {
        val wasDead = isDead(report.endpoint)
        failureCounts.remove(report.endpoint)
        val awaitedCount = awaitedReports.remove(report.endpoint) ?: 0
        if (awaitedCount > 1) awaitedReports[report.endpoint] = awaitedCount - 1
        val shard = shardOf(report.endpoint) ?: return wasDead
        withShard(shard) { it.scheduler.applyLoadReport(report, nowMs) }
        if (awaitedCount == 1) reconfigure(shard, nowMs)
        return wasDead
    }

    /** Counts a failed load poll; returns whether the endpoint is considered dead from now on. */
    fun onLoadFailed(endpoint: EndpointId): Boolean {
        val count = failureCounts.merge(endpoint, 1, Int::plus)
        return count == MAX_LOAD_FAILURES
    }

    /** Passes the events of a page, and a gap in front of them, to the scheduler. */
    fun onCacheRead(page: HostInput.CacheRead, nowMs: Long) {
        val endpoint = page.endpoint
        val reading = cachePoller.onRead(page, nowMs) ?: return
        val scheduler = shardOf(endpoint)?.let { owned[it] }?.scheduler ?: return
        val events = reading.events.map { CacheEvent(endpoint, it.block, it.isStored) }
        scheduler.applyCacheEvents(events, nowMs)
        reading.gap?.let {
            scheduler.applyCacheGap(endpoint, it, nowMs)
            outbox.emit(HostEffect.ReportCacheGap(endpoint, it))
        }
    }

    fun onCacheReadFailed(endpoint: EndpointId, nowMs: Long) =
        cachePoller.onReadFailed(endpoint, nowMs)

    fun tick(nowMs: Long) {
        for ((shard, ownedShard) in owned) perform(shard, ownedShard.scheduler.tick(nowMs))
        cachePoller.tick(nowMs)
    }

    private fun onAsk(message: PeerMessage.AskCapacity, nowMs: Long) {
        val ownedShard = owned[message.shard] ?: return
        val result =
            ownedShard.onAsk(message, { isUnavailable(it) || it in awaitedReports }, nowMs)
        perform(message.shard, result.decisions)
        result.repeatedGrant?.let { outbox.send(message.request.origin, it) }
    }

    /** Performs the decisions that [action] returns; does nothing if [shard] is not owned here. */
    private fun withShard(shard: ShardId, action: (OwnedShard) -> List<SchedulerDecision>) {
        val ownedShard = owned[shard] ?: return
        perform(shard, action(ownedShard))
    }

    /** Logs the decisions and sends them to the origins. */
    private fun perform(shard: ShardId, decisions: List<SchedulerDecision>) {
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

            is SchedulerDecision.Preempt ->
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

            is SchedulerDecision.Preempt ->
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
        outbox.emit(HostEffect.LogDecision(line))
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
            awaitingReport = endpoints.map {
                it.id
            }.filterTo(mutableSetOf()) { it in awaitedReports }
        )
    }

    private fun endpointsOf(shard: ShardId): List<EndpointSpec> =
        layout.endpointsByShard[shard].orEmpty()

    /** Only endpoints of model pools have a prefix cache; plain services have none. */
    private fun isModel(shard: ShardId): Boolean =
        configuration.pools[shard.pool]?.kind is PoolKind.Model

    private fun shardOf(endpoint: EndpointId): ShardId? = layout.shardByEndpoint[endpoint]

    private fun isUnavailable(endpoint: EndpointId): Boolean =
        endpoint in leaving || endpoint in configuration.drainedEndpoints || isDead(endpoint)

    private fun isDead(endpoint: EndpointId): Boolean =
        (failureCounts[endpoint] ?: 0) >= MAX_LOAD_FAILURES

    private companion object {
        /** Failed load polls in a row after which an endpoint is considered dead. */
        const val MAX_LOAD_FAILURES = 2
        const val REPORTS_AFTER_PAUSE = 2

        /**
         * Time without input that counts as a pause; ticks come every 20 ms. New work has to stop
         * within 3 s of an endpoint's notice. Polls see the notice within 0.5 s and a grant is used
         * within 1.5 s, so with a pause just below this limit 0.5 s remain.
         */
        const val PAUSE_MS = 500L
    }
}

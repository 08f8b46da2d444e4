package cowslipcart.core.host

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.ShardId
import cowslipcart.core.orders.ManagedPool
import cowslipcart.core.orders.OrderDecision
import cowslipcart.core.orders.OrderPlanner
import cowslipcart.core.orders.OwnerTerm
import cowslipcart.core.orders.createOrderPlanner
import cowslipcart.core.orders.createOwnerReplica
import kotlin.random.Random

/**
 * Issues orders, which bring endpoints to their desired state, for the pools whose first shard this
 * host owns. One host issues all orders of a pool, because two limits apply to the pool as a whole:
 * one order at a time, and none that stops the last serving endpoint.
 */
internal class OrderIssuer(
    private val process: ProcessId,
    private val random: Random,
    private val outbox: Outbox
) {
    private class OwnedPool(val term: OwnerTerm, val planner: OrderPlanner)

    private val ownerReplica = createOwnerReplica()
    private val owned = HashMap<ShardId, OwnedPool>()
    private var configuration = Configuration.EMPTY
    private var watchedEndpoints = emptyList<EndpointSpec>()
    private var isReading = false
    private var nextPlanAtMs = Long.MIN_VALUE

    /**
     * Applies a change of configuration, leaving endpoints or shard owners. Pools that another host
     * owns or that declare no desired state are dropped.
     */
    fun refresh(
        configuration: Configuration,
        leaving: Set<EndpointId>,
        ownerOf: (ShardId) -> HostId?,
        nowMs: Long
    ) {
        this.configuration = configuration
        val pools = configuration.pools.values
            .mapNotNull { orderedPoolOf(it, leaving) }
            .filter { (shard, _) -> ownerOf(shard) == process.host }
            .toMap()
        owned.keys.retainAll(pools.keys)
        for ((shard, pool) in pools) {
            owned.getOrPut(shard) {
                OwnedPool(
                    OwnerTerm(shard, process, ownerReplica, random, nowMs),
                    createOrderPlanner(pool, random, nowMs)
                )
            }.planner.configure(pool)
        }
        val endpoints = pools.values.flatMap { it.endpoints }
        if (endpoints != watchedEndpoints) {
            watchedEndpoints = endpoints
            outbox.emit(OrderEffect.PollDeployments(endpoints))
        }
    }

    fun onInput(input: OrderInput, nowMs: Long) {
        when (input) {
            is OrderInput.OwnersRead -> {
                isReading = false
                input.entries.forEach { (offset, entry) -> ownerReplica.apply(offset, entry) }
                ownerReplica.skipTo(input.nextOffset)
            }

            OrderInput.OwnersReadFailed -> isReading = false

            is OrderInput.TakeOverAppended -> owned[input.shard]?.term?.onAppended(input.offset)

            is OrderInput.TakeOverFailed -> owned[input.shard]?.term?.onAppendFailed(nowMs)

            is OrderInput.DeploymentRead -> {
                val pool = configuration.findEndpoint(input.endpoint)?.pool ?: return
                owned[firstShardOf(pool)]?.planner
                    ?.onStateReported(input.endpoint, input.deployed, nowMs)
            }

            is OrderInput.OrderEnded -> owned[input.shard]?.let {
                perform(input.shard, it.planner.onResult(input.order, input.result, nowMs))
            }
        }
    }

    /** Reads the stream `owners` and plans orders, once per [PLAN_INTERVAL_MS]. */
    fun tick(nowMs: Long) {
        if (owned.isEmpty() || nowMs < nextPlanAtMs) return
        nextPlanAtMs = nowMs + PLAN_INTERVAL_MS
        if (!isReading) {
            isReading = true
            outbox.emit(OrderEffect.ReadOwners(ownerReplica.nextOffset))
        }
        for ((shard, pool) in owned) {
            pool.term.tick(nowMs)?.let { outbox.emit(OrderEffect.AppendTakeOver(it)) }
            perform(shard, pool.planner.plan(pool.term.ownerOffset, nowMs))
        }
    }

    /** Returns [pool] as the planner needs it; null if no order can be due. */
    private fun orderedPoolOf(
        pool: PoolSpec,
        leaving: Set<EndpointId>
    ): Pair<ShardId, ManagedPool>? {
        val kind = pool.kind as? PoolKind.Model ?: return null
        val endpoints = configuration.endpoints.filter { it.pool == pool.id }
        if (endpoints.all { it.desired == null }) return null
        return firstShardOf(pool.id) to ManagedPool(
            kind.model,
            endpoints,
            leaving,
            configuration.drainedEndpoints,
            pool.ordersPerMinute,
            configuration.revision
        )
    }

    private fun perform(shard: ShardId, decisions: List<OrderDecision>) {
        for (decision in decisions) {
            outbox.emit(OrderEffect.LogOrder(logLineOf(shard, decision)))
            if (decision !is OrderDecision.Issue) continue
            val endpoint = configuration.findEndpoint(decision.endpoint) ?: continue
            outbox.emit(OrderEffect.SendOrder(shard, endpoint, decision.order))
        }
    }

    private fun logLineOf(shard: ShardId, decision: OrderDecision): OrderLine {
        val (choice, reason, order) = when (decision) {
            is OrderDecision.Issue ->
                Triple("order", decision.order.steps.joinToString(), decision.order)

            is OrderDecision.Applied -> Triple("applied", "the state is reported", decision.order)

            is OrderDecision.Failed -> Triple(
                "failed",
                "${decision.detail}; next order after ${decision.retryAfterMs} ms or later",
                decision.order
            )

            is OrderDecision.Held -> Triple("held", "no other endpoint of the pool serves", null)
        }
        return OrderLine(
            shard,
            decision.endpoint,
            choice,
            reason,
            order?.fencing,
            order?.fencing?.revision ?: configuration.revision
        )
    }

    private companion object {
        /** A record of another owner in the stream stops this process after about this time. */
        const val PLAN_INTERVAL_MS = 1_000L

        fun firstShardOf(pool: PoolId) = ShardId(pool, 0)
    }
}

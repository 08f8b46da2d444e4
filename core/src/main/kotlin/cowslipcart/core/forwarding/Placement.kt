package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import kotlin.math.ln
import kotlin.random.Random

/** Result of the choice of an endpoint for one request. */
internal sealed interface PlacementResult {
    /** [firstTokenMs] is the expected time to first token, queue included. */
    data class Found(
        val endpoint: TrackedEndpoint,
        val prefillTokens: Int,
        val firstTokenMs: Double
    ) : PlacementResult

    /** No endpoint has a slot for a request of this rank and size, or all would be too late. */
    data object Full : PlacementResult

    /** All endpoints that were not tried want no requests before [untilMs]. */
    data class BackingOff(val untilMs: Long) : PlacementResult

    /** The pool has no endpoint in service that was not tried. */
    data object None : PlacementResult
}

/**
 * Chooses the endpoint with the lowest cost for a request: the prefill queue, the part of the
 * request's own prompt that the engine has not cached, and penalties for contention, distance,
 * expected failures and a missed deadline. Endpoints that are avoided are used only if all are.
 *
 * Load pattern: a burst of long prompts on engines that differ several times in speed.
 */
internal class Placement(
    private val cacheIndex: PrefixCacheIndex,
    private val ownDomain: String,
    private val random: Random
) {
    /**
     * Returns the best of [endpoints] for [call], leaving out those in [tried]. If [ownSlots] are
     * given, which are those of this host, endpoints may decline few requests.
     */
    fun choose(
        call: ForwardedCall,
        endpoints: Collection<TrackedEndpoint>,
        tried: Set<EndpointId>,
        topology: ReportTopology,
        nowMs: Long,
        ownSlots: Map<EndpointId, Int>? = null
    ): PlacementResult {
        val pool = viewOf(endpoints, topology, nowMs)
        val untried = pool.inService.filter { it.entry.id !in tried }
        if (untried.isEmpty()) return PlacementResult.None
        if (untried.all { it.isBackingOff(nowMs) }) {
            return PlacementResult.BackingOff(untried.minOf { it.backoffUntilMs })
        }
        if (pool.freeShare < AdmissionRule.reservedShare(call)) return PlacementResult.Full
        val usable = untried.filter { !it.isBackingOff(nowMs) }
        val healthy = usable.filter { !it.isAvoided(nowMs) }.ifEmpty { usable }
        val available = when (ownSlots) {
            null -> healthy.filter { it.freeSlots > -AdmissionRule.queueLimit(call.rankInPool) }
            else -> DeclineLimits.withRoom(healthy, ownSlots, pool.freeShare)
        }
        val best = candidates(call, available, pool)
            .minByOrNull { costMs(call, it, nowMs) + groupCostMs(it, pool) }
            ?: return PlacementResult.Full
        val prefillTokens = prefillTokens(call, best, nowMs)
        val queueMs = prefillMs(best, best.total.pendingPrefillTokens, nowMs)
        val ownMs = prefillMs(best, prefillTokens.toLong(), nowMs)
        if (AdmissionRule.isTooLate(call, queueMs, ownMs, nowMs)) return PlacementResult.Full
        return PlacementResult.Found(best, prefillTokens, queueMs + ownMs)
    }

    private var lastView: PoolView? = null

    /** Loads have changed since the last choice. */
    fun onLoadsChanged() {
        lastView = null
    }

    private fun viewOf(
        endpoints: Collection<TrackedEndpoint>,
        topology: ReportTopology,
        nowMs: Long
    ): PoolView {
        lastView?.let { if (it.isOf(endpoints, topology, nowMs)) return it }
        return PoolView(endpoints, topology, nowMs).also { lastView = it }
    }

    /** Time that [endpoint] takes to prefill [tokens] of a short prompt. */
    private fun prefillMs(endpoint: TrackedEndpoint, tokens: Long, nowMs: Long): Double =
        tokens / endpoint.speed.prefillTokensPerMs * endpoint.speed.firstTokenFactor *
            endpoint.interference.factor(nowMs)

    /** Prefill work of [call] at [endpoint], in tokens of a short prompt. */
    private fun prefillTokens(call: ForwardedCall, endpoint: TrackedEndpoint, nowMs: Long): Int {
        if (call.prompt.isEmpty()) return PrefillCost.ofTokens(call.inputTokens)
        return PrefillCost.ofTokens(
            cacheIndex.uncachedTokens(call.prompt, endpoint.entry.id, nowMs)
        )
    }

    /**
     * With hosts in several groups, returns the endpoints of this group and a few others at random:
     * the known load of the others is out of date, so all hosts would choose the same one.
     */
    private fun candidates(
        call: ForwardedCall,
        available: List<TrackedEndpoint>,
        pool: PoolView
    ): List<TrackedEndpoint> {
        if (!pool.topology.isDivided) return available
        if (call.inputTokens == 0) return listOfNotNull(pickByFreeSlots(available))
        val (own, others) = available.partition { it in pool.assigned }
        return own + others.shuffled(random).take(OTHER_CANDIDATES)
    }

    /** Picks one of [available] at random, weighted by its free slots. */
    private fun pickByFreeSlots(available: List<TrackedEndpoint>): TrackedEndpoint? {
        val weights = available.map { 1L + it.freeSlots.coerceAtLeast(0) }
        var position = if (weights.isEmpty()) 0 else random.nextLong(weights.sum())
        return available.withIndex().firstOrNull { (index, _) ->
            position -= weights[index]
            position < 0
        }?.value
    }

    /**
     * Cost of [endpoint] that depends on the groups of hosts, in ms: a penalty if it is assigned to
     * another group, and a random part. The hosts of a group decide on the same reports, so that
     * without the random part all would choose the same endpoint until the next ones.
     */
    private fun groupCostMs(endpoint: TrackedEndpoint, pool: PoolView): Double {
        if (!pool.topology.isDivided) return 0.0
        val otherMs = if (endpoint in pool.assigned) 0.0 else OTHER_GROUP_MS
        return otherMs - MEAN_RANDOM_COST_MS * ln(1 - random.nextDouble())
    }

    /** Expected time until [endpoint] has a free slot for another request, in ms. */
    private fun slotWaitMs(endpoint: TrackedEndpoint): Double =
        SLOT_WAIT_MS * (1 - endpoint.freeSlots).coerceAtLeast(0) / endpoint.speed.relative

    /**
     * Penalty for an answer that may not end before its deadline, in ms. The longest answers may
     * miss it at any endpoint, and still go to one where that is less likely.
     */
    private fun missedDeadlineMs(
        call: ForwardedCall,
        endpoint: TrackedEndpoint,
        nowMs: Long
    ): Double {
        val decodeMs = call.expectedOutputTokens * endpoint.speed.msPerToken
        val remainingMs = call.deadlineAtMs - nowMs
        return MISSED_DEADLINE_MS * DECODE_FACTORS.count { decodeMs * it > remainingMs }
    }

    private fun costMs(call: ForwardedCall, endpoint: TrackedEndpoint, nowMs: Long): Double {
        val occupancy = endpoint.total.running.toDouble() / endpoint.entry.slotCount
        val contentionMs = CONTENTION_MS * occupancy * occupancy / endpoint.speed.relative
        val distanceMs = if (endpoint.entry.domain == ownDomain) 0.0 else OTHER_DOMAIN_MS
        val pendingTokens =
            endpoint.total.pendingPrefillTokens + prefillTokens(call, endpoint, nowMs)
        return prefillMs(endpoint, pendingTokens, nowMs) + contentionMs + distanceMs +
            slotWaitMs(endpoint) + missedDeadlineMs(call, endpoint, nowMs) +
            FAILURE_COST_MS * endpoint.health.expectedFailureRate
    }

    private companion object {
        /** Extra time that a request takes on a full endpoint, in ms. */
        const val CONTENTION_MS = 120.0

        /**
         * About the prefill of a long prompt, the usual difference between two endpoints, in ms.
         */
        const val MEAN_RANDOM_COST_MS = 40.0

        /** Interval between two ends of requests on a full reference engine, in ms. */
        const val SLOT_WAIT_MS = 100.0

        /** With two, it is rare that both are overloaded. */
        const val OTHER_CANDIDATES = 2

        /** Load of other groups is known 0.6 s late, in which a few more prompts arrive, in ms. */
        const val OTHER_GROUP_MS = 40.0

        /**
         * Output estimates are off by a factor of two, and each prefill pauses all streams. Beyond
         * the first factor an answer may miss its deadline, beyond the second it most likely does.
         */
        val DECODE_FACTORS = listOf(3.0, 1.5)

        /** Far above the usual costs of some tens of ms, so that nearly any other endpoint wins. */
        const val MISSED_DEADLINE_MS = 500.0

        /** Two crossings of about a ms each; traffic between failure domains is charged as well. */
        const val OTHER_DOMAIN_MS = 4.0

        /** Cost of a request that fails for certain, in ms. */
        const val FAILURE_COST_MS = 2_000.0
    }
}

/**
 * What all requests that wait for one of [endpoints] at the same moment have in common. Computed
 * once for all of them, as a pool has a hundred endpoints and an overloaded host places each
 * waiting request again at each change.
 */
private class PoolView(
    private val endpoints: Collection<TrackedEndpoint>,
    val topology: ReportTopology,
    private val nowMs: Long
) {
    val inService = endpoints.filter { it.isInService }
    val freeShare = freeShare(endpoints, nowMs)

    /** Endpoints that are assigned to the group of this host. */
    val assigned: Set<TrackedEndpoint> by lazy {
        inService.filterTo(HashSet()) { topology.isAssigned(it.entry.id, it.entry.domain) }
    }

    fun isOf(
        endpoints: Collection<TrackedEndpoint>,
        topology: ReportTopology,
        nowMs: Long
    ): Boolean = endpoints === this.endpoints && topology === this.topology && nowMs == this.nowMs
}

/**
 * Share of the slots of [endpoints] that are free, of those that take work; 0 without slots. The
 * slots of endpoints that are avoided don't count unless all are: an endpoint that has crashed runs
 * nothing, so that all its slots look free.
 */
internal fun freeShare(endpoints: Collection<TrackedEndpoint>, nowMs: Long): Double {
    val working = endpoints.filter { it.isInService && !it.isBackingOff(nowMs) }
    val healthy = working.filter { !it.isAvoided(nowMs) }.ifEmpty { working }
    val slots = healthy.sumOf { it.entry.slotCount.toLong() }
    val free = healthy.sumOf { it.freeSlots.coerceAtLeast(0).toLong() }
    return if (slots == 0L) 0.0 else free.toDouble() / slots
}

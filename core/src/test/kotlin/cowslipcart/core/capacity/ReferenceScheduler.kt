package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import kotlin.math.ceil
import kotlin.math.max

/**
 * Reference implementation of queue order, placement, reserved slots, deadline checks and prefix
 * index, without learned speeds, preemption and isolation. It searches lists and keeps no totals,
 * so that an error in the data structures of the main policy shows as a different decision.
 */
internal class ReferenceScheduler(private val config: ShardConfig, private val targetMs: Long) {
    private class Waiting(
        val request: CapacityRequest,
        val number: Int,
        nowMs: Long,
        targetMs: Long
    ) {
        val deadlineMs = request.timeLeftMs?.let { nowMs + it } ?: Long.MAX_VALUE
        val dueMs = nowMs + targetMs
        var nextCheckMs = Long.MAX_VALUE
        var skipUntilMs = Long.MAX_VALUE
        var isLate = false
        var parkedOn: EndpointSpec? = null
        var parkedUntilMs = 0L
        val reservedTokens get() = request.prefillTokens.toLong() + request.outputTokens
    }

    private class Running(val request: CapacityRequest, val endpoint: EndpointId, val uncached: Int)

    private class Flow(val number: Int, var startTag: Double = 0.0)

    private val waiting = ArrayList<Waiting>()
    private val running = ArrayList<Running>()
    private val flows = HashMap<Pair<Tier, OrganisationId>, Flow>()
    private val virtualTimes = HashMap<Tier, Double>()
    private val cached = config.endpoints.associate { it.id to ArrayList<PrefixBlock>() }
    private val busyUntilMs = config.endpoints.associate { it.id to 0.0 }.toMutableMap()
    private val slotDueMs = config.endpoints.associate { it.id to 0.0 }.toMutableMap()
    private var number = 0

    fun submit(request: CapacityRequest, nowMs: Long): List<String> {
        val work = Waiting(request, number++, nowMs, targetMs)
        if (!canFinish(work, nowMs)) return listOf("refuse ${request.requestId}") + dispatch(nowMs)
        val key = request.tier to request.organisation
        val flow = flows.getOrPut(key) { Flow(flows.keys.count { it.first == request.tier }) }
        val others = waiting.filter { it.request.tier to it.request.organisation == key }
        if (others.all { it.parkedOn != null }) {
            flow.startTag = max(flow.startTag, virtualTimes[request.tier] ?: 0.0)
        }
        waiting += work
        return dispatch(nowMs)
    }

    fun cancel(id: RequestId, nowMs: Long): List<String> {
        waiting.removeIf { it.request.requestId == id }
        return dispatch(nowMs)
    }

    fun release(id: RequestId, isUsed: Boolean, nowMs: Long): List<String> {
        val ended = running.single { it.request.requestId == id }
        running -= ended
        val spec = config.endpoints.single { it.id == ended.endpoint }
        slotDueMs[spec.id] = nowMs + slotWaitMs(spec) * 4
        if (!isUsed) {
            busyUntilMs.merge(
                spec.id,
                -(ended.uncached * 1_000.0 / spec.prefillTokensPerS),
                Double::plus
            )
            val known = (ended.request.prefillTokens - ended.uncached) / 64
            cached.getValue(spec.id) -= ended.request.prefixBlocks.drop(known).toSet()
        }
        return dispatch(nowMs)
    }

    fun dispatch(nowMs: Long): List<String> {
        val out = ArrayList<String>()
        for (work in waiting.filter { it.nextCheckMs <= nowMs }.sortedBy { it.nextCheckMs }) {
            if (work !in waiting || canFinish(work, nowMs)) continue
            val lower = waiting.filter { it.request.tier > work.request.tier }
            for (refused in lower + work) out += "refuse ${refused.request.requestId}"
            waiting -= (lower + work).toSet()
        }
        val earmarked = HashSet<EndpointId>()
        for (tier in waiting.map { it.request.tier }.distinct().sorted()) {
            val deferred = HashSet<Waiting>()
            val hasLower = waiting.any { it.request.tier > tier } ||
                running.any { it.request.tier > tier }
            waiting.filter { it.request.tier == tier }.forEach { unpark(it, earmarked, nowMs) }
            while (config.endpoints.any { isOpen(it, tier, earmarked) }) {
                val work = next(tier, deferred, hasLower, nowMs) ?: break
                val (spec, canStart) = choose(work, earmarked, nowMs) ?: (null to false)
                when {
                    spec != null && canStart -> out += start(work, spec, nowMs)
                    work.parkedOn != null -> Unit
                    else -> deferred += work
                }
                if (spec != null && !canStart && work.parkedOn == null) earmarked += spec.id
            }
        }
        return out
    }

    private fun next(tier: Tier, deferred: Set<Waiting>, hasLower: Boolean, nowMs: Long): Waiting? {
        val inOrganisation = compareBy<Waiting>({ it.isLate }, { it.deadlineMs }, { it.number })
        val heads = waiting.filter {
            it.request.tier == tier && it !in deferred &&
                it.parkedOn == null
        }
            .groupBy { it.request.organisation }.values.map { it.sortedWith(inOrganisation) }
        val chosen = heads.minWithOrNull(
            compareBy({ flowOf(it[0]).startTag }, { it[0].deadlineMs }, { flowOf(it[0]).number })
        ) ?: return null
        val soon = chosen.firstOrNull { it.isLate }?.takeIf { it.nextCheckMs - nowMs < 16_000 }
        if (hasLower && soon != null) return soon
        for (work in chosen) {
            if (work.isLate || work.dueMs > nowMs) break
            work.isLate = true
        }
        return chosen.sortedWith(inOrganisation)[0]
    }

    private fun flowOf(work: Waiting) =
        flows.getValue(work.request.tier to work.request.organisation)

    private fun start(work: Waiting, spec: EndpointSpec, nowMs: Long): String {
        val flow = flowOf(work)
        virtualTimes.merge(work.request.tier, flow.startTag, ::maxOf)
        flow.startTag += work.reservedTokens / (config.weights[work.request.organisation] ?: 1.0)
        waiting -= work
        val uncached = uncached(work, spec)
        running += Running(work.request, spec.id, uncached)
        slotDueMs[spec.id] = nowMs + slotWaitMs(spec) * 4
        val waitMs = max(0.0, busyUntilMs.getValue(spec.id) - nowMs)
        busyUntilMs[spec.id] = nowMs + waitMs + uncached * (1_000.0 / spec.prefillTokensPerS)
        val blocks = cached.getValue(spec.id)
        val limit = (spec.cacheTokens / 64).toInt()
        for (block in work.request.prefixBlocks.take(limit).reversed()) {
            blocks -= block
            blocks += block
            if (blocks.size > limit) blocks.removeAt(0)
        }
        return "grant ${work.request.requestId} on ${spec.id}"
    }

    private fun choose(
        work: Waiting,
        earmarked: Set<EndpointId>,
        nowMs: Long
    ): Pair<EndpointSpec, Boolean>? {
        val waitsMs = HashMap<EndpointId, Double>()
        val finishesMs = HashMap<EndpointId, Double>()
        val costs = config.endpoints.filter { it.id !in config.unavailable }.mapNotNull { spec ->
            val own = running.filter { it.endpoint == spec.id }
            val hasRoom = isOpen(spec, work.request.tier, earmarked) && hasBudget(spec, work)
            val canStart = hasRoom && hasShortBacklog(spec, work.request.tier, nowMs)
            val earmarkFactor = if (spec.id in earmarked) 2 else 1
            val waitMs = max(0.0, busyUntilMs.getValue(spec.id) - nowMs) +
                if (hasRoom) 0.0 else slotWaitMs(spec) * earmarkFactor
            waitsMs[spec.id] = waitMs
            val prefillMs = uncached(work, spec) * (1_000.0 / spec.prefillTokensPerS)
            val weight = if (work.request.tier.rank == 0) 1 else 3
            val finishMs =
                waitMs + prefillMs + work.request.outputTokens * 1_000.0 / spec.decodeTokensPerS
            val costMs = waitMs + prefillMs * weight + own.size.toDouble() / spec.slotCount * 100
            finishesMs[spec.id] = finishMs
            Triple(spec, canStart, costMs).takeIf { work.deadlineMs - nowMs >= finishMs }
        }
        val now = costs.filter { it.second }.minByOrNull { it.third }
        val later = costs.filter { !it.second }.minByOrNull { it.third }
        if (now == null || later == null) return (now ?: later)?.let { it.first to it.second }
        if (later.third + 20 >= now.third) return now.first to true
        val skipMs = (waitsMs.getValue(later.first.id) * 2).toLong()
        val slackMs = if (work.request.tier.rank == 0) 0 else ((work.dueMs - nowMs) * 0.25).toLong()
        val untilMs = nowMs + max(skipMs, slackMs)
        if (work.skipUntilMs == Long.MAX_VALUE) work.skipUntilMs = untilMs
        val firstTokenMs = waitsMs.getValue(now.first.id) +
            uncached(work, now.first) * (1_000.0 / now.first.prefillTokensPerS)
        val mayWait = nowMs + firstTokenMs > work.dueMs &&
            nowMs <= slotDueMs.getValue(later.first.id) && nowMs < work.skipUntilMs + 40_000 &&
            nowMs < work.deadlineMs - finishesMs.getValue(now.first.id).toLong() - 3_000
        if (nowMs >= work.skipUntilMs && !mayWait) return now.first to true
        work.parkedOn = later.first
        work.parkedUntilMs = listOf(nowMs + 100, work.skipUntilMs).filter { it > nowMs }.min()
        return later.first to false
    }

    private fun unpark(work: Waiting, earmarked: Set<EndpointId>, nowMs: Long) {
        val spec = work.parkedOn ?: return
        val canStart = isOpen(spec, work.request.tier, earmarked) && hasBudget(spec, work) &&
            hasShortBacklog(spec, work.request.tier, nowMs)
        if (nowMs >= work.parkedUntilMs || canStart) work.parkedOn = null
    }

    private fun isOpen(spec: EndpointSpec, tier: Tier, earmarked: Set<EndpointId>): Boolean {
        val own = running.filter { it.endpoint == spec.id }
        val reserved = ceil(spec.slotCount * config.preset!!.reservedShare).toInt()
        val lowerLimit = max(1, spec.slotCount - reserved)
        return spec.id !in config.unavailable && spec.id !in earmarked &&
            own.size < spec.slotCount &&
            (tier.rank == 0 || own.count { it.request.tier.rank > 0 } < lowerLimit)
    }

    private fun hasShortBacklog(spec: EndpointSpec, tier: Tier, nowMs: Long): Boolean =
        busyUntilMs.getValue(spec.id) - nowMs <= if (tier.rank == 0) 500 else 50

    private fun hasBudget(spec: EndpointSpec, work: Waiting): Boolean {
        val own = running.filter { it.endpoint == spec.id }
        val usedTokens = own.sumOf { it.request.prefillTokens + it.request.outputTokens }
        return own.isEmpty() || usedTokens + work.reservedTokens <= spec.budgetTokens
    }

    private fun slotWaitMs(spec: EndpointSpec): Double {
        val own = running.filter { it.endpoint == spec.id }
        val count = max(1, own.size)
        val tokens = own.sumOf { it.request.outputTokens }
        return max(20.0, tokens * (1_000.0 / spec.decodeTokensPerS) / count * 2 / (count + 1))
    }

    private fun uncached(work: Waiting, spec: EndpointSpec): Int {
        val depth = work.request.prefixBlocks.takeWhile { it in cached.getValue(spec.id) }.size
        return max(0, work.request.prefillTokens - depth * 64)
    }

    private fun canFinish(work: Waiting, nowMs: Long): Boolean {
        if (work.deadlineMs == Long.MAX_VALUE) return true
        val bestMs = config.endpoints.filter { it.id !in config.unavailable }.minOf {
            uncached(work, it) * (1_000.0 / it.prefillTokensPerS) +
                work.request.outputTokens * (1_000.0 / it.decodeTokensPerS)
        }
        val latestMs = work.deadlineMs - bestMs
        work.nextCheckMs = max(latestMs.toLong() + 1, nowMs + 1)
        return work.deadlineMs > nowMs && latestMs >= nowMs
    }
}

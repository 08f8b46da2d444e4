package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import kotlin.random.Random

/** Result of looking for an endpoint for one request. */
internal sealed interface PlacementResult {
    /** [firstTokenMs] is the time until the prompts before it and its own are read. */
    data class Found(val endpoint: EndpointLoad, val unreadTokens: Int, val firstTokenMs: Double) :
        PlacementResult

    /** All endpoints are at the limit for the request, or would answer it too late. */
    data object Full : PlacementResult

    /** No endpoint takes work of this pool. */
    data object None : PlacementResult
}

/**
 * Chooses the endpoint at which a request is answered first: the time until the prompts before it
 * are read, its own prompt less what the engine keeps, and a share for the requests beside it.
 * Endpoints that fail or cannot be reached come last.
 *
 * Load pattern: a burst of long prompts on engines that differ several times in speed.
 */
internal class Placement(
    private val homes: PromptHomes,
    private val ownDomain: String,
    private val random: Random
) {
    /** Returns the best of [endpoints] for [call], leaving out those in [tried]. */
    fun choose(
        call: ForwardedCall,
        endpoints: Collection<EndpointLoad>,
        tried: Set<EndpointId>,
        topology: ReportTopology,
        nowMs: Long
    ): PlacementResult {
        val usable = endpoints.filter { !it.entry.isDraining && it.entry.id !in tried }
        if (usable.isEmpty()) return PlacementResult.None
        if (freeShare(endpoints) < AdmissionRule.reservedShare(call)) {
            return PlacementResult.Full
        }
        val calm = usable.filter { !it.health.isAvoided(nowMs) }.ifEmpty { usable }
        val open = calm.filter { it.freeSlots > -AdmissionRule.extraSlots(call.rankInPool) }
        val best = candidates(call, open, topology)
            .minByOrNull { costMs(call, it, nowMs) + otherGroupMs(it, topology) }
            ?: return PlacementResult.Full
        val ownTokens = unreadTokens(call, best, nowMs)
        val queueMs = readingMs(best, best.total.unreadTokens)
        val ownMs = readingMs(best, ownTokens.toLong())
        if (AdmissionRule.isTooLate(call, queueMs, ownMs, nowMs)) return PlacementResult.Full
        return PlacementResult.Found(best, ownTokens, queueMs + ownMs)
    }

    private fun readingMs(endpoint: EndpointLoad, tokens: Long): Double =
        tokens / endpoint.speed.prefillTokensPerMs * endpoint.speed.firstTokenFactor

    private fun unreadTokens(call: ForwardedCall, endpoint: EndpointLoad, nowMs: Long): Int {
        if (call.prompt.isEmpty()) return PrefillCost.ofTokens(call.inputTokens)
        return PrefillCost.ofTokens(homes.unreadTokens(call.prompt, endpoint.entry.id, nowMs))
    }

    /**
     * Where hosts are divided into groups, the endpoints of the own group and a few others drawn at
     * random. What is known of the others is old, and all hosts would choose the same one.
     */
    private fun candidates(
        call: ForwardedCall,
        open: List<EndpointLoad>,
        topology: ReportTopology
    ): List<EndpointLoad> {
        if (!topology.isDivided) return open
        if (call.inputTokens == 0) return listOfNotNull(drawByRoom(open))
        val (own, others) = open.partition { topology.isOwn(it.entry.id, it.entry.domain) }
        return own + others.shuffled(random).take(OTHER_CANDIDATES)
    }

    /** Draws one of [open], the likelier the more places are free; plain services are few. */
    private fun drawByRoom(open: List<EndpointLoad>): EndpointLoad? {
        val rooms = open.map { 1 + it.freeSlots.coerceAtLeast(0) }
        var position = if (rooms.isEmpty()) 0 else random.nextInt(rooms.sum())
        return open.withIndex().firstOrNull { (index, _) ->
            position -= rooms[index]
            position < 0
        }?.value
    }

    private fun otherGroupMs(endpoint: EndpointLoad, topology: ReportTopology): Double {
        val entry = endpoint.entry
        return if (topology.isOwn(entry.id, entry.domain)) 0.0 else OTHER_GROUP_MS
    }

    /** Cost of a stream that may not end before its caller gives up. */
    private fun lateEndMs(call: ForwardedCall, endpoint: EndpointLoad, nowMs: Long): Double {
        val makingMs = call.expectedOutputTokens * endpoint.speed.tokenMs * MAKING_SAFETY
        return if (makingMs > call.givenUpAtMs - nowMs) LATE_END_MS else 0.0
    }

    private fun costMs(call: ForwardedCall, endpoint: EndpointLoad, nowMs: Long): Double {
        val occupancy = endpoint.total.running.toDouble() / endpoint.entry.slotCount
        val crowdingMs = CROWDING_MS * occupancy * occupancy / endpoint.speed.relative
        val distanceMs = if (endpoint.entry.domain == ownDomain) 0.0 else OTHER_DOMAIN_MS
        val unread = endpoint.total.unreadTokens + unreadTokens(call, endpoint, nowMs)
        return readingMs(endpoint, unread) + crowdingMs + distanceMs +
            lateEndMs(call, endpoint, nowMs) +
            FAILURE_COST_MS * endpoint.health.expectedFailureRate
    }

    private companion object {
        /** Cost of a full endpoint against an empty one, in ms; a request there runs longer. */
        const val CROWDING_MS = 120.0

        /** Enough that both of them are seldom crowded. */
        const val OTHER_CANDIDATES = 2

        /** What is known of other groups is about 0.6 s old; a few prompts came since, in ms. */
        const val OTHER_GROUP_MS = 40.0

        /** Estimates of the output are off by a factor of two, and prompts pause all streams. */
        const val MAKING_SAFETY = 3.0

        /** Against the usual costs of some tens of ms; another endpoint is nearly always better. */
        const val LATE_END_MS = 500.0

        /** A request and its answer cross twice, about a ms each; bytes across are priced. */
        const val OTHER_DOMAIN_MS = 4.0

        /** Cost of a request that fails for certain, in ms. */
        const val FAILURE_COST_MS = 2_000.0
    }
}

/** Share of the slots of [endpoints] that no request takes. */
internal fun freeShare(endpoints: Collection<EndpointLoad>): Double {
    var slots = 0
    var free = 0
    for (endpoint in endpoints) {
        if (endpoint.entry.isDraining) continue
        slots += endpoint.entry.slotCount
        free += endpoint.freeSlots.coerceAtLeast(0)
    }
    return if (slots == 0) 0.0 else free.toDouble() / slots
}

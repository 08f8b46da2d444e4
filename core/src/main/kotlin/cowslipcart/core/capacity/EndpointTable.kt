package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import kotlin.math.max
import kotlin.math.min

/**
 * Endpoints of the shard. Totals are updated on each change, so that a decision need not search the
 * endpoints when none is open.
 */
internal class EndpointTable {
    private val byId = LinkedHashMap<EndpointId, EndpointState>()
    private val freeIndices = ArrayDeque<Int>()
    private val earmarked = ArrayList<EndpointState>()
    private var nextIndex = 0
    private var reservedShare = 0.0
    private var openTopCount = 0
    private var openLowerCount = 0
    val prefixes: PrefixIndex = PrefixIndex()

    /** All endpoints in the order of their declaration. */
    var all: List<EndpointState> = emptyList()
        private set

    /** Expected rate at which slots become free, per millisecond. */
    var slotsPerMs: Double = 0.0
        private set

    /** Target time between output tokens: the strictest of all tiers. */
    var tokenGapTargetMs: Double = DEFAULT_TOKEN_GAP_MS
        private set

    val hasAvailable: Boolean get() = all.any { it.isAvailable }

    fun find(id: EndpointId): EndpointState? = byId[id]

    /** Whether any endpoint is open to requests of the top tier, or else of lower tiers. */
    fun hasOpen(isTop: Boolean): Boolean = if (isTop) openTopCount > 0 else openLowerCount > 0

    /** Applies a configuration. An endpoint that is no longer declared gets no new work. */
    fun configure(config: ShardConfig, nowMs: Long) {
        reservedShare = config.preset?.reservedShare ?: 0.0
        tokenGapTargetMs = config.tiers.values.minOfOrNull { it.tokenGapTargetMs.toDouble() }
            ?: DEFAULT_TOKEN_GAP_MS
        val declared = config.endpoints.associateBy { it.id }
        for (spec in config.endpoints) {
            val known = byId.getOrPut(spec.id) { EndpointState(spec, takeIndex(), nowMs) }
            known.redeclare(spec)
            known.isEnabled = spec.id !in config.unavailable
            known.isReported = spec.id !in config.awaitingReport
        }
        for (endpoint in byId.values) if (endpoint.spec.id !in declared) endpoint.isEnabled = false
        dropUnused(declared.keys)
        all = byId.values.toList()
        val blockShare = max(MIN_BLOCKS, MAX_BLOCKS / max(1, all.size))
        for (endpoint in all) {
            val cacheBlocks = endpoint.spec.cacheTokens / CapacityRequest.PREFIX_BLOCK_TOKENS
            prefixes.resize(endpoint.index, min(cacheBlocks, blockShare.toLong()).toInt())
        }
        refreshAll()
    }

    /** Recomputes limits and totals after a change of [endpoint]. */
    fun refresh(endpoint: EndpointState) {
        endpoint.refresh(tokenGapTargetMs, reservedShare)
        refreshOpen(endpoint)
        val rate =
            if (endpoint.isAvailable && endpoint.occupiedCount > 0) 1 / endpoint.slotWaitMs else 0.0
        slotsPerMs = max(0.0, slotsPerMs + rate - endpoint.countedRate)
        endpoint.countedRate = rate
    }

    /** Recomputes everything; also removes the rounding errors of the running sums. */
    fun refreshAll() {
        slotsPerMs = 0.0
        openTopCount = 0
        openLowerCount = 0
        for (endpoint in all) {
            endpoint.countedRate = 0.0
            endpoint.isCountedTop = false
            endpoint.isCountedLower = false
            refresh(endpoint)
        }
    }

    /** Keeps [endpoint] for a queued request until [clearEarmarks], closed to later requests. */
    fun earmark(endpoint: EndpointState) {
        if (endpoint.isEarmarked) return
        endpoint.isEarmarked = true
        earmarked += endpoint
        refreshOpen(endpoint)
    }

    fun clearEarmarks() {
        for (endpoint in earmarked) {
            endpoint.isEarmarked = false
            refreshOpen(endpoint)
        }
        earmarked.clear()
    }

    private fun refreshOpen(endpoint: EndpointState) {
        val isTopOpen = endpoint.isOpen(isTop = true)
        val isLowerOpen = endpoint.isOpen(isTop = false)
        if (isTopOpen != endpoint.isCountedTop) openTopCount += if (isTopOpen) 1 else -1
        if (isLowerOpen != endpoint.isCountedLower) openLowerCount += if (isLowerOpen) 1 else -1
        endpoint.isCountedTop = isTopOpen
        endpoint.isCountedLower = isLowerOpen
    }

    private fun takeIndex(): Int = freeIndices.removeFirstOrNull() ?: nextIndex++

    private fun dropUnused(declared: Set<EndpointId>) {
        byId.values.removeIf { endpoint ->
            val isUnused = endpoint.spec.id !in declared && endpoint.running.isEmpty()
            if (isUnused) {
                prefixes.clear(endpoint.index)
                freeIndices += endpoint.index
            }
            isUnused
        }
    }

    private companion object {
        // Target of the design, used if the configuration has no tiers.
        const val DEFAULT_TOKEN_GAP_MS = 67.0

        // Bounds the prefix index of a shard to about 30 MB at 200 bytes a block.
        const val MAX_BLOCKS = 131_072
        const val MIN_BLOCKS = 512
    }
}

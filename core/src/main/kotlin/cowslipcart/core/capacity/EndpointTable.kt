package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import kotlin.math.max
import kotlin.math.min

/**
 * Endpoints of the shard, with totals that are kept up to date with each change so that a decision
 * need not look at endpoints when none is open.
 */
internal class EndpointTable {
    private val byId = LinkedHashMap<EndpointId, EndpointState>()
    private val freeIndices = ArrayDeque<Int>()
    private val claimed = ArrayList<EndpointState>()
    private var nextIndex = 0
    private var reservedShare = 0.0
    private var openTopCount = 0
    private var openLowerCount = 0
    val prefixes: PrefixIndex = PrefixIndex()

    /** All endpoints in the order of their declaration. */
    var all: List<EndpointState> = emptyList()
        private set

    /** Expected number of slots that become free in a millisecond. */
    var slotsPerMs: Double = 0.0
        private set

    /** Time between tokens that counts as answered in time. */
    var tokenGapTargetMs: Double = DEFAULT_TOKEN_GAP_MS
        private set

    val hasAvailable: Boolean get() = all.any { it.isAvailable }

    fun find(id: EndpointId): EndpointState? = byId[id]

    /** Whether some endpoint could admit a request of this class of tiers. */
    fun hasOpen(isTop: Boolean): Boolean = if (isTop) openTopCount > 0 else openLowerCount > 0

    /** Adopts a configuration. An endpoint that is no longer declared takes no new work. */
    fun configure(config: ShardConfig, nowMs: Long) {
        reservedShare = config.preset?.reservedShare ?: 0.0
        tokenGapTargetMs = config.tiers.values.minOfOrNull { it.tokenGapTargetMs.toDouble() }
            ?: DEFAULT_TOKEN_GAP_MS
        val declared = config.endpoints.associateBy { it.id }
        for (spec in config.endpoints) {
            val known = byId.getOrPut(spec.id) { EndpointState(spec, takeIndex(), nowMs) }
            known.redeclare(spec)
            known.isEnabled = spec.id !in config.unavailable
            known.isReported = spec.id !in config.unreported
        }
        for (state in byId.values) if (state.spec.id !in declared) state.isEnabled = false
        dropUnused(declared.keys)
        all = byId.values.toList()
        val blockShare = max(LEAST_BLOCKS, MOST_BLOCKS / max(1, all.size))
        for (state in all) {
            val cacheBlocks = state.spec.cacheTokens / CapacityRequest.PREFIX_BLOCK_TOKENS
            prefixes.resize(state.index, min(cacheBlocks, blockShare.toLong()).toInt())
        }
        refreshAll()
    }

    /** Recomputes limits and totals after a change of [state]. */
    fun refresh(state: EndpointState) {
        state.refresh(tokenGapTargetMs, reservedShare)
        refreshOpen(state)
        val rate = if (state.isAvailable && state.occupiedCount > 0) 1 / state.slotWaitMs else 0.0
        slotsPerMs = max(0.0, slotsPerMs + rate - state.countedRate)
        state.countedRate = rate
    }

    /** Recomputes everything; also removes the rounding errors of the running sums. */
    fun refreshAll() {
        slotsPerMs = 0.0
        openTopCount = 0
        openLowerCount = 0
        for (state in all) {
            state.countedRate = 0.0
            state.isCountedTop = false
            state.isCountedLower = false
            refresh(state)
        }
    }

    /** Keeps [state] for a queued request until [clearClaims]. */
    fun claim(state: EndpointState) {
        if (state.isClaimed) return
        state.isClaimed = true
        claimed += state
        refreshOpen(state)
    }

    fun clearClaims() {
        for (state in claimed) {
            state.isClaimed = false
            refreshOpen(state)
        }
        claimed.clear()
    }

    private fun refreshOpen(state: EndpointState) {
        val isTopOpen = state.isOpen(isTop = true)
        val isLowerOpen = state.isOpen(isTop = false)
        if (isTopOpen != state.isCountedTop) openTopCount += if (isTopOpen) 1 else -1
        if (isLowerOpen != state.isCountedLower) openLowerCount += if (isLowerOpen) 1 else -1
        state.isCountedTop = isTopOpen
        state.isCountedLower = isLowerOpen
    }

    private fun takeIndex(): Int = freeIndices.removeFirstOrNull() ?: nextIndex++

    private fun dropUnused(declared: Set<EndpointId>) {
        byId.values.removeIf { state ->
            val isUnused = state.spec.id !in declared && state.running.isEmpty()
            if (isUnused) {
                prefixes.clear(state.index)
                freeIndices += state.index
            }
            isUnused
        }
    }

    private companion object {
        // 67 ms between tokens, the target of design section 5.
        const val DEFAULT_TOKEN_GAP_MS = 67.0

        // Bounds the prefix index of a shard to about 30 MB at 200 bytes a block.
        const val MOST_BLOCKS = 131_072
        const val LEAST_BLOCKS = 512
    }
}

package cowslipcart.experiment.sim

import cowslipcart.core.capacity.CacheEvent
import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.LoadReport
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.experiment.workload.EngineGroup
import cowslipcart.standins.engine.EngineEvent
import cowslipcart.standins.engine.EngineModel
import cowslipcart.standins.engine.EngineSettings
import cowslipcart.standins.engine.createEngineModel

/**
 * An engine model in virtual time. Its reports are exact; the simulation adds the lag and the
 * losses of the workload, so that the actual content of the cache stays known for the measurements.
 */
internal class SimulatedEngine(
    val id: EndpointId,
    val group: EngineGroup,
    private val queue: EventQueue,
    private val onEvent: (EngineEvent) -> Unit
) {
    private val model: EngineModel = createEngineModel(
        EngineSettings(
            baseStepUs = group.baseStepUs,
            sequenceStepUs = group.sequenceStepUs,
            prefillTokenUs = group.prefillTokenUs,
            prefillTokensPerStep = group.prefillTokensPerStep,
            cacheTokens = group.cacheTokens,
            resumeHandleMs = group.resumeHandleMs,
            loadIntervalMs = 1,
            cacheEventLagMs = 0,
            cacheEventLossRate = 0.0
        )
    )
    private val cachedBlocks = HashSet<PrefixBlock>()
    private var nextCacheEventIndex = 0L
    private var wakeAtMs: Long? = null

    /** Delivers the events that are due, then calls the model at the current time. */
    fun <T> call(action: EngineModel.(nowMs: Long) -> T): T {
        advance()
        val result = model.action(queue.nowMs)
        scheduleWake()
        return result
    }

    fun report(): LoadReport = call { nowMs ->
        val load = load(nowMs)
        LoadReport(id, load.ageMs, load.runningCount, load.waitingTokens, load.isLeaving)
    }

    /** Returns the cache changes since the last call. */
    fun pollCache(): List<CacheEvent> = call { nowMs ->
        val page = cacheEvents(nextCacheEventIndex, nowMs)
        nextCacheEventIndex = page.nextIndex
        page.events.map { event ->
            if (event.isStored) cachedBlocks += event.block else cachedBlocks -= event.block
            CacheEvent(id, event.block, event.isStored)
        }
    }

    /** Prompt tokens at the start of [blocks] that were cached at the last [pollCache]. */
    fun cachedTokens(blocks: List<PrefixBlock>): Int =
        blocks.takeWhile { it in cachedBlocks }.size * CapacityRequest.PREFIX_BLOCK_TOKENS

    private fun advance() = model.advance(queue.nowMs).forEach(onEvent)

    private fun scheduleWake() {
        val nextMs = model.nextEventMs?.coerceAtLeast(queue.nowMs) ?: return
        if (wakeAtMs == nextMs) return
        wakeAtMs = nextMs
        queue.schedule(nextMs) {
            if (wakeAtMs == nextMs) {
                wakeAtMs = null
                advance()
                scheduleWake()
            }
        }
    }
}

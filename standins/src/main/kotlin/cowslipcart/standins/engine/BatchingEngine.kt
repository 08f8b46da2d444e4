package cowslipcart.standins.engine

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.capacity.CapacityRequest.Companion.PREFIX_BLOCK_TOKENS
import cowslipcart.core.model.RequestId
import kotlin.random.Random

/** [EngineModel] that runs one batch step at a time. */
internal class BatchingEngine(private val settings: EngineSettings) : EngineModel {
    private class ResumeHandle(val stream: EngineStream, val expiresMs: Long)

    private class PendingOrder(val order: EngineOrder, val dueMs: Long)

    private class LoadSample(val atMs: Long, val runningCount: Int, val waitingTokens: Long)

    private val streams = HashMap<RequestId, EngineStream>()
    private val prefilling = ArrayDeque<EngineStream>()
    private val decoding = ArrayList<EngineStream>()
    private val resumeHandles = LinkedHashMap<RequestId, ResumeHandle>()
    private val pendingOrders = ArrayDeque<PendingOrder>()

    /** Tokens from before a cancel that a resumed stream sends again. */
    private val replayedTokens = ArrayList<EngineEvent>()
    private val cacheLog = CacheEventLog(
        settings.cacheEventLagMs,
        settings.cacheEventLossRate,
        Random(settings.seed)
    )
    private val cache = PrefixCache(settings.cacheBlocks) { block, isStored ->
        cacheLog.record(block, isStored, cacheChangeMs)
    }

    /** Time that [cacheLog] records for the next changes of [cache]. */
    private var cacheChangeMs = 0L

    private var stepEndUs = NEVER_US
    private var slowFactor = 1.0
    private var isLeaving = false
    private var waitingTokens = 0L
    private var sample = LoadSample(0, 0, 0)

    override var isDown: Boolean = false
        private set

    override var deployment: EngineDeployment = EngineDeployment()
        private set

    override val runningIds: Set<RequestId> get() = streams.keys.toSet()

    override val nextEventMs: Long?
        get() {
            val stepMs = if (stepEndUs == NEVER_US) null else ceilToMs(stepEndUs)
            val orderMs = pendingOrders.firstOrNull()?.dueMs
            val replayMs = replayedTokens.firstOrNull()?.atMs
            return listOfNotNull(stepMs, orderMs, replayMs).minOrNull()
        }

    override fun submit(request: EngineRequest, nowMs: Long): Either<EngineError, Unit> {
        if (isDown) return EngineError.Down.left()
        if (request.id in streams) return EngineError.AlreadyRunning(request.id).left()
        resumeHandles.remove(request.id)
        start(EngineStream(request), nowMs)
        return Unit.right()
    }

    override fun cancel(id: RequestId, nowMs: Long): Either<EngineError, CancelledStream> {
        if (isDown) return EngineError.Down.left()
        sampleLoad(nowMs)
        val stream = streams.remove(id) ?: return EngineError.NotRunning(id).left()
        if (prefilling.remove(stream)) {
            waitingTokens -= stream.unreadTokens
        } else {
            decoding.remove(stream)
        }
        replayedTokens.removeAll { it is EngineEvent.Token && it.requestId == id }
        keepContext(stream, nowMs)
        dropExpiredHandles(nowMs)
        resumeHandles[id] = ResumeHandle(stream, nowMs + settings.resumeHandleMs)
        return CancelledStream(
            id = id,
            prefillTokens = stream.readTokens.coerceAtMost(stream.promptTokens),
            cachedTokens = stream.cachedTokens,
            outputTokens = stream.outputTokens
        ).right()
    }

    override fun resume(id: RequestId, fromSequence: Int, nowMs: Long): Either<EngineError, Unit> {
        if (isDown) return EngineError.Down.left()
        if (id in streams) return EngineError.AlreadyRunning(id).left()
        dropExpiredHandles(nowMs)
        val stream = resumeHandles[id]?.stream ?: return EngineError.NotResumable(id).left()
        if (fromSequence > stream.outputTokens) {
            return EngineError.SequenceAhead(id, stream.outputTokens, fromSequence).left()
        }
        resumeHandles.remove(id)
        for (sequence in fromSequence.coerceAtLeast(0) until stream.outputTokens) {
            replayedTokens += EngineEvent.Token(nowMs, id, sequence)
        }
        stream.prepareResume()
        start(stream, nowMs)
        return Unit.right()
    }

    override fun order(
        order: EngineOrder,
        fencing: FencingNumber,
        nowMs: Long
    ): Either<EngineError, Unit> {
        if (isDown) return EngineError.Down.left()
        val highest = deployment.fencing
        if (settings.checksFencing && highest != null && fencing < highest) {
            return EngineError.StaleFencing(highest, fencing).left()
        }
        if (highest == null || fencing > highest) deployment = deployment.copy(fencing = fencing)
        pendingOrders.addLast(PendingOrder(order, nowMs + settings.orderDurationMs))
        return Unit.right()
    }

    override fun advance(nowMs: Long): List<EngineEvent> {
        if (isDown) return emptyList()
        val events = ArrayList<EngineEvent>(replayedTokens)
        replayedTokens.clear()
        while (!isDown) {
            val orderUs = pendingOrders.firstOrNull()?.let { it.dueMs * US_PER_MS } ?: NEVER_US
            if (minOf(stepEndUs, orderUs) > nowMs * US_PER_MS) break
            if (orderUs <= stepEndUs) applyOrder(events) else completeStep(events)
        }
        sampleLoad(nowMs)
        return events
    }

    override fun load(nowMs: Long): EngineLoad {
        sampleLoad(nowMs)
        val ageMs = (nowMs - sample.atMs).coerceAtLeast(0)
        return EngineLoad(ageMs, sample.runningCount, sample.waitingTokens, isLeaving)
    }

    override fun cacheEvents(fromIndex: Long, nowMs: Long): CacheEventPage =
        cacheLog.read(fromIndex, nowMs)

    override fun setSlowFactor(factor: Double, nowMs: Long) {
        require(factor > 0.0) { "factor: expected more than 0, got $factor" }
        if (stepEndUs != NEVER_US) {
            val leftUs = (stepEndUs - nowMs * US_PER_MS).coerceAtLeast(0)
            stepEndUs = nowMs * US_PER_MS + (leftUs * factor / slowFactor).toLong()
        }
        slowFactor = factor
    }

    override fun setLeaving(isLeaving: Boolean) {
        this.isLeaving = isLeaving
    }

    override fun crash(nowMs: Long): EngineEvent.Crashed? =
        if (isDown) null else crash(nowMs, trigger = null)

    override fun restart(nowMs: Long) {
        isDown = false
        sample = LoadSample(nowMs, 0, 0)
    }

    private fun start(stream: EngineStream, nowMs: Long) {
        sampleLoad(nowMs)
        streams[stream.request.id] = stream
        prefilling.addLast(stream)
        waitingTokens += stream.unreadTokens
        if (stepEndUs == NEVER_US) beginStep(nowMs * US_PER_MS)
    }

    private fun beginStep(startUs: Long) {
        if (streams.isEmpty()) {
            stepEndUs = NEVER_US
            return
        }
        val prefillTokens = planPrefill()
        val workUs = settings.baseStepUs + decoding.size * settings.sequenceStepUs +
            prefillTokens * settings.prefillTokenUs
        stepEndUs = startUs + (workUs * slowFactor).toLong().coerceAtLeast(1)
    }

    /** Divides the step's prefill budget in order of arrival; returns the tokens assigned. */
    private fun planPrefill(): Long {
        var budgetTokens = settings.prefillTokensPerStep
        for (stream in prefilling) {
            if (budgetTokens == 0) break
            if (!stream.isCacheSearched) matchPrefix(stream)
            stream.plannedTokens = minOf(budgetTokens, stream.unreadTokens)
            budgetTokens -= stream.plannedTokens
        }
        return (settings.prefillTokensPerStep - budgetTokens).toLong()
    }

    /** Skips the cached start of the context; the last token is always read to get its output. */
    private fun matchPrefix(stream: EngineStream) {
        val blockCount = stream.contextTokens / PREFIX_BLOCK_TOKENS
        val candidateCount = if (stream.isResumed) blockCount else stream.sharedBlockCount
        stream.applyCacheMatch(cache.match(candidateCount, stream::block) * PREFIX_BLOCK_TOKENS)
        waitingTokens -= stream.readTokens
    }

    private fun completeStep(events: MutableList<EngineEvent>) {
        val atUs = stepEndUs
        val atMs = ceilToMs(atUs)
        sampleLoad(atMs)
        cacheChangeMs = atMs
        val poison = prefilling.firstOrNull { it.request.isPoison && it.plannedTokens > 0 }
        if (poison != null) {
            events += crash(atMs, poison.request.id)
            return
        }
        decoding.removeAll { generateToken(it, atMs, events) }
        while (prefilling.isNotEmpty() && readPlanned(prefilling.first())) {
            val stream = prefilling.removeFirst()
            if (!generateToken(stream, atMs, events)) decoding += stream
        }
        beginStep(atUs)
    }

    /** Reads the planned tokens of [stream]; returns whether its whole context is read. */
    private fun readPlanned(stream: EngineStream): Boolean {
        if (stream.plannedTokens == 0) return false
        val firstBlock = stream.readBlockCount
        stream.readTokens += stream.plannedTokens
        waitingTokens -= stream.plannedTokens
        stream.plannedTokens = 0
        val endBlock = minOf(stream.readBlockCount, stream.sharedBlockCount)
        for (index in firstBlock until endBlock) cache.store(stream.block(index))
        val isRead = stream.unreadTokens == 0
        if (isRead) cache.touch(stream.sharedBlockCount, stream::block)
        return isRead
    }

    /** Generates one token and returns whether the stream is finished. */
    private fun generateToken(
        stream: EngineStream,
        atMs: Long,
        events: MutableList<EngineEvent>
    ): Boolean {
        val id = stream.request.id
        events += EngineEvent.Token(atMs, id, stream.outputTokens)
        stream.outputTokens++
        if (!stream.isFinished) return false
        streams.remove(id)
        events += EngineEvent.Finished(
            atMs = atMs,
            requestId = id,
            prefillTokens = stream.promptTokens,
            cachedTokens = stream.cachedTokens,
            outputTokens = stream.outputTokens,
            rereadTokens = stream.rereadTokens
        )
        return true
    }

    /** Leaves the context of a cancelled stream in the cache, where later requests may evict it. */
    private fun keepContext(stream: EngineStream, nowMs: Long) {
        cacheChangeMs = nowMs
        if (stream.unreadTokens == 0) stream.readTokens = stream.promptTokens + stream.outputTokens
        val blockCount = stream.readBlockCount
        for (index in stream.sharedBlockCount until blockCount) cache.store(stream.block(index))
        cache.touch(blockCount, stream::block)
    }

    private fun applyOrder(events: MutableList<EngineEvent>) {
        val pending = pendingOrders.removeFirst()
        deployment = deployment.apply(pending.order)
        events += EngineEvent.OrderApplied(pending.dueMs, pending.order)
    }

    private fun crash(atMs: Long, trigger: RequestId?): EngineEvent.Crashed {
        val lost = streams.keys.sortedBy { it.value }
        isDown = true
        stepEndUs = NEVER_US
        waitingTokens = 0
        listOf(streams, resumeHandles).forEach { it.clear() }
        listOf(prefilling, decoding, pendingOrders, replayedTokens).forEach { it.clear() }
        cache.clear()
        cacheLog.clear()
        return EngineEvent.Crashed(atMs, trigger, lost)
    }

    private fun dropExpiredHandles(nowMs: Long) {
        val iterator = resumeHandles.values.iterator()
        while (iterator.hasNext() && iterator.next().expiresMs < nowMs) iterator.remove()
    }

    /** Samples the load at the last multiple of the interval, before a change at [nowMs]. */
    private fun sampleLoad(nowMs: Long) {
        val gridMs = nowMs - nowMs % settings.loadIntervalMs
        if (gridMs > sample.atMs) sample = LoadSample(gridMs, streams.size, waitingTokens)
    }

    private fun ceilToMs(timeUs: Long): Long = (timeUs + US_PER_MS - 1) / US_PER_MS

    private companion object {
        const val US_PER_MS = 1_000L
        const val NEVER_US = Long.MAX_VALUE
    }
}

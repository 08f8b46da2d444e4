package cowslipcart.experiment.gateway

import cowslipcart.core.forwarding.StatedLoad
import cowslipcart.experiment.sim.EventQueue
import kotlin.math.ceil
import kotlin.random.Random

/**
 * A request on an engine.
 *
 * @property onBroken called if the engine crashes before the last event
 * @property onEvent called for each event of the stream
 */
internal class EmulatedSequence(
    val promptTokens: Int,
    val outputTokens: Int,
    val onBroken: () -> Unit,
    val onEvent: (isLast: Boolean) -> Unit
) {
    var prefilledTokens = 0
    var decodedTokens = 0
    val isPrefilling: Boolean get() = prefilledTokens < promptTokens
}

/**
 * An engine with continuous batching: it admits sequences in order of arrival and prefills prompts
 * in chunks, in the same steps in which other sequences generate tokens, so that a prefill slows
 * all of them down. The first event of a stream holds its first token.
 */
internal class EmulatedEngine(
    private val sheet: EngineSheet,
    private val speed: Double,
    private val queue: EventQueue,
    private val seed: Long
) {
    private val running = mutableListOf<EmulatedSequence>()
    private val waiting = ArrayDeque<EmulatedSequence>()
    private var isStepping = false
    private var nowUs = 0.0

    /** Whether its answers say that it leaves. */
    var isLeaving = false

    /** Time until which it refuses all requests. */
    var backoffUntilMs = 0L

    /** Whether it has crashed and accepts no connections. */
    var isDown = false
        private set

    /** Loses all its sequences and accepts no connections until [restart]. */
    fun crash() {
        isDown = true
        val lost = running + waiting
        running.clear()
        waiting.clear()
        lost.forEach { it.onBroken() }
    }

    /** Accepts connections again after a crash. */
    fun restart() {
        isDown = false
    }

    /** Number of sequences that hold a slot. */
    val runningCount: Int get() = running.size

    /** What the engine says of its load in an answer. */
    val statedLoad: StatedLoad
        get() = StatedLoad(
            running.size,
            waiting.size,
            sheet.slots,
            sheet.noise?.let { slowness() }
        )

    /** How many times longer work takes at present, because of other work on the machine. */
    private fun slowness(): Double {
        val noise = sheet.noise ?: return 1.0
        val offsetMs = Random(seed).nextLong(noise.periodMs)
        val period = (queue.nowMs + offsetMs) / noise.periodMs
        val isSlow = Random(seed xor (period + 1) * PERIOD_FACTOR).nextDouble() < noise.share
        return if (isSlow) noise.factor else 1.0
    }

    /** Runs or queues [sequence]; returns false if all slots are taken and the queue is full. */
    fun submit(sequence: EmulatedSequence): Boolean {
        if (running.size < sheet.slots) {
            running += sequence
        } else {
            if (waiting.size >= sheet.queue) return false
            waiting += sequence
        }
        if (!isStepping) {
            nowUs = queue.nowMs * US_PER_MS
            step()
        }
        return true
    }

    /** Removes [sequence] because its connection closed. */
    fun cancel(sequence: EmulatedSequence) {
        if (!waiting.remove(sequence) && running.remove(sequence)) admit()
    }

    /** Moves waiting sequences into free slots. */
    private fun admit() {
        while (running.size < sheet.slots) running += waiting.removeFirstOrNull() ?: return
    }

    /** Starts the next step of the batch if any sequence runs. */
    private fun step() {
        isStepping = running.isNotEmpty()
        if (!isStepping) return
        val batch = running.toList()
        val prefillMs = prefillChunk(batch)
        val contextTokens = batch.sumOf { it.prefilledTokens + it.decodedTokens }
        val decodeMs = sheet.stepMs + sheet.slotStepMs * batch.size +
            sheet.contextMsPerK * contextTokens / TOKENS_PER_K
        nowUs += (prefillMs + decodeMs) / speed * slowness() * US_PER_MS
        queue.schedule(maxOf(queue.nowMs, ceil(nowUs / US_PER_MS).toLong())) { endStep(batch) }
    }

    /**
     * Prefills at most one chunk, in the order of [batch]. Returns the time in ms that an engine of
     * speed 1.0 takes for it.
     */
    private fun prefillChunk(batch: List<EmulatedSequence>): Double {
        var tokensLeft = sheet.chunkTokens
        var prefillMs = 0.0
        for (seq in batch) {
            if (!seq.isPrefilling || tokensLeft == 0) continue
            val tokens = minOf(tokensLeft, seq.promptTokens - seq.prefilledTokens)
            val pairs = tokens.toDouble() * (seq.prefilledTokens + tokens / 2.0)
            if (seq.prefilledTokens == 0) prefillMs += sheet.firstMs
            prefillMs += tokens / sheet.prefillTokensPerMs + sheet.pairMsPerM * pairs / PAIRS_PER_M
            seq.prefilledTokens += tokens
            tokensLeft -= tokens
        }
        return prefillMs
    }

    private fun endStep(batch: List<EmulatedSequence>) {
        for (seq in batch) {
            if (seq.isPrefilling || seq !in running) continue
            seq.decodedTokens++
            val isLast = seq.decodedTokens >= seq.outputTokens
            if (isLast) running -= seq
            if (isLast || (seq.decodedTokens - 1) % sheet.tokensPerEvent == 0) seq.onEvent(isLast)
        }
        admit()
        step()
    }

    private companion object {
        const val US_PER_MS = 1_000.0
        const val TOKENS_PER_K = 1_000.0
        const val PAIRS_PER_M = 1_000_000.0

        /** Spreads the numbers of periods over all bits of a seed. */
        const val PERIOD_FACTOR = 0x9E3779B97F4A7C1L
    }
}

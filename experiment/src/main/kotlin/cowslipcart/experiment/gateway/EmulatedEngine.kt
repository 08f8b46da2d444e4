package cowslipcart.experiment.gateway

import cowslipcart.experiment.sim.EventQueue
import kotlin.math.ceil

/** A request on an engine. */
internal class EmulatedRun(
    val promptTokens: Int,
    val outputTokens: Int,
    val onEvent: (isLast: Boolean) -> Unit
) {
    var readTokens = 0
    var madeTokens = 0
    val isReading: Boolean get() = readTokens < promptTokens
}

/**
 * An engine that batches continuously: it admits requests in order of arrival, reads prompts in
 * chunks beside the tokens of the others, and slows all of them down while it reads. The first
 * event of a stream holds its first token.
 */
internal class EmulatedEngine(
    private val sheet: EngineSheet,
    private val speed: Double,
    private val queue: EventQueue
) {
    private val running = mutableListOf<EmulatedRun>()
    private val waiting = ArrayDeque<EmulatedRun>()
    private var isStepping = false
    private var nowUs = 0.0

    /** Requests that run. */
    val runningCount: Int get() = running.size

    /** Takes [run], or returns false if the queue is full. */
    fun submit(run: EmulatedRun): Boolean {
        if (running.size < sheet.slots) {
            running += run
        } else {
            if (waiting.size >= sheet.queue) return false
            waiting += run
        }
        if (!isStepping) {
            nowUs = queue.nowMs * US_PER_MS
            step()
        }
        return true
    }

    /** The connection of [run] closed. */
    fun cancel(run: EmulatedRun) {
        if (!waiting.remove(run) && running.remove(run)) admit()
    }

    private fun admit() {
        while (running.size < sheet.slots) running += waiting.removeFirstOrNull() ?: return
    }

    private fun step() {
        isStepping = running.isNotEmpty()
        if (!isStepping) return
        val batch = running.toList()
        val readMs = readChunk(batch)
        val contextTokens = batch.sumOf { it.readTokens + it.madeTokens }
        val decodeMs = sheet.stepMs + sheet.slotStepMs * batch.size +
            sheet.contextMsPerK * contextTokens / TOKENS_PER_K
        nowUs += (readMs + decodeMs) / speed * US_PER_MS
        queue.schedule(maxOf(queue.nowMs, ceil(nowUs / US_PER_MS).toLong())) { endStep(batch) }
    }

    /** Reads up to one chunk of the prompts in order; returns its time on the reference engine. */
    private fun readChunk(batch: List<EmulatedRun>): Double {
        var left = sheet.chunkTokens
        var tookMs = 0.0
        for (run in batch) {
            if (!run.isReading || left == 0) continue
            val tokens = minOf(left, run.promptTokens - run.readTokens)
            val pairs = tokens.toDouble() * (run.readTokens + tokens / 2.0)
            if (run.readTokens == 0) tookMs += sheet.firstMs
            tookMs += tokens / sheet.prefillTokensPerMs + sheet.pairMsPerM * pairs / PAIRS_PER_M
            run.readTokens += tokens
            left -= tokens
        }
        return tookMs
    }

    private fun endStep(batch: List<EmulatedRun>) {
        for (run in batch) {
            if (run.isReading || run !in running) continue
            run.madeTokens++
            val isLast = run.madeTokens >= run.outputTokens
            if (isLast) running -= run
            if (isLast || (run.madeTokens - 1) % sheet.tokensPerEvent == 0) run.onEvent(isLast)
        }
        admit()
        step()
    }

    private companion object {
        const val US_PER_MS = 1_000.0
        const val TOKENS_PER_K = 1_000.0
        const val PAIRS_PER_M = 1_000_000.0
    }
}

package cowslipcart.daemon.control

import cowslipcart.core.node.NodeController
import cowslipcart.core.node.NodeEffect
import cowslipcart.core.node.NodeInput
import java.util.concurrent.Executors
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.slf4j.LoggerFactory

/** Performs effects, one after the other in the order of the decisions, and must not block. */
internal fun interface EffectHandler {
    /** [decidedAtMs] is the time of control's decision by the clock of the process. */
    fun perform(effect: NodeEffect, decidedAtMs: Long)
}

/**
 * The control thread: owns the [NodeController] and is the only one to touch it. Everybody else
 * sends inputs.
 */
internal class ControlLoop(
    private val controller: NodeController,
    private val clock: RuntimeClock
) {
    private val log = LoggerFactory.getLogger(ControlLoop::class.java)
    private class Decision(val effects: List<NodeEffect>, val decidedAtMs: Long)

    private val inputs = Channel<NodeInput>(Channel.UNLIMITED)

    /**
     * Performed on a traffic thread: an effect usually wakes another thread, which takes longer
     * than the decision when all processors are busy.
     */
    private val decisions = Channel<Decision>(Channel.UNLIMITED)
    private val dispatcher = Executors.newSingleThreadExecutor { task ->
        Thread(task, "control").apply { isDaemon = true }
    }.asCoroutineDispatcher()

    @Volatile
    private var decidingNs = 0L

    @Volatile
    private var performingNs = 0L

    /** Time spent on inputs and their effects, for the processor budget. */
    val busyNs: Long get() = decidingNs + performingNs

    /** Queues an input; never blocks. */
    fun submit(input: NodeInput) {
        inputs.trySend(input)
    }

    /** Starts handling inputs and the tick in [scope]. */
    fun start(scope: CoroutineScope, handler: EffectHandler) {
        scope.launch(dispatcher) { for (input in inputs) handle(input) }
        scope.launch { for (decision in decisions) perform(decision, handler) }
        scope.launch(dispatcher) {
            while (isActive) {
                handle(NodeInput.Tick(clock.wallNowMs()))
                delay(TICK_INTERVAL_MS)
            }
        }
    }

    /** Awaits the number of open requests, read on the control thread. */
    suspend fun openRequestCount(): Int = withContext(dispatcher) { controller.openRequestCount }

    /** A fault in one input must not end the process: it is logged, and the next one is handled. */
    @Suppress("TooGenericExceptionCaught")
    private fun handle(input: NodeInput) {
        val startNs = clock.nowNs()
        try {
            val nowMs = clock.nowMs()
            val effects = controller.handle(input, nowMs)
            if (effects.isNotEmpty()) decisions.trySend(Decision(effects, nowMs))
        } catch (e: RuntimeException) {
            log.error("control input failed: {}", input.javaClass.simpleName, e)
        }
        decidingNs += clock.nowNs() - startNs
    }

    /** A fault in one effect must not hold back the others. */
    @Suppress("TooGenericExceptionCaught")
    private fun perform(decision: Decision, handler: EffectHandler) {
        val startNs = clock.nowNs()
        for (effect in decision.effects) {
            try {
                handler.perform(effect, decision.decidedAtMs)
            } catch (e: RuntimeException) {
                log.error("effect failed: {}", effect.javaClass.simpleName, e)
            }
        }
        performingNs += clock.nowNs() - startNs
    }

    private companion object {
        /** A little below the 25 ms between two batches of claims. */
        const val TICK_INTERVAL_MS = 20L
    }
}

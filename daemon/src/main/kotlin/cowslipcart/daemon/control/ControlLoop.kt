package cowslipcart.daemon.control

import cowslipcart.core.host.HostController
import cowslipcart.core.host.HostEffect
import cowslipcart.core.host.HostInput
import cowslipcart.daemon.catchFailure
import java.util.concurrent.Executors
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.slf4j.LoggerFactory

/**
 * Performs the effects of decisions. [ControlLoop] calls it for one effect at a time, in the order
 * of the decisions. Implementations must not block.
 */
internal fun interface EffectHandler {
    /** [decidedAtMs] is when the controller returned [effect], in ms since the process started. */
    fun perform(effect: HostEffect, decidedAtMs: Long)
}

/**
 * Runs the [HostController] on the control thread, the only thread that accesses it. All other
 * threads submit inputs.
 */
internal class ControlLoop(
    private val controller: HostController,
    private val clock: RuntimeClock
) {
    private val log = LoggerFactory.getLogger(ControlLoop::class.java)
    private class Decision(val effects: List<HostEffect>, val decidedAtMs: Long)

    private val inputs = Channel<HostInput>(Channel.UNLIMITED)

    /**
     * Decisions whose effects are still to be performed. A traffic thread performs them, not the
     * control thread: an effect usually wakes another thread, which takes longer than the decision
     * itself when all processors are busy.
     */
    private val decisions = Channel<Decision>(Channel.UNLIMITED)
    private val dispatcher = Executors.newSingleThreadExecutor { task ->
        Thread(task, "control").apply { isDaemon = true }
    }.asCoroutineDispatcher()

    @Volatile
    private var decidingNs = 0L

    @Volatile
    private var performingNs = 0L

    /** Total time in ns spent on inputs and their effects, to check the processor budget. */
    val busyNs: Long get() = decidingNs + performingNs

    /** Queues an input; never blocks. */
    fun submit(input: HostInput) {
        inputs.trySend(input)
    }

    /** Starts handling inputs and periodic ticks in [scope]; effects go to [handler]. */
    fun start(scope: CoroutineScope, handler: EffectHandler) {
        scope.launch(dispatcher) { for (input in inputs) handle(input) }
        scope.launch { for (decision in decisions) perform(decision, handler) }
        scope.launch(dispatcher) {
            while (isActive) {
                handle(HostInput.Tick(clock.wallNowMs()))
                delay(TICK_INTERVAL_MS)
            }
        }
    }

    /** Returns the number of open requests, read on the control thread. */
    suspend fun openRequestCount(): Int = withContext(dispatcher) { controller.openRequestCount }

    /** Logs a failure of the controller, so that it does not stop the handling of inputs. */
    private fun handle(input: HostInput) {
        val startNs = clock.nowNs()
        catchFailure {
            val nowMs = clock.nowMs()
            val effects = controller.handle(input, nowMs)
            if (effects.isNotEmpty()) decisions.trySend(Decision(effects, nowMs))
        }?.let { log.error("controller failed to handle input {}", input.javaClass.simpleName, it) }
        decidingNs += clock.nowNs() - startNs
    }

    /** Logs a failure of one effect and goes on with the next. */
    private fun perform(decision: Decision, handler: EffectHandler) {
        val startNs = clock.nowNs()
        for (effect in decision.effects) {
            catchFailure { handler.perform(effect, decision.decidedAtMs) }
                ?.let { log.error("failed to perform effect {}", effect.javaClass.simpleName, it) }
        }
        performingNs += clock.nowNs() - startNs
    }

    private companion object {
        /** Slightly shorter than the 25 ms between two batches of claims. */
        const val TICK_INTERVAL_MS = 20L
    }
}

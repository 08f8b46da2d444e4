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

/** Performs effects. Called on the control thread and must not block it. */
internal fun interface EffectHandler {
    fun perform(effect: NodeEffect)
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
    private val inputs = Channel<NodeInput>(Channel.UNLIMITED)
    private val dispatcher = Executors.newSingleThreadExecutor { task ->
        Thread(task, "control").apply { isDaemon = true }
    }.asCoroutineDispatcher()

    /** Time that the control thread spent on inputs, for the processor budget. */
    @Volatile
    var busyNs: Long = 0
        private set

    /** Queues an input; never blocks. */
    fun submit(input: NodeInput) {
        inputs.trySend(input)
    }

    /** Starts handling inputs and the tick in [scope]. */
    fun start(scope: CoroutineScope, handler: EffectHandler) {
        scope.launch(dispatcher) { for (input in inputs) handle(input, handler) }
        scope.launch(dispatcher) {
            while (isActive) {
                handle(NodeInput.Tick(clock.wallNowMs()), handler)
                delay(TICK_INTERVAL_MS)
            }
        }
    }

    /** Awaits the number of open requests, read on the control thread. */
    suspend fun openRequestCount(): Int = withContext(dispatcher) { controller.openRequestCount }

    /** A fault in one input must not end the process: it is logged, and the next one is handled. */
    @Suppress("TooGenericExceptionCaught")
    private fun handle(input: NodeInput, handler: EffectHandler) {
        val startNs = System.nanoTime()
        try {
            controller.handle(input, clock.nowMs()).forEach { handler.perform(it) }
        } catch (e: RuntimeException) {
            log.error("control input failed: {}", input.javaClass.simpleName, e)
        }
        busyNs += System.nanoTime() - startNs
    }

    private companion object {
        /** A little below the 25 ms between two batches of claims. */
        const val TICK_INTERVAL_MS = 20L
    }
}

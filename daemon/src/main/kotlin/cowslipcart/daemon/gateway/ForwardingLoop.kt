package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.ForwardingController
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.HostFigures
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.ReportPlan
import cowslipcart.core.model.HostId
import cowslipcart.daemon.control.RuntimeClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * The control thread of the gateway: owns the [ForwardingController] and is the only one to touch
 * it. Traffic sends inputs and receives commands.
 */
internal class ForwardingLoop(
    private val controller: ForwardingController,
    private val clock: RuntimeClock,
    private val log: DecisionJournal,
    private val publish: (HostFigures?, ReportPlan) -> Unit
) {
    private sealed interface Message {
        class Input(val input: ForwardingInput) : Message

        class HostsListed(val hosts: Map<HostId, HostProfile>) : Message
    }

    private val messages = Channel<Message>(Channel.UNLIMITED)
    private val commandsByCall = ConcurrentHashMap<CallId, Channel<CallCommand>>()
    private var reportDueMs = 0L
    private var tickDueMs = 0L
    private val dispatcher = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "control").apply { isDaemon = true }
    }.asCoroutineDispatcher()

    /** Queues an input; never blocks. */
    fun submit(input: ForwardingInput) {
        messages.trySend(Message.Input(input))
    }

    /** Tells control which hosts the platform lists. */
    fun submitHosts(hosts: Map<HostId, HostProfile>) {
        messages.trySend(Message.HostsListed(hosts))
    }

    /** Opens the channel on which control tells [call] what to do. */
    fun commandsFor(call: CallId): Channel<CallCommand> =
        Channel<CallCommand>(Channel.UNLIMITED).also { commandsByCall[call] = it }

    /** Nobody waits for commands to [call] any more. */
    fun forget(call: CallId) {
        commandsByCall -= call
    }

    fun start(scope: CoroutineScope) {
        scope.launch(dispatcher) {
            while (isActive) {
                val waitMs = minOf(controller.nextTickMs(), REPORT_INTERVAL_MS)
                when (val message = withTimeoutOrNull(waitMs) { messages.receive() }) {
                    null -> Unit

                    is Message.Input -> handle(message.input)

                    is Message.HostsListed ->
                        controller.onHostsListed(message.hosts, clock.nowMs())
                }
                tick()
                report()
            }
        }
    }

    private fun handle(input: ForwardingInput) {
        for (effect in controller.handle(input, clock.nowMs())) {
            log.write(effect)
            when (effect) {
                is ForwardingEffect.Command ->
                    commandsByCall[effect.call.id]?.trySend(effect.command)

                is ForwardingEffect.Belief -> Unit
            }
        }
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        if (nowMs < tickDueMs) return
        tickDueMs = nowMs + controller.nextTickMs()
        handle(ForwardingInput.Tick)
    }

    private fun report() {
        val nowMs = clock.nowMs()
        if (nowMs < reportDueMs) return
        reportDueMs = nowMs + REPORT_INTERVAL_MS
        publish(controller.figures(nowMs), controller.reportPlan(nowMs))
    }

    private companion object {
        /** Age of the figures on which other hosts decide, in ms. */
        const val REPORT_INTERVAL_MS = 200L
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardingController
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.HostLoadReport
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.QuarantineEffect
import cowslipcart.core.forwarding.RefusalReason
import cowslipcart.core.forwarding.ReportPlan
import cowslipcart.core.forwarding.StreamEffect
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.rollout.RolloutEffect
import cowslipcart.daemon.catchFailure
import cowslipcart.daemon.control.RuntimeClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/**
 * The control thread of the gateway. It alone accesses the [ForwardingController]; traffic
 * coroutines submit inputs and receive commands through channels.
 *
 * @property onSuspended called when the machine was suspended, before further inputs are handled
 * @property onRollout carries out decisions on roll-outs; never blocks
 * @property onQuarantine carries out changes of the stored quarantines; never blocks
 * @property onStream tells others of the versions of streams; never blocks
 * @property onReach told whether this host reaches endpoints itself, when that changes
 * @property onLost tells the other hosts of endpoints that can't be connected to; never blocks
 * @property onProbe tries to connect to an endpoint; never blocks
 * @property publish receives the load report of this host, null if there is none yet, and the plan
 * that says to which hosts it goes
 */
internal class ForwardingLoop(
    private val controller: ForwardingController,
    private val clock: RuntimeClock,
    private val eventLog: GatewayEventLog,
    private val metrics: GatewayMetrics,
    private val dispatcher: CoroutineDispatcher = controlThread(),
    private val onSuspended: () -> Unit = {},
    private val onRollout: (RolloutEffect) -> Unit = {},
    private val onQuarantine: (QuarantineEffect) -> Unit = {},
    private val onStream: (StreamEffect) -> Unit = {},
    private val onReach: (Boolean) -> Unit = {},
    private val onLost: (Set<EndpointId>) -> Unit = {},
    private val onProbe: (EndpointEntry) -> Unit = {},
    private val publish: (HostLoadReport?, ReportPlan) -> Unit
) {
    private sealed interface Message {
        class Input(val input: ForwardingInput) : Message

        class HostsListed(val hosts: Map<HostId, HostProfile>) : Message
    }

    private val messages = Channel<Message>(Channel.UNLIMITED)

    /** Load reports of other hosts, which the next message or tick finds here. */
    private val reports =
        Channel<HostLoadReport>(REPORT_CAPACITY, BufferOverflow.DROP_OLDEST)
    private val commandsByCall = ConcurrentHashMap<CallId, Channel<CallCommand>>()
    private val suspension = SuspensionDetector(clock)
    private var nextReportAtMs = 0L
    private var nextTickAtMs = 0L

    /** Bounds the rate of ticks for copies, also if a tick fails and its copy stays due. */
    private var nextCopyTickAtMs = 0L

    /** Queues an input; never blocks. */
    fun submit(input: ForwardingInput) {
        metrics.controlInputs.labelValues("submitted").inc()
        messages.trySend(Message.Input(input))
    }

    /**
     * Queues a load report of another host; never blocks. It doesn't wake the control thread, which
     * takes all reports before its next decision.
     */
    fun submitReport(report: HostLoadReport) {
        metrics.controlInputs.labelValues("submitted").inc()
        reports.trySend(report)
    }

    /** Queues the list of hosts that the platform lists; never blocks. */
    fun submitHosts(hosts: Map<HostId, HostProfile>) {
        messages.trySend(Message.HostsListed(hosts))
    }

    /** Registers [call] and returns the channel on which its commands arrive. */
    fun register(call: CallId): Channel<CallCommand> =
        Channel<CallCommand>(Channel.UNLIMITED).also { commandsByCall[call] = it }

    /** Unregisters [call]; later commands for it are dropped. */
    fun unregister(call: CallId) {
        commandsByCall -= call
    }

    /** Runs the loop on the control thread until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch(dispatcher) {
            while (isActive) {
                val next = messages.tryReceive().getOrNull() ?: awaitMessage()
                checkSuspension()
                handleReports()
                when (val message = next) {
                    null -> Unit

                    is Message.Input -> {
                        metrics.controlInputs.labelValues("handled").inc()
                        handle(message.input)
                    }

                    is Message.HostsListed -> guard("HostsListed") {
                        controller.onHostsListed(message.hosts, clock.nowMs())
                    }
                }
                tick()
                guard("report") { report() }
            }
        }
    }

    /** Returns the next message, or null when a tick or a report may be due. */
    private suspend fun awaitMessage(): Message? {
        val untilCopyMs = copyTickAtMs() - clock.nowMs()
        val waitMs = minOf(controller.nextTickMs(), REPORT_INTERVAL_MS)
            .coerceAtMost(maxOf(0, untilCopyMs))
        return messages.receiveOrNull(waitMs)
    }

    /** Handles the load reports that have arrived, as one input. */
    private fun handleReports() {
        val arrived = generateSequence { reports.tryReceive().getOrNull() }.toList()
        if (arrived.isEmpty()) return
        metrics.controlInputs.labelValues("handled").inc(arrived.size.toDouble())
        handle(ForwardingInput.PeersReported(arrived))
    }

    private fun checkSuspension() {
        val suspendedMs = suspension.takeSuspendedMs()
        if (suspendedMs == 0L) return
        eventLog.event("suspended", "forMs" to suspendedMs)
        // The list of endpoints is as old as it was, and the time of the suspension.
        handle(ForwardingInput.EndpointsKnown(Long.MIN_VALUE / 2, isStoreLost = false))
        onSuspended()
    }

    private fun handle(input: ForwardingInput) {
        var effects = emptyList<ForwardingEffect>()
        val isHandled = guard(input.javaClass.simpleName) {
            effects = controller.handle(input, clock.nowMs())
        }
        if (!isHandled) endWaiting(input)
        for (effect in effects) guard("effect") { perform(effect) }
    }

    private fun perform(effect: ForwardingEffect) {
        eventLog.write(effect)
        when (effect) {
            is ForwardingEffect.Command ->
                commandsByCall[effect.call.id]?.trySend(effect.command)

            is ForwardingEffect.LogStateChange -> Unit

            is ForwardingEffect.Rollout -> onRollout(effect.effect)

            is ForwardingEffect.Quarantine -> onQuarantine(effect.effect)

            is ForwardingEffect.Stream -> onStream(effect.effect)

            is ForwardingEffect.Probe -> onProbe(effect.endpoint)

            is ForwardingEffect.TellLost -> onLost(effect.endpoints)

            is ForwardingEffect.ReachChanged -> onReach(effect.isDirect)
        }
    }

    /** Ends the request that waits for a command in reply to [input], which was not handled. */
    private fun endWaiting(input: ForwardingInput) {
        val reason = RefusalReason.CONTROL_FAILED
        when (input) {
            is ForwardingInput.Arrived ->
                commandsByCall[input.call.id]?.trySend(CallCommand.Refuse(reason, null))

            is ForwardingInput.AttemptEnded ->
                commandsByCall[input.call]?.trySend(CallCommand.GiveUp(reason))

            is ForwardingInput.ResponseStarted,
            is ForwardingInput.AttemptStalled,
            is ForwardingInput.ConnectionTried,
            is ForwardingInput.EndpointLeaving,
            is ForwardingInput.BackoffRequested,
            is ForwardingInput.LoadStated,
            is ForwardingInput.DeclineLimitStated,
            is ForwardingInput.CallClosed,
            is ForwardingInput.RoutingChanged,
            is ForwardingInput.EndpointsChanged,
            is ForwardingInput.EndpointsKnown,
            is ForwardingInput.EndpointHeartbeats,
            is ForwardingInput.PeersReported,
            is ForwardingInput.EndpointsLost,
            is ForwardingInput.PeerLeft,
            is ForwardingInput.RolloutsChanged,
            is ForwardingInput.QuarantinesRead,
            is ForwardingInput.VersionsRead,
            is ForwardingInput.VersionsConfirmed,
            is ForwardingInput.VersionStored,
            ForwardingInput.StoreReplaced,
            is ForwardingInput.StreamsTold,
            is ForwardingInput.StreamAsked,
            ForwardingInput.Tick -> Unit
        }
    }

    /** Runs [step]; logs its failure, so that the loop goes on, and returns false then. */
    private fun guard(name: String, step: () -> Unit): Boolean {
        val failure = catchFailure(step) ?: return true
        val origin = failure.stackTrace.firstOrNull()
        eventLog.event("control-failed", "step" to name, "reason" to "$failure", "at" to "$origin")
        return false
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        if (nowMs < minOf(nextTickAtMs, copyTickAtMs())) return
        nextTickAtMs = nowMs + controller.nextTickMs()
        nextCopyTickAtMs = nowMs + MIN_COPY_TICK_MS
        handle(ForwardingInput.Tick)
    }

    private fun copyTickAtMs(): Long = maxOf(controller.nextCopyAtMs(), nextCopyTickAtMs)

    private fun report() {
        val nowMs = clock.nowMs()
        if (nowMs < nextReportAtMs) return
        nextReportAtMs = nowMs + REPORT_INTERVAL_MS
        publish(controller.loadReport(nowMs), controller.reportPlan(nowMs))
    }

    private companion object {
        fun controlThread(): CoroutineDispatcher =
            Executors.newSingleThreadScheduledExecutor { task ->
                Thread(task, "control").apply { isDaemon = true }
            }.asCoroutineDispatcher()

        /**
         * Interval of load reports, in ms; bounds the age of the loads on which other hosts decide.
         */
        const val REPORT_INTERVAL_MS = 200L

        /** Some seconds of the reports of several hundred hosts. */
        const val REPORT_CAPACITY = 4_096

        /** Delays a copy by less than the time that an answer takes, in ms. */
        const val MIN_COPY_TICK_MS = 5L
    }
}

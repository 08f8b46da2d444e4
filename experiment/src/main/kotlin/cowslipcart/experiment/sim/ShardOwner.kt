package cowslipcart.experiment.sim

import cowslipcart.core.capacity.CacheEvent
import cowslipcart.core.capacity.LoadReport
import cowslipcart.core.capacity.SchedulerDecision
import cowslipcart.core.capacity.ShardScheduler
import cowslipcart.core.model.HostId

/**
 * Runs one scheduler and delivers its decisions.
 *
 * @property isShared whether all hosts use this scheduler over the network; otherwise one host owns
 * it and calls it without delay or messages
 */
internal class ShardOwner(
    private val scheduler: ShardScheduler,
    val isShared: Boolean,
    private val run: RunContext,
    private val deliver: (HostId, SchedulerDecision) -> Unit
) {
    var isAlive = true
    private val delayMs = if (isShared) run.workload.delays.hostToOwnerMs else 0L

    /** Delivers [message] from an origin host after the network delay. */
    fun send(message: OwnerMessage) {
        if (isShared) run.recorder.controlBytes += ControlBytes.of(message)
        run.queue.scheduleIn(delayMs) { if (isAlive) receive(message) }
    }

    fun applyLoadReport(report: LoadReport) = decide { applyLoadReport(report, it) }

    fun applyCacheEvents(events: List<CacheEvent>) {
        if (isAlive) scheduler.applyCacheEvents(events, run.queue.nowMs)
    }

    fun dropOrigin(host: HostId) = decide { dropOrigin(host, it) }

    fun tick() = decide { tick(it) }

    private fun receive(message: OwnerMessage) {
        val nowMs = run.queue.nowMs
        when (message) {
            is OwnerMessage.Ask -> {
                val request = message.request
                run.recorder.add(
                    TraceEvent.Asked(
                        nowMs,
                        request.requestId,
                        request.origin,
                        request.tier,
                        request.isInterruptible
                    )
                )
                decide { submit(request, it) }
            }

            is OwnerMessage.CancelAsk -> decide { cancel(message.requestId, it) }

            is OwnerMessage.Released -> {
                run.recorder.add(TraceEvent.Released(nowMs, message.requestId))
                decide { release(message.report, it) }
            }

            is OwnerMessage.GaveWay -> {
                val resumeOn = message.resume?.resumeOn
                run.recorder.add(TraceEvent.GaveWay(nowMs, message.requestId, resumeOn))
                decide { onPreempted(message.report, message.resume, it) }
            }

            is OwnerMessage.Progress -> decide { applyProgress(message.reports, it) }

            is OwnerMessage.Running -> decide { adopt(message.running, it) }
        }
    }

    /** Calls the scheduler if this owner is alive; records and delivers its decisions. */
    private fun decide(action: ShardScheduler.(nowMs: Long) -> List<SchedulerDecision>) {
        if (!isAlive) return
        for (decision in scheduler.action(run.queue.nowMs)) {
            run.recorder.decisionCount++
            run.recorder.add(decision.toTraceEvent(run.queue.nowMs))
            if (isShared) run.recorder.controlBytes += ControlBytes.of(decision)
            run.queue.scheduleIn(delayMs) { deliver(decision.request.origin, decision) }
        }
    }
}

private fun SchedulerDecision.toTraceEvent(atMs: Long): TraceEvent = when (this) {
    is SchedulerDecision.Grant -> TraceEvent.Granted(atMs, request.requestId, endpoint)
    is SchedulerDecision.Refuse -> TraceEvent.Refused(atMs, request.requestId, reason)
    is SchedulerDecision.Preempt -> TraceEvent.GiveWayOrdered(atMs, request.requestId)
}

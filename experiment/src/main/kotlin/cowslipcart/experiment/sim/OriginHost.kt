package cowslipcart.experiment.sim

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.capacity.RunningGrant
import cowslipcart.core.capacity.SchedulerDecision
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import cowslipcart.experiment.workload.Arrival
import cowslipcart.standins.engine.CancelledStream
import cowslipcart.standins.engine.EngineEvent
import cowslipcart.standins.engine.EngineRequest

/**
 * Simulates an origin host: asks the shard owner for capacity, dispatches granted requests to
 * engines and follows each request from its arrival to its end.
 */
internal class OriginHost(val id: HostId, private val run: RunContext) {
    private val requests = LinkedHashMap<RequestId, OriginRequest>()
    private val recorder = run.recorder
    private val nowMs: Long get() = run.queue.nowMs

    /** Owner of the shard that this host currently sends to. */
    lateinit var owner: ShardOwner
    var isAlive = true
        private set

    fun accept(arrival: Arrival) {
        val request = OriginRequest(recorder.records.getValue(arrival.requestId), id)
        requests[request.id] = request
        run.queue.schedule(request.record.deadlineAtMs) { expire(request) }
        startWaiting(request, resumeOn = null)
        ask(request)
    }

    fun receive(decision: SchedulerDecision) {
        if (!isAlive) return
        val request = requests[decision.request.requestId]
        when (decision) {
            is SchedulerDecision.Grant -> dispatchGranted(request, decision)

            is SchedulerDecision.Refuse -> if (request?.phase is Phase.Waiting) {
                end(request, Outcome.Refused(decision.reason))
            }

            is SchedulerDecision.Preempt -> {
                val running = request?.phase as? Phase.Running
                if (running?.grantId == decision.grantId) cancelStream(request, running)
            }
        }
    }

    fun receive(event: EngineEvent) {
        if (!isAlive) return
        when (event) {
            is EngineEvent.Token -> requests[event.requestId]?.let { receiveToken(it, event) }
            is EngineEvent.Finished -> requests[event.requestId]?.let { finish(it, event) }
            is EngineEvent.Crashed, is EngineEvent.OrderApplied -> Unit
        }
    }

    /** Reports the output tokens of all running streams to the owner. */
    fun sendProgress() {
        val reports = requests.values.mapNotNull { request ->
            (request.phase as? Phase.Running)?.let {
                GrantProgress(it.grantId, request.record.receivedTokens - it.receivedBefore)
            }
        }
        if (isAlive && reports.isNotEmpty()) owner.send(OwnerMessage.Progress(reports))
    }

    /** Reports running grants to [newOwner] and asks it again for all waiting requests. */
    fun changeOwner(newOwner: ShardOwner) {
        owner = newOwner
        if (!isAlive) return
        val running = requests.values.mapNotNull { request ->
            (request.phase as? Phase.Running)?.let {
                val receivedTokens = request.record.receivedTokens - it.receivedBefore
                RunningGrant(
                    it.grantId,
                    it.endpoint,
                    request.toCapacityRequest(nowMs, null),
                    receivedTokens
                )
            }
        }
        owner.send(OwnerMessage.Running(running))
        requests.values.filter { it.phase is Phase.Waiting }.forEach(::ask)
    }

    /** Ends this host; engines cancel its streams when they notice the closed connections. */
    fun kill() {
        isAlive = false
        for (request in requests.values) {
            (request.phase as? Phase.Running)?.let { running ->
                run.queue.scheduleIn(run.workload.delays.hostToEngineMs) {
                    run.engine(running.endpoint).call { cancel(request.id, it) }
                        .onRight { countCancelledReads(request, running, it) }
                }
            }
            recorder.recordEnd(request.record, Outcome.Lost)
        }
        requests.clear()
    }

    private fun startWaiting(request: OriginRequest, resumeOn: EndpointId?) {
        val waiting = Phase.Waiting(resumeOn)
        request.phase = waiting
        scheduleNextAsk(request, waiting)
    }

    /** Repeats the ask every [ASK_INTERVAL_MS] while [request] stays in the phase [waiting]. */
    private fun scheduleNextAsk(request: OriginRequest, waiting: Phase.Waiting) {
        run.queue.scheduleIn(ASK_INTERVAL_MS) {
            if (isWaiting(request, waiting)) {
                ask(request)
                scheduleNextAsk(request, waiting)
            }
        }
    }

    private fun isWaiting(request: OriginRequest, waiting: Phase.Waiting): Boolean =
        isAlive && request.id in requests && request.phase === waiting

    private fun ask(request: OriginRequest) {
        val resumeOn = (request.phase as? Phase.Waiting)?.resumeOn
        owner.send(OwnerMessage.Ask(request.toCapacityRequest(nowMs, resumeOn)))
    }

    /** Dispatches or resumes [request]; releases the grant unused if it no longer waits. */
    private fun dispatchGranted(request: OriginRequest?, grant: SchedulerDecision.Grant) {
        val waiting = request?.phase as? Phase.Waiting
        if (waiting == null) {
            val report = GrantReport(grant.grantId, GrantEnd.UNUSED, 0, 0, 0, null, 0)
            owner.send(OwnerMessage.Released(grant.request.requestId, report))
            return
        }
        val record = request.record
        val isResume = waiting.resumeOn != null
        recorder.add(TraceEvent.Dispatched(nowMs, request.id, grant.endpoint, isResume))
        val running =
            Phase.Running(grant.grantId, grant.endpoint, nowMs, record.receivedTokens)
        request.phase = running
        if (isResume) {
            resumeStream(request, running)
        } else {
            startStream(request, running)
        }
    }

    private fun startStream(request: OriginRequest, running: Phase.Running) {
        val arrival = request.record.arrival
        request.record.cachedAnywhereTokens = run.longestCachedPrefix(arrival.prefixBlocks)
        val engineRequest = EngineRequest(
            request.id,
            arrival.promptTokens,
            arrival.outputTokens,
            arrival.prefixBlocks
        )
        run.queue.scheduleIn(run.workload.delays.hostToEngineMs) {
            run.engine(running.endpoint).call { submit(engineRequest, it) }
                .onLeft { failStream(request, running) }
        }
    }

    private fun resumeStream(request: OriginRequest, running: Phase.Running) {
        run.queue.scheduleIn(run.workload.delays.hostToEngineMs) {
            run.engine(running.endpoint)
                .call { resume(request.id, request.record.receivedTokens, it) }
                .onLeft { failStream(request, running) }
        }
    }

    private fun failStream(request: OriginRequest, running: Phase.Running) {
        if (!isAlive || request.phase !== running) return
        val report = request.report(running, GrantEnd.FAILED, 0, 0, nowMs)
        owner.send(OwnerMessage.Released(request.id, report))
        end(request, Outcome.Unknown)
    }

    /** Records a token; ignores tokens out of sequence or after the deadline. */
    private fun receiveToken(request: OriginRequest, token: EngineEvent.Token) {
        if (request.isExpired || token.sequence != request.record.receivedTokens) return
        (request.phase as? Phase.Running)?.let {
            it.firstTokenMs = it.firstTokenMs ?: (nowMs - it.dispatchedAtMs)
        }
        recorder.recordToken(request.record, nowMs)
    }

    private fun finish(request: OriginRequest, event: EngineEvent.Finished) {
        val running = request.phase as? Phase.Running ?: return
        val record = request.record
        val isFirstRead = running.receivedBefore == 0
        val readTokens = event.prefillTokens - event.cachedTokens
        if (isFirstRead) countFirstRead(record, readTokens, event.cachedTokens)
        record.readTokens += event.rereadTokens
        record.rereadTokens += event.rereadTokens
        val contextTokens = event.prefillTokens + running.receivedBefore
        val cachedTokens = if (isFirstRead) {
            event.cachedTokens
        } else {
            (contextTokens - event.rereadTokens).coerceAtLeast(0)
        }
        val report =
            request.report(running, GrantEnd.COMPLETED, contextTokens, cachedTokens, nowMs)
        owner.send(OwnerMessage.Released(request.id, report))
        end(request, if (request.isExpired) Outcome.MissedDeadline else Outcome.Answered)
    }

    private fun expire(request: OriginRequest) {
        if (!isAlive || request.id !in requests) return
        when (val phase = request.phase) {
            is Phase.Waiting -> {
                recorder.add(TraceEvent.Expired(nowMs, request.id))
                owner.send(OwnerMessage.CancelAsk(request.id))
                end(request, Outcome.ExpiredWaiting)
            }

            is Phase.Running -> {
                request.isExpired = true
                cancelStream(request, phase)
            }
        }
    }

    /** Cancels the stream; if it finishes before the cancel arrives, it counts as finished. */
    private fun cancelStream(request: OriginRequest, running: Phase.Running) {
        if (running.isCancelling) return
        running.isCancelling = true
        val delayMs = run.workload.delays.hostToEngineMs
        run.queue.scheduleIn(delayMs) {
            run.engine(running.endpoint).call { cancel(request.id, it) }.onRight { cancelled ->
                run.queue.scheduleIn(delayMs) { confirmCancel(request, running, cancelled) }
            }
        }
    }

    private fun confirmCancel(
        request: OriginRequest,
        running: Phase.Running,
        cancelled: CancelledStream
    ) {
        if (!isAlive || request.phase !== running) return
        countCancelledReads(request, running, cancelled)
        val report = request.report(
            running,
            GrantEnd.CANCELLED,
            cancelled.prefillTokens,
            cancelled.cachedTokens.coerceAtMost(cancelled.prefillTokens),
            nowMs
        )
        if (request.isExpired) {
            owner.send(OwnerMessage.Released(request.id, report))
            end(request, Outcome.MissedDeadline)
        } else {
            onPreempted(request, running, report)
        }
    }

    /** Reports the preempted stream to the owner and waits to resume it if its engine can do so. */
    private fun onPreempted(request: OriginRequest, running: Phase.Running, report: GrantReport) {
        request.record.gaveWayCount++
        if (run.engine(running.endpoint).group.canResume) {
            startWaiting(request, resumeOn = running.endpoint)
            val resume = request.toCapacityRequest(nowMs, running.endpoint)
            owner.send(OwnerMessage.GaveWay(request.id, report, resume))
        } else {
            owner.send(OwnerMessage.GaveWay(request.id, report, resume = null))
            end(request, Outcome.Unknown)
        }
    }

    /** Counts the prompt tokens read for a cancelled stream, unless its grant resumed a stream. */
    private fun countCancelledReads(
        request: OriginRequest,
        running: Phase.Running,
        cancelled: CancelledStream
    ) {
        if (running.receivedBefore > 0) return
        val readTokens = (cancelled.prefillTokens - cancelled.cachedTokens).coerceAtLeast(0)
        countFirstRead(request.record, readTokens, cancelled.cachedTokens)
    }

    /** Counts prompt tokens read for the first time; those cached on another engine are missed. */
    private fun countFirstRead(record: RequestRecord, readTokens: Int, cachedTokens: Int) {
        record.readTokens += readTokens
        record.reusedTokens += cachedTokens
        val missedTokens = (record.cachedAnywhereTokens - cachedTokens).coerceIn(0, readTokens)
        record.missedCacheTokens += missedTokens
    }

    private fun end(request: OriginRequest, outcome: Outcome) {
        requests -= request.id
        recorder.recordEnd(request.record, outcome)
    }

    private companion object {
        const val ASK_INTERVAL_MS = 500L
    }
}

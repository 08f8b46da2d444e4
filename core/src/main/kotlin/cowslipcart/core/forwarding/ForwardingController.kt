package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.routing.isRetryable
import kotlin.random.Random

/** Decides what happens to each request of this host. Confined to the control thread. */
public interface ForwardingController {
    /** Handles [input] at [nowMs] of the monotonic clock and returns the decisions. */
    public fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect>

    /** Time until the next [ForwardingInput.Tick] is due, in ms. */
    public fun nextTickMs(): Long

    /** Returns the load report for the other hosts, or null if none is due. */
    public fun loadReport(nowMs: Long): HostLoadReport?

    /** Returns to which hosts this one sends and relays load reports. */
    public fun reportPlan(nowMs: Long): ReportPlan

    /** Takes the platform's list of hosts. */
    public fun onHostsListed(hosts: Map<HostId, HostProfile>, nowMs: Long)
}

/** Returns a controller without configuration and endpoints; [random] is for spreading load. */
public fun createForwardingController(
    settings: ForwardingSettings,
    random: Random
): ForwardingController = DefaultForwardingController(settings, random)

private class DefaultForwardingController(
    private val settings: ForwardingSettings,
    private val random: Random
) : ForwardingController {
    private val cacheIndex = PrefixCacheIndex()
    private val endpoints = EndpointRegistry(cacheIndex)
    private val placement = Placement(cacheIndex, settings.profile.domain, random)
    private val hostRegistry = HostRegistry(settings.host, settings.profile)
    private val quotas = QuotaRegistry(if (settings.isFirstStart) 1.0 else RESTART_QUOTA_SHARE)
    private val quarantine = CrashQuarantine(settings.host)
    private val reporter = LoadReporter(settings, endpoints, quotas, quarantine)
    private val retries = RetryRule(settings, quarantine) { hostRegistry.knownCount }
    private val calls = mutableMapOf<CallId, CallState>()
    private val waiting = mutableListOf<CallState>()
    private val effects = mutableListOf<ForwardingEffect>()
    private var routingTable: RoutingTable? = null

    override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> {
        when (input) {
            is ForwardingInput.Arrived -> onArrived(input.call, nowMs)
            is ForwardingInput.ResponseStarted -> onResponseStarted(input, nowMs)
            is ForwardingInput.AttemptStalled -> onAttemptStalled(input, nowMs)
            is ForwardingInput.AttemptEnded -> onAttemptEnded(input, nowMs)
            is ForwardingInput.CallClosed -> onCallClosed(input.call)
            is ForwardingInput.RoutingChanged -> onRouting(input.table, nowMs)
            is ForwardingInput.EndpointsChanged -> effects += endpoints.onEntries(input.entries)
            is ForwardingInput.PeerReported -> onPeerReport(input.report, nowMs)
            is ForwardingInput.PeerLeft -> onPeerLeft(input.host, nowMs)
            ForwardingInput.Tick -> onTick(nowMs)
        }
        effects += quarantine.takeChanges()
        placeWaiting(nowMs)
        return effects.toList().also { effects.clear() }
    }

    override fun nextTickMs(): Long = if (waiting.isEmpty()) IDLE_TICK_MS else WAITING_TICK_MS

    override fun loadReport(nowMs: Long): HostLoadReport? = reporter.next(nowMs)

    override fun reportPlan(nowMs: Long): ReportPlan = hostRegistry.plan(nowMs)

    override fun onHostsListed(hosts: Map<HostId, HostProfile>, nowMs: Long) =
        hostRegistry.onListed(hosts, nowMs)

    private fun onArrived(call: ForwardedCall, nowMs: Long) {
        val state = CallState(call)
        retries.recordRequest(call.pool, nowMs)
        when (val admission = quotas.tryTake(call, hostRegistry.counts(nowMs), nowMs)) {
            is SharedQuota.Admission.Later -> {
                val spread = random.nextDouble()
                val afterMs =
                    AdmissionRule.quotaRetryAfterMs(call, admission.waitMs, spread, nowMs)
                refuse(state, RefusalReason.OVER_QUOTA, afterMs, nowMs)
            }

            SharedQuota.Admission.Taken -> {
                calls[call.id] = state
                enqueue(state)
            }
        }
    }

    private fun enqueue(state: CallState) {
        val position = waiting.indexOfFirst { waitingOrder.compare(it, state) > 0 }
        if (position < 0) waiting += state else waiting.add(position, state)
    }

    private fun placeWaiting(nowMs: Long) {
        var index = 0
        while (index < waiting.size) {
            if (tryPlace(waiting[index], nowMs)) waiting.removeAt(index) else index++
        }
    }

    /** Dispatches [state], or ends it if it may not wait longer; returns false if it waits on. */
    private fun tryPlace(state: CallState, nowMs: Long): Boolean {
        val call = state.call
        if (!state.hasTimeForAttempt(nowMs)) {
            end(state, RefusalReason.OUT_OF_TIME, null, nowMs)
            return true
        }
        if (quarantine.isQuarantined(call, nowMs)) {
            end(state, RefusalReason.QUARANTINED, null, nowMs)
            return true
        }
        val inPool = endpoints.inPool(call.pool)
        val result = placement.choose(call, inPool, state.tried, hostRegistry.topology, nowMs)
        return when (result) {
            is PlacementResult.Found -> {
                dispatch(state, result, nowMs)
                true
            }

            PlacementResult.None -> {
                end(state, RefusalReason.NO_ENDPOINT, retryAfterMs(call, nowMs), nowMs)
                true
            }

            PlacementResult.Full -> {
                val isOver = nowMs >= state.waitUntilMs
                if (isOver) end(state, RefusalReason.OVERLOADED, retryAfterMs(call, nowMs), nowMs)
                isOver
            }
        }
    }

    private fun dispatch(state: CallState, selected: PlacementResult.Found, nowMs: Long) {
        selected.endpoint.onDispatched(selected.prefillTokens)
        state.tried += selected.endpoint.entry.id
        state.sentCount++
        state.current = CurrentAttempt(
            state.sentCount,
            selected.endpoint,
            selected.prefillTokens,
            selected.firstTokenMs,
            nowMs
        )
        quarantine.onDispatched(state.call, nowMs)
        reporter.onChange()
        emitCommand(state, CallCommand.Dispatch(selected.endpoint.entry, state.sentCount), nowMs)
    }

    /** Returns the attempt [number] of [call] if it is in flight and was not replaced. */
    private fun attemptInFlight(call: CallId, number: Int): CurrentAttempt? =
        calls[call]?.current?.takeIf { it.number == number }

    private fun onResponseStarted(input: ForwardingInput.ResponseStarted, nowMs: Long) {
        val state = calls[input.call] ?: return
        val attempt = attemptInFlight(input.call, input.attempt) ?: return
        attempt.hasStarted = true
        attempt.endpoint.onResponseStarted(attempt.prefillTokens)
        quarantine.onResponseStarted(state.call, nowMs)
        val speed = attempt.endpoint.speed
        val expectedMs = attempt.expectedFirstTokenMs / speed.firstTokenFactor
        speed.onFirstToken(expectedMs, nowMs - attempt.sentAtMs)
        attempt.prefillTokens = 0
        if (state.call.prompt.isNotEmpty()) {
            cacheIndex.record(state.call.prompt, attempt.endpoint.entry.id, nowMs)
            reporter.onPrefilled(state.call.prompt, attempt.endpoint.entry.id)
        }
    }

    private fun onAttemptEnded(input: ForwardingInput.AttemptEnded, nowMs: Long) {
        val state = calls[input.call] ?: return
        val attempt = attemptInFlight(input.call, input.attempt) ?: return
        state.current = null
        attempt.endpoint.onEnded(attempt.prefillTokens)
        val tokensPerEvent = routingTable?.pool(state.call.pool)?.tokensPerEvent ?: 0
        attempt.endpoint.speed.onStream(input.gapCount * tokensPerEvent, input.gapDurationMs)
        reporter.onChange()
        when (val outcome = input.outcome) {
            is AttemptOutcome.Answered -> onAnswered(state, attempt, outcome, nowMs)

            is AttemptOutcome.Declined -> onDeclined(state, attempt, outcome, nowMs)

            is AttemptOutcome.NotSent -> onNotSent(state, attempt, nowMs)

            is AttemptOutcome.Broken -> {
                onUnanswered(state, attempt, outcome, nowMs)
                retry(state, RefusalReason.MAY_HAVE_RUN, nowMs)
            }
        }
    }

    private fun onAnswered(
        state: CallState,
        attempt: CurrentAttempt,
        outcome: AttemptOutcome.Answered,
        nowMs: Long
    ) {
        state.mayHaveRun = true
        quarantine.onAnswered(state.call)
        if (outcome.isSuccess) {
            attempt.endpoint.health.onSuccess()
            calls -= state.call.id
        } else {
            attempt.endpoint.health.onFailure(nowMs)
            retry(state, RefusalReason.MAY_HAVE_RUN, nowMs)
        }
    }

    private fun onDeclined(
        state: CallState,
        attempt: CurrentAttempt,
        outcome: AttemptOutcome.Declined,
        nowMs: Long
    ) {
        when (outcome.reason) {
            DeclineReason.FULL -> Unit

            DeclineReason.WRONG_ENDPOINT -> {
                attempt.endpoint.health.onUnreachable(nowMs)
                cacheIndex.forget(attempt.endpoint.entry.id)
            }
        }
        retry(state, RefusalReason.DECLINED, nowMs)
    }

    private fun onNotSent(state: CallState, attempt: CurrentAttempt, nowMs: Long) {
        attempt.endpoint.health.onUnreachable(nowMs)
        state.sentCount--
        state.connectFailures++
        if (state.connectFailures > MAX_CONNECT_FAILURES) {
            end(state, RefusalReason.NOT_SENT, retryAfterMs(state.call, nowMs), nowMs)
        } else {
            requeue(state, nowMs)
        }
    }

    private fun onUnanswered(
        state: CallState,
        attempt: CurrentAttempt,
        outcome: AttemptOutcome.Broken,
        nowMs: Long
    ) {
        state.mayHaveRun = true
        attempt.endpoint.health.onFailure(nowMs)
        quarantine.onBroken(state.call, attempt, outcome, nowMs)
    }

    /**
     * Replaces the attempt at a silent endpoint if another endpoint takes the request at once. A
     * silent endpoint may still answer, so the attempt goes on otherwise.
     */
    private fun onAttemptStalled(input: ForwardingInput.AttemptStalled, nowMs: Long) {
        val state = calls[input.call] ?: return
        val attempt = attemptInFlight(input.call, input.attempt) ?: return
        val call = state.call
        if (!call.route.kind.isRetryable || !retries.isAllowed(state, nowMs)) return
        val inPool = endpoints.inPool(call.pool)
        val result = placement.choose(call, inPool, state.tried, hostRegistry.topology, nowMs)
        val selected = result as? PlacementResult.Found ?: return
        val isWorthwhile = !selected.endpoint.health.isEjected(nowMs) &&
            selected.firstTokenMs < state.remainingMs(nowMs)
        if (!isWorthwhile || !retries.trySpend(call.pool, nowMs)) return
        attempt.endpoint.onEnded(attempt.prefillTokens)
        onUnanswered(state, attempt, STALLED, nowMs)
        dispatch(state, selected, nowMs)
    }

    /** Queues the request for another endpoint if a retry is allowed, or ends it for [reason]. */
    private fun retry(state: CallState, reason: RefusalReason, nowMs: Long) {
        val call = state.call
        if (retries.isAllowed(state, nowMs) && retries.trySpend(call.pool, nowMs)) {
            requeue(state, nowMs)
        } else {
            end(state, reason, retryAfterMs(call, nowMs), nowMs)
        }
    }

    private fun requeue(state: CallState, nowMs: Long) {
        state.waitUntilMs = maxOf(state.waitUntilMs, nowMs + RETRY_WAIT_MS)
        enqueue(state)
    }

    /** Refuses the request for [reason] if it certainly has not run, else gives it up. */
    private fun end(state: CallState, reason: RefusalReason, retryAfterMs: Long?, nowMs: Long) {
        calls -= state.call.id
        if (state.mayHaveRun) {
            emitCommand(state, CallCommand.GiveUp(RefusalReason.MAY_HAVE_RUN), nowMs)
        } else {
            quotas.giveBack(state.call)
            refuse(state, reason, retryAfterMs, nowMs)
        }
    }

    private fun refuse(state: CallState, reason: RefusalReason, retryAfterMs: Long?, nowMs: Long) =
        emitCommand(state, CallCommand.Refuse(reason, retryAfterMs), nowMs)

    private fun emitCommand(state: CallState, command: CallCommand, nowMs: Long) {
        val counts = hostRegistry.counts(nowMs)
        val inPool = endpoints.inPool(state.call.pool)
        val context = DecisionContext(
            revision = routingTable?.revision?.value ?: 0,
            freeSlots = inPool.sumOf { it.freeSlots.coerceAtLeast(0).toLong() },
            slotCount = inPool.sumOf { it.entry.slotCount.toLong() },
            liveHosts = counts.live,
            knownHosts = counts.known,
            waitedMs = nowMs - state.call.arrivedAtMs,
            unitsAsked = quotas.costOf(state.call).toLong(),
            unitsLeft = quotas.unitsLeft(state.call)
        )
        effects += ForwardingEffect.Command(state.call, command, context)
    }

    private fun retryAfterMs(call: ForwardedCall, nowMs: Long): Long? =
        AdmissionRule.retryAfterMs(call, random.nextDouble(), nowMs)

    private fun onCallClosed(id: CallId) {
        val state = calls.remove(id) ?: return
        state.current?.let { it.endpoint.onEnded(it.prefillTokens) }
        waiting -= state
        reporter.onChange()
    }

    private fun onRouting(next: RoutingTable, nowMs: Long) {
        val current = routingTable
        if (current != null && next.revision <= current.revision) return
        routingTable = next
        quotas.onOrganisations(next.organisations, nowMs)
        effects += ForwardingEffect.LogStateChange(
            "routing",
            "revision ${next.revision}",
            "${next.routeCount} routes, previous revision ${current?.revision ?: "none"}"
        )
    }

    private fun onPeerReport(report: HostLoadReport, nowMs: Long) {
        val status = hostRegistry.onReport(report, nowMs)
        if (status == ReportStatus.OUTDATED) return
        val isRestarted = status == ReportStatus.RESTARTED
        if (isRestarted) {
            val reason = "incarnation ${report.incarnation}"
            effects += ForwardingEffect.LogStateChange(report.host.value, "host-started", reason)
        }
        endpoints.onPeerLoads(report.host, report.loads)
        endpoints.onTokenTimes(report.msPerToken)
        quotas.onPeerUse(report.host, report.unitsUsed, isRestarted)
        quarantine.onPeerReport(report, isRestarted, nowMs)
        for (read in report.prefilledParts) {
            cacheIndex.record(listOf(PromptPart(read.part, 0)), read.endpoint, nowMs)
        }
    }

    private fun onPeerLeft(host: HostId, nowMs: Long) {
        hostRegistry.onLeft(host, nowMs)
        endpoints.onPeerLoads(host, emptyMap())
        effects += ForwardingEffect.LogStateChange(host.value, "host-left", "graceful shutdown")
    }

    private fun onTick(nowMs: Long) {
        for (host in hostRegistry.silentHosts(nowMs)) endpoints.onPeerLoads(host, emptyMap())
        for (host in hostRegistry.forgetGone(nowMs)) {
            effects += ForwardingEffect.LogStateChange(host.value, "host-gone", "silent")
        }
    }

    private companion object {
        /** The call's tier comes first; the rank of its route in the pool breaks ties. */
        val waitingOrder: Comparator<CallState> =
            compareBy({ it.call.tier }, { it.call.rankInPool })

        /** Outcome of an attempt that another one replaces, since its endpoint is silent. */
        val STALLED = AttemptOutcome.Broken("stalled", isConnectionLost = false)

        /** Share of the burst that a restarted host starts with; others may have used the limit. */
        const val RESTART_QUOTA_SHARE = 0.3

        /** Connections that fail before a request is refused. */
        const val MAX_CONNECT_FAILURES = 4

        /** Time for which a retry may wait for a slot, in ms. */
        const val RETRY_WAIT_MS = 150L
        const val IDLE_TICK_MS = 500L

        /** Short, because slots are freed by other hosts without a message to this one, in ms. */
        const val WAITING_TICK_MS = 20L
    }
}

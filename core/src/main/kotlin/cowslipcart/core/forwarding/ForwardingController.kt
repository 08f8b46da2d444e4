package cowslipcart.core.forwarding

import cowslipcart.core.limits.RetryBudget
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.routing.isRetryable
import kotlin.random.Random

/**
 * Settings of a [ForwardingController].
 *
 * @property isFirstStart whether the whole system starts for the first time, so that no host has
 * used the limits of organisations yet
 * @property retryBudgetShare retries allowed to all hosts together, as a share of the requests
 * @property retryBudgetSlack retries allowed to all hosts together while requests are few
 */
public data class ForwardingSettings(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val profile: HostProfile,
    public val isFirstStart: Boolean,
    public val retryBudgetShare: Double,
    public val retryBudgetSlack: Int
)

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
    private val quarantine = QuarantineTracker()
    private val reporter = LoadReporter(settings, endpoints, quotas, quarantine)
    private val retryBudgets = mutableMapOf<PoolId, RetryBudget>()
    private val calls = mutableMapOf<CallId, CallState>()
    private val waiting = mutableListOf<CallState>()
    private val effects = mutableListOf<ForwardingEffect>()
    private var routingTable: RoutingTable? = null

    override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> {
        when (input) {
            is ForwardingInput.Arrived -> onArrived(input.call, nowMs)
            is ForwardingInput.ResponseStarted -> onResponseStarted(input.call, nowMs)
            is ForwardingInput.AttemptEnded -> onAttemptEnded(input, nowMs)
            is ForwardingInput.CallClosed -> onCallClosed(input.call)
            is ForwardingInput.RoutingChanged -> onRouting(input.table, nowMs)
            is ForwardingInput.EndpointsChanged -> effects += endpoints.onEntries(input.entries)
            is ForwardingInput.PeerReported -> onPeerReport(input.report, nowMs)
            is ForwardingInput.PeerLeft -> onPeerLeft(input.host)
            ForwardingInput.Tick -> onTick(nowMs)
        }
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
        retryBudget(call.pool).recordRequest(nowMs)
        if (quarantine.isQuarantined(call.fingerprint)) {
            refuse(state, RefusalReason.QUARANTINED, null, nowMs)
            return
        }
        when (val admission = quotas.tryTake(call, hostRegistry.counts(nowMs), nowMs)) {
            is SharedQuota.Admission.Later -> {
                val afterMs =
                    AdmissionRule.quotaRetryAfterMs(
                        call,
                        admission.waitMs,
                        random.nextDouble(),
                        nowMs
                    )
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
        if (state.remainingMs(nowMs) < MIN_ATTEMPT_MS) {
            end(state, RefusalReason.OUT_OF_TIME, null, nowMs)
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
        state.current =
            CurrentAttempt(
                selected.endpoint,
                selected.prefillTokens,
                selected.firstTokenMs,
                nowMs
            )
        state.tried += selected.endpoint.entry.id
        state.sentCount++
        reporter.onChange()
        emitCommand(state, CallCommand.Dispatch(selected.endpoint.entry, state.sentCount), nowMs)
    }

    private fun onResponseStarted(id: CallId, nowMs: Long) {
        val state = calls[id] ?: return
        val attempt = state.current ?: return
        attempt.endpoint.onResponseStarted(attempt.prefillTokens)
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
        val attempt = state.current ?: return
        state.current = null
        attempt.endpoint.onEnded(attempt.prefillTokens)
        val tokensPerEvent = routingTable?.pool(state.call.pool)?.tokensPerEvent ?: 0
        attempt.endpoint.speed.onStream(input.gapCount * tokensPerEvent, input.gapDurationMs)
        reporter.onChange()
        when (val outcome = input.outcome) {
            is AttemptOutcome.Answered -> onAnswered(state, attempt, outcome, nowMs)
            is AttemptOutcome.Declined -> onDeclined(state, attempt, outcome, nowMs)
            is AttemptOutcome.NotSent -> onNotSent(state, attempt, nowMs)
            is AttemptOutcome.Broken -> onBroken(state, attempt, nowMs)
        }
    }

    private fun onAnswered(
        state: CallState,
        attempt: CurrentAttempt,
        outcome: AttemptOutcome.Answered,
        nowMs: Long
    ) {
        state.mayHaveRun = true
        quarantine.onAnswered(state.call.fingerprint)
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

    private fun onBroken(state: CallState, attempt: CurrentAttempt, nowMs: Long) {
        state.mayHaveRun = true
        attempt.endpoint.health.onFailure(nowMs)
        quarantine.onOwnCrash(state.call.fingerprint, attempt.endpoint.entry.id)
        retry(state, RefusalReason.MAY_HAVE_RUN, nowMs)
    }

    /** Queues the request for another endpoint if a retry is allowed, or ends it for [reason]. */
    private fun retry(state: CallState, reason: RefusalReason, nowMs: Long) {
        val call = state.call
        val isAllowed = (!state.mayHaveRun || call.route.kind.isRetryable) &&
            state.sentCount < call.route.maxAttempts &&
            state.remainingMs(nowMs) >= MIN_ATTEMPT_MS &&
            !quarantine.isQuarantined(call.fingerprint) &&
            retryBudget(call.pool).trySpend(nowMs)
        if (isAllowed) {
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
            quarantine.onPeerRestarted(report.host)
            val reason = "incarnation ${report.incarnation}"
            effects += ForwardingEffect.LogStateChange(report.host.value, "host-started", reason)
        }
        endpoints.onPeerLoads(report.host, report.loads)
        endpoints.onTokenTimes(report.msPerToken)
        quotas.onPeerUse(report.host, report.unitsUsed, isRestarted)
        quarantine.onPeerNotices(report.host, report.crashes)
        for (read in report.prefilledParts) {
            cacheIndex.record(listOf(PromptPart(read.part, 0)), read.endpoint, nowMs)
        }
    }

    private fun onPeerLeft(host: HostId) {
        hostRegistry.onLeft(host)
        endpoints.onPeerLoads(host, emptyMap())
        effects += ForwardingEffect.LogStateChange(host.value, "host-left", "graceful shutdown")
    }

    private fun onTick(nowMs: Long) {
        for (host in hostRegistry.silentHosts(nowMs)) endpoints.onPeerLoads(host, emptyMap())
        for (host in hostRegistry.forgetGone(nowMs)) {
            effects += ForwardingEffect.LogStateChange(host.value, "host-gone", "silent")
        }
    }

    private fun retryBudget(pool: PoolId): RetryBudget = retryBudgets.getOrPut(pool) {
        RetryBudget(settings.retryBudgetShare * BUDGET_SAFETY) {
            (settings.retryBudgetSlack * BUDGET_SAFETY / knownHosts).toInt().coerceAtLeast(1)
        }
    }

    private val knownHosts: Int get() = hostRegistry.knownCount

    private companion object {
        /** The call's tier comes first; the rank of its route in the pool breaks ties. */
        val waitingOrder: Comparator<CallState> =
            compareBy({ it.call.tier }, { it.call.rankInPool })

        /** Share of the burst that a restarted host starts with; others may have used the limit. */
        const val RESTART_QUOTA_SHARE = 0.3

        /** An attempt is not worthwhile with less time left, in ms. */
        const val MIN_ATTEMPT_MS = 15L

        /** Connections that fail before a request is refused. */
        const val MAX_CONNECT_FAILURES = 4

        /** Time for which a retry may wait for a slot, in ms. */
        const val RETRY_WAIT_MS = 150L
        const val IDLE_TICK_MS = 500L

        /** Short, because slots are freed by other hosts without a message to this one, in ms. */
        const val WAITING_TICK_MS = 20L

        /** Share of the retry budget that is used, since each host counts only its own retries. */
        const val BUDGET_SAFETY = 0.6
    }
}

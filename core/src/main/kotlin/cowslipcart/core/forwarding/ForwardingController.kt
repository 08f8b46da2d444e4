package cowslipcart.core.forwarding

import cowslipcart.core.limits.RetryBudget
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.routing.isRepeatable
import kotlin.random.Random

/**
 * What a host decides with.
 *
 * @property profile what places this host among the others
 * @property isFirstStart whether the whole system starts for the first time, so that nobody has
 * used the limits of organisations yet
 * @property retryShare repeats that all hosts together may cause, as a share of the requests
 * @property retrySlack repeats beyond that share that all hosts together may cause
 */
public data class ForwardingSettings(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val profile: HostProfile,
    public val isFirstStart: Boolean,
    public val retryShare: Double,
    public val retrySlack: Int
)

/** Decides what happens to each request of this host. Confined to the control thread. */
public interface ForwardingController {
    /** Takes [input] at [nowMs] of the monotonic clock and returns what was decided. */
    public fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect>

    /** Time until the next [ForwardingInput.Tick] is due, in ms. */
    public fun nextTickMs(): Long

    /** Figures for the other hosts, or null if there is nothing new to tell. */
    public fun figures(nowMs: Long): HostFigures?

    /** Part of this host in spreading what hosts know. */
    public fun reportPlan(nowMs: Long): ReportPlan

    /** Hosts that the platform lists. */
    public fun onHostsListed(hosts: Map<HostId, HostProfile>, nowMs: Long)
}

/** Returns a controller that knows no configuration and no endpoints. */
public fun createForwardingController(
    settings: ForwardingSettings,
    random: Random
): ForwardingController = DefaultForwardingController(settings, random)

private class DefaultForwardingController(
    private val settings: ForwardingSettings,
    private val random: Random
) : ForwardingController {
    private val homes = PromptHomes()
    private val fleet = EndpointFleet(homes)
    private val placement = Placement(homes, settings.profile.domain, random)
    private val roster = HostRoster(settings.host, settings.profile)
    private val quotas = QuotaBook(if (settings.isFirstStart) 1.0 else RESTART_QUOTA_SHARE)
    private val suspicion = CrashSuspicion()
    private val reporter = FigureReporter(settings, fleet, quotas, suspicion)
    private val budgets = mutableMapOf<PoolId, RetryBudget>()
    private val calls = mutableMapOf<CallId, CallState>()
    private val waiting = mutableListOf<CallState>()
    private val effects = mutableListOf<ForwardingEffect>()
    private var table: RoutingTable? = null

    override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> {
        when (input) {
            is ForwardingInput.Arrived -> onArrived(input.call, nowMs)
            is ForwardingInput.Answering -> onAnswering(input.call, nowMs)
            is ForwardingInput.AttemptEnded -> onAttemptEnded(input, nowMs)
            is ForwardingInput.CallClosed -> onCallClosed(input.call)
            is ForwardingInput.RoutingChanged -> onRouting(input.table, nowMs)
            is ForwardingInput.EndpointsChanged -> effects += fleet.onEntries(input.entries)
            is ForwardingInput.PeerReported -> onPeer(input.figures, nowMs)
            is ForwardingInput.PeerLeft -> onPeerLeft(input.host)
            ForwardingInput.Tick -> onTick(nowMs)
        }
        placeWaiting(nowMs)
        return effects.toList().also { effects.clear() }
    }

    override fun nextTickMs(): Long = if (waiting.isEmpty()) IDLE_TICK_MS else WAITING_TICK_MS

    override fun figures(nowMs: Long): HostFigures? = reporter.next(nowMs)

    override fun reportPlan(nowMs: Long): ReportPlan = roster.plan(nowMs)

    override fun onHostsListed(hosts: Map<HostId, HostProfile>, nowMs: Long) =
        roster.onListed(hosts, nowMs)

    private fun onArrived(call: ForwardedCall, nowMs: Long) {
        val state = CallState(call)
        budget(call.pool).recordRequest(nowMs)
        if (suspicion.isQuarantined(call.fingerprint)) {
            refuse(state, RefusalReason.QUARANTINED, null, nowMs)
            return
        }
        when (val admission = quotas.tryTake(call, roster.counts(nowMs), nowMs)) {
            is SharedQuota.Admission.Later -> {
                val afterMs =
                    AdmissionRule.retryOverQuotaMs(
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

    /** Returns whether [state] has been decided and no longer waits. */
    private fun tryPlace(state: CallState, nowMs: Long): Boolean {
        val call = state.call
        if (state.leftMs(nowMs) < MIN_RUN_MS) {
            end(state, RefusalReason.OUT_OF_TIME, null, nowMs)
            return true
        }
        val endpoints = fleet.inPool(call.pool)
        val result = placement.choose(call, endpoints, state.tried, roster.topology, nowMs)
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

    private fun dispatch(state: CallState, found: PlacementResult.Found, nowMs: Long) {
        found.endpoint.onSent(found.unreadTokens)
        state.current =
            CurrentAttempt(found.endpoint, found.unreadTokens, found.firstTokenMs, nowMs)
        state.tried += found.endpoint.entry.id
        state.sentCount++
        reporter.onChange()
        command(state, CallCommand.Dispatch(found.endpoint.entry, state.sentCount), nowMs)
    }

    private fun onAnswering(id: CallId, nowMs: Long) {
        val state = calls[id] ?: return
        val attempt = state.current ?: return
        attempt.endpoint.onAnswering(attempt.unreadTokens)
        val speed = attempt.endpoint.speed
        val expectedMs = attempt.expectedFirstTokenMs / speed.firstTokenFactor
        speed.onFirstToken(expectedMs, nowMs - attempt.sentAtMs)
        attempt.unreadTokens = 0
        if (state.call.prompt.isNotEmpty()) {
            homes.record(state.call.prompt, attempt.endpoint.entry.id, nowMs)
            reporter.onRead(state.call.prompt, attempt.endpoint.entry.id)
        }
    }

    private fun onAttemptEnded(input: ForwardingInput.AttemptEnded, nowMs: Long) {
        val state = calls[input.call] ?: return
        val attempt = state.current ?: return
        state.current = null
        attempt.endpoint.onEnded(attempt.unreadTokens)
        val tokensPerEvent = table?.pool(state.call.pool)?.tokensPerEvent ?: 0
        attempt.endpoint.speed.onStream(input.streamedEvents * tokensPerEvent, input.streamedMs)
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
        suspicion.onAnswered(state.call.fingerprint)
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
                homes.forget(attempt.endpoint.entry.id)
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
            waitAgain(state, nowMs)
        }
    }

    private fun onBroken(state: CallState, attempt: CurrentAttempt, nowMs: Long) {
        state.mayHaveRun = true
        attempt.endpoint.health.onFailure(nowMs)
        suspicion.onOwnBreak(state.call.fingerprint, attempt.endpoint.entry.id)
        retry(state, RefusalReason.MAY_HAVE_RUN, nowMs)
    }

    /** Sends the request to another endpoint if that is allowed, or ends it for [reason]. */
    private fun retry(state: CallState, reason: RefusalReason, nowMs: Long) {
        val call = state.call
        val isAllowed = (!state.mayHaveRun || call.route.kind.isRepeatable) &&
            state.sentCount < call.route.maxAttempts &&
            state.leftMs(nowMs) >= MIN_RUN_MS &&
            !suspicion.isQuarantined(call.fingerprint) &&
            budget(call.pool).trySpend(nowMs)
        if (isAllowed) {
            waitAgain(state, nowMs)
        } else {
            end(state, reason, retryAfterMs(call, nowMs), nowMs)
        }
    }

    private fun waitAgain(state: CallState, nowMs: Long) {
        state.waitUntilMs = maxOf(state.waitUntilMs, nowMs + RETRY_WAIT_MS)
        enqueue(state)
    }

    /** Refuses the request if it certainly has not run, else gives it up. */
    private fun end(state: CallState, reason: RefusalReason, retryAfterMs: Long?, nowMs: Long) {
        calls -= state.call.id
        if (state.mayHaveRun) {
            command(state, CallCommand.GiveUp(RefusalReason.MAY_HAVE_RUN), nowMs)
        } else {
            quotas.giveBack(state.call)
            refuse(state, reason, retryAfterMs, nowMs)
        }
    }

    private fun refuse(state: CallState, reason: RefusalReason, retryAfterMs: Long?, nowMs: Long) =
        command(state, CallCommand.Refuse(reason, retryAfterMs), nowMs)

    private fun command(state: CallState, command: CallCommand, nowMs: Long) {
        val counts = roster.counts(nowMs)
        val endpoints = fleet.inPool(state.call.pool)
        val facts = DecisionFacts(
            revision = table?.revision?.value ?: 0,
            freeSlots = endpoints.sumOf { it.freeSlots.coerceAtLeast(0) },
            slotCount = endpoints.sumOf { it.entry.slotCount },
            heardHosts = counts.heard,
            knownHosts = counts.known,
            waitedMs = nowMs - state.call.arrivedAtMs,
            unitsAsked = quotas.costOf(state.call).toLong(),
            unitsLeft = quotas.left(state.call)
        )
        effects += ForwardingEffect.Command(state.call, command, facts)
    }

    private fun retryAfterMs(call: ForwardedCall, nowMs: Long): Long? =
        AdmissionRule.retryAfterMs(call, random.nextDouble(), nowMs)

    private fun onCallClosed(id: CallId) {
        val state = calls.remove(id) ?: return
        state.current?.let { it.endpoint.onEnded(it.unreadTokens) }
        waiting -= state
        reporter.onChange()
    }

    private fun onRouting(next: RoutingTable, nowMs: Long) {
        val current = table
        if (current != null && next.revision <= current.revision) return
        table = next
        quotas.onOrganisations(next.organisations, nowMs)
        effects += ForwardingEffect.Belief(
            "routing",
            "revision ${next.revision}",
            "${next.routeCount} routes, before ${current?.revision ?: "none"}"
        )
    }

    private fun onPeer(figures: HostFigures, nowMs: Long) {
        val standing = roster.onReport(figures, nowMs)
        if (standing == ReportStanding.OUTDATED) return
        val isRestarted = standing == ReportStanding.RESTARTED
        if (isRestarted) {
            suspicion.onPeerRestarted(figures.host)
            val reason = "incarnation ${figures.incarnation}"
            effects += ForwardingEffect.Belief(figures.host.value, "host-started", reason)
        }
        fleet.onPeerLoads(figures.host, figures.loads)
        fleet.onTokenTimes(figures.tokenMs)
        quotas.onPeerUse(figures.host, figures.unitsUsed, isRestarted)
        suspicion.onPeerNotices(figures.host, figures.crashes)
        for (read in figures.readParts) {
            homes.record(listOf(PromptPart(read.part, 0)), read.endpoint, nowMs)
        }
    }

    private fun onPeerLeft(host: HostId) {
        roster.onLeft(host)
        fleet.onPeerLoads(host, emptyMap())
        effects += ForwardingEffect.Belief(host.value, "host-left", "stopped in good order")
    }

    private fun onTick(nowMs: Long) {
        for (host in roster.silentHosts(nowMs)) fleet.onPeerLoads(host, emptyMap())
        for (host in roster.forgetGone(nowMs)) {
            effects += ForwardingEffect.Belief(host.value, "host-gone", "silent")
        }
    }

    private fun budget(pool: PoolId): RetryBudget = budgets.getOrPut(pool) {
        RetryBudget(settings.retryShare * BUDGET_SAFETY) {
            (settings.retrySlack * BUDGET_SAFETY / knownHosts).toInt().coerceAtLeast(1)
        }
    }

    private val knownHosts: Int get() = roster.knownCount

    private companion object {
        /** The tier of an organisation goes before that of a route. */
        val waitingOrder: Comparator<CallState> =
            compareBy({ it.call.tier }, { it.call.rankInPool })

        /** Tokens that a restarted host takes as left, since others may have used the limit. */
        const val RESTART_QUOTA_SHARE = 0.3

        /** Less time than this is not worth an attempt, in ms. */
        const val MIN_RUN_MS = 15L

        /** Connections that fail before a request is refused. */
        const val MAX_CONNECT_FAILURES = 4

        /** Time that a repeated request may wait for a place, in ms. */
        const val RETRY_WAIT_MS = 150L
        const val IDLE_TICK_MS = 500L

        /** Places become free on other hosts without a message to this one, in ms. */
        const val WAITING_TICK_MS = 20L

        /** Part of the shared budget that is used, as the hosts do not count together. */
        const val BUDGET_SAFETY = 0.6
    }
}

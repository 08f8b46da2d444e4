package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.VersionId
import cowslipcart.core.routing.WorkKind
import kotlin.random.Random

/**
 * Decides on the requests of this host: which endpoint each one is sent to, when it is retried and
 * when it is refused. Its decisions are added to the effects of [known].
 */
internal class CallScheduler(private val known: ForwardingState, private val random: Random) {
    private val endpoints = known.endpoints
    private val hostRegistry = known.hostRegistry
    private val quotas = known.quotas
    private val quarantine = known.quarantine
    private val reporter = known.reporter
    private val rollouts = known.rollouts
    private val retries = RetryRule(known.settings, quarantine) { hostRegistry.knownCount }
    private val placement = Placement(known.cacheIndex, known.settings.profile.domain, random)
    private val copies = SecondCopies(known, retries, placement)
    private val calls = mutableMapOf<CallId, CallState>()
    private val waiting = mutableListOf<CallState>()

    /** Time on the monotonic clock at which [copySlow] is due; [Long.MAX_VALUE] if it is not. */
    val nextCopyAtMs: Long get() = copies.nextCheckAtMs

    /** Whether a request waits for a slot. */
    val hasWaiting: Boolean get() = waiting.isNotEmpty()

    fun onArrived(call: ForwardedCall, nowMs: Long) {
        val state = CallState(call)
        retries.recordRequest(call.pool, nowMs)
        when (val admission = quotas.tryTake(call, known.countHosts(nowMs), nowMs)) {
            is SharedQuota.Admission.Later -> {
                val spread = random.nextDouble()
                val afterMs =
                    AdmissionRule.quotaRetryAfterMs(call, admission.waitMs, spread, nowMs)
                refuse(state, RefusalReason.OVER_QUOTA, afterMs, nowMs)
            }

            SharedQuota.Admission.Taken -> {
                copies.recordRequest(call.pool)
                calls[call.id] = state
                enqueue(state)
                known.streams.onArrived(call, known.listAge.isCurrent(nowMs))
            }
        }
    }

    private fun enqueue(state: CallState) {
        val position = waiting.indexOfFirst { waitingOrder.compare(it, state) > 0 }
        if (position < 0) waiting += state else waiting.add(position, state)
    }

    /**
     * Dispatches the waiting requests for which there is a slot, and ends those that may not wait.
     */
    fun placeWaiting(nowMs: Long) {
        placement.onLoadsChanged()
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
        if (known.listAge.isOutdated(nowMs)) return endIfOver(state, nowMs)
        val place = known.placeOf(state, nowMs)
        if (place == StreamPlace.Unknown) return endIfUnknown(state, nowMs)
        logResumption(state, place)
        val inPool = known.eligibleEndpoints(state, nowMs)
        val topology = hostRegistry.topology
        val ownSlots = known.ownSlots(call.pool, nowMs)
        val result = placement.choose(call, inPool, state.tried, topology, nowMs, ownSlots)
        return when (result) {
            is PlacementResult.Found -> {
                dispatch(state, result, nowMs)
                true
            }

            PlacementResult.None -> {
                end(state, RefusalReason.NO_ENDPOINT, retryAfterMs(call, nowMs), nowMs)
                true
            }

            is PlacementResult.BackingOff -> {
                val isOver = result.untilMs > state.waitUntilMs || nowMs >= state.waitUntilMs
                val afterMs = retryAfterMs(call, nowMs, result.untilMs)
                if (isOver) end(state, RefusalReason.OVERLOADED, afterMs, nowMs)
                isOver
            }

            PlacementResult.Full -> endIfOver(state, nowMs)
        }
    }

    /** Ends [state] if nobody has told the version of its stream; returns false if it waits on. */
    private fun endIfUnknown(state: CallState, nowMs: Long): Boolean {
        if (nowMs < known.streams.waitUntilMs(state.call)) return false
        logResumption(state, StreamPlace.Unknown)
        end(state, RefusalReason.UNKNOWN_STREAM, retryAfterMs(state.call, nowMs), nowMs)
        return true
    }

    private fun logResumption(state: CallState, place: StreamPlace) {
        if (state.isResumptionLogged || state.call.resumption == null) return
        state.isResumptionLogged = true
        known.streams.logResumption(state.call, place)
    }

    /** Ends [state] if it may not wait longer; returns false if it waits on. */
    private fun endIfOver(state: CallState, nowMs: Long): Boolean {
        val isOver = nowMs >= state.waitUntilMs
        val afterMs = retryAfterMs(state.call, nowMs)
        if (isOver) end(state, RefusalReason.OVERLOADED, afterMs, nowMs)
        return isOver
    }

    /** Starts an attempt at [selected], with the command that [send] creates. */
    private fun dispatch(
        state: CallState,
        selected: PlacementResult.Found,
        nowMs: Long,
        send: SendCommand = CallCommand::Dispatch
    ) {
        val relay = known.relay(nowMs)
        startAttempt(state, selected, relay, nowMs)
        val untilMs = known.listAge.validUntilMs
        val command = send(selected.endpoint.entry, state.sentCount, untilMs, relay)
        val running = selected.endpoint.total.running
        val assumed = SelectedEndpoint(running, selected.firstTokenMs.toLong())
        emitCommand(state, command, nowMs, assumed)
    }

    private fun startAttempt(
        state: CallState,
        selected: PlacementResult.Found,
        relay: HostId?,
        nowMs: Long
    ) {
        selected.endpoint.onDispatched(selected.prefillTokens)
        placement.onLoadsChanged()
        state.tried += selected.endpoint.entry.id
        state.sentCount++
        state.inFlight += CurrentAttempt(
            state.sentCount,
            selected.endpoint,
            selected.prefillTokens,
            selected.firstTokenMs,
            nowMs,
            relay
        )
        quarantine.onDispatched(state.call, nowMs)
        rollouts.answers.onSent(state.call, state.sentCount, selected.endpoint.entry, nowMs)
        reporter.onChange()
        copies.onDispatched(state, nowMs)
    }

    /** Returns the attempt [number] of [call] if it is in flight. */
    private fun attemptInFlight(call: CallId, number: Int): CurrentAttempt? =
        calls[call]?.inFlight?.find { it.number == number }

    fun onResponseStarted(input: ForwardingInput.ResponseStarted, nowMs: Long) {
        val state = calls[input.call] ?: return
        val attempt = attemptInFlight(input.call, input.attempt) ?: return
        attempt.hasStarted = true
        onStreamBegun(state, attempt.endpoint.entry.version, nowMs)
        copies.onAnswerBegun(state, attempt, nowMs)
        rollouts.answers.onResponseStarted(input, nowMs)
        attempt.endpoint.onResponseStarted(attempt.prefillTokens)
        attempt.endpoint.reportedLoss.onReached(nowMs)
        quarantine.onResponseStarted(state.call, nowMs)
        val speed = attempt.endpoint.speed
        val expectedMs = attempt.expectedFirstTokenMs / speed.firstTokenFactor
        speed.onFirstToken(expectedMs, nowMs - attempt.sentAtMs)
        attempt.prefillTokens = 0
        if (state.call.prompt.isNotEmpty()) {
            known.cacheIndex.record(state.call.prompt, attempt.endpoint.entry.id, nowMs)
            reporter.onPrefilled(state.call.prompt, attempt.endpoint.entry.id)
        }
    }

    /** The first event counts, although a silent endpoint may send one after another has. */
    private fun onStreamBegun(state: CallState, version: VersionId, nowMs: Long) {
        if (state.startedVersion != null || state.call.route.kind !is WorkKind.EventStream) return
        state.startedVersion = version
        known.streams.onBegun(state.call, version, nowMs)
    }

    fun onAttemptEnded(input: ForwardingInput.AttemptEnded, nowMs: Long) {
        val state = calls[input.call] ?: return
        val attempt = attemptInFlight(input.call, input.attempt) ?: return
        releaseAttempt(state, attempt)
        rollouts.answers.onEnded(input, nowMs)
        val tokensPerEvent = known.routingTable?.pool(state.call.pool)?.tokensPerEvent ?: 0
        attempt.endpoint.speed.onStream(input.gapCount * tokensPerEvent, input.gapDurationMs)
        reporter.onChange()
        when (val outcome = input.outcome) {
            is AttemptOutcome.Answered -> onAnswered(state, attempt, outcome, nowMs)

            is AttemptOutcome.Declined -> onDeclined(state, attempt, outcome, nowMs)

            is AttemptOutcome.NotSent -> onNotSent(state, attempt, outcome, nowMs)

            is AttemptOutcome.Withheld -> {
                state.onNothingSent(attempt)
                state.tried -= attempt.endpoint.entry.id
                if (state.inFlight.isEmpty()) requeue(state, nowMs)
            }

            is AttemptOutcome.Broken -> {
                onUnanswered(state, attempt, nowMs)
                quarantine.onBroken(state.call, attempt, outcome, nowMs)
                retry(state, RefusalReason.MAY_HAVE_RUN, nowMs)
            }

            is AttemptOutcome.Replaced -> {
                onUnanswered(state, attempt, nowMs)
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
        quarantine.onAnswered(state.call, nowMs)
        if (outcome.isSuccess) {
            attempt.endpoint.health.onSuccess()
            forget(state)
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
            DeclineReason.FULL -> spareEndpoint(attempt.endpoint, nowMs)

            DeclineReason.WRONG_ENDPOINT -> {
                // The endpoint that it was meant for never had it.
                state.onNothingSent(attempt)
                attempt.endpoint.health.onUnreachable(nowMs)
                known.lostEndpoints.onUnreachable(attempt.endpoint, nowMs)
                known.cacheIndex.forget(attempt.endpoint.entry.id)
            }
        }
        retry(state, RefusalReason.DECLINED, nowMs)
    }

    /** Stays away from an endpoint that may decline few requests, after it declined one. */
    private fun spareEndpoint(endpoint: TrackedEndpoint, nowMs: Long) {
        val limitPerS = known.declineLimits[endpoint.entry.pool] ?: return
        val backoffMs = DeclineLimits.backoffMs(limitPerS, hostRegistry.knownCount)
        endpoint.onBackoffRequested(nowMs + backoffMs / 2 + random.nextLong(backoffMs))
    }

    private fun onNotSent(
        state: CallState,
        attempt: CurrentAttempt,
        outcome: AttemptOutcome.NotSent,
        nowMs: Long
    ) {
        state.onNothingSent(attempt)
        recordUnreached(state, attempt, outcome, nowMs)
        state.connectFailures++
        if (state.inFlight.isNotEmpty()) return
        val hasWaited = nowMs - state.call.arrivedAtMs >= AdmissionRule.maxWaitMs(state.call)
        val maxFailures = if (hasWaited) LATE_CONNECT_FAILURES else MAX_CONNECT_FAILURES
        if (state.connectFailures > maxFailures) {
            end(state, RefusalReason.NOT_SENT, retryAfterMs(state.call, nowMs), nowMs)
        } else {
            requeue(state, nowMs)
        }
    }

    /** An endpoint that only this host can't connect to may be tried through another one. */
    private fun recordUnreached(
        state: CallState,
        attempt: CurrentAttempt,
        outcome: AttemptOutcome.NotSent,
        nowMs: Long
    ) {
        val endpoint = attempt.endpoint.entry.id
        when {
            outcome.isRelayLost && attempt.relay != null -> {
                // A relay that does not answer in time may be waiting for the endpoint.
                known.reach.onRelayFailed(attempt.relay, nowMs)
                attempt.endpoint.health.onUnreachable(nowMs)
                state.tried -= endpoint
            }

            attempt.relay != null -> attempt.endpoint.health.onUnreachable(nowMs)

            else -> {
                state.unreached += endpoint
                attempt.endpoint.health.onUnreachable(nowMs)
                known.lostEndpoints.onUnreachable(attempt.endpoint, nowMs)
                known.onUnreachable(endpoint, nowMs)
            }
        }
        if (known.reach.path == EndpointPath.Relayed) {
            state.tried -= state.unreached
            state.unreached.clear()
        }
    }

    private fun onUnanswered(state: CallState, attempt: CurrentAttempt, nowMs: Long) {
        state.mayHaveRun = true
        copies.onUnanswered(state, attempt, nowMs)
        attempt.endpoint.health.onFailure(nowMs)
    }

    fun onAttemptStalled(input: ForwardingInput.AttemptStalled, nowMs: Long) {
        val state = calls[input.call] ?: return
        val attempt = attemptInFlight(input.call, input.attempt) ?: return
        if (attempt.relay == null) known.reach.onSilent()
        copies.forStalled(state, nowMs)?.let { dispatch(state, it.selected, nowMs, it.command) }
    }

    /** Sends a second copy of each request that is slow for its kind, as far as that is allowed. */
    fun copySlow(nowMs: Long) {
        for (state in copies.takeSlow(calls.values, nowMs)) {
            copies.forSlow(state, nowMs)?.let { dispatch(state, it.selected, nowMs, it.command) }
        }
    }

    /**
     * Queues the request for another endpoint if a retry is allowed, or ends it for [reason]. Does
     * nothing while another attempt is in flight, which may still be answered.
     */
    private fun retry(state: CallState, reason: RefusalReason, nowMs: Long) {
        if (state.inFlight.isNotEmpty()) return
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

    private fun emitCommand(
        state: CallState,
        command: CallCommand,
        nowMs: Long,
        selected: SelectedEndpoint? = null
    ) {
        val counts = known.countHosts(nowMs)
        val inPool = endpoints.inPool(state.call.pool)
        val context = DecisionContext(
            revision = known.routingTable?.revision?.value ?: 0,
            freeSlots = inPool.sumOf { it.freeSlots.coerceAtLeast(0).toLong() },
            slotCount = inPool.sumOf { it.entry.slotCount.toLong() },
            liveHosts = counts.live,
            knownHosts = counts.known,
            waitedMs = nowMs - state.call.arrivedAtMs,
            unitsAsked = quotas.costOf(state.call).toLong(),
            unitsLeft = quotas.unitsLeft(state.call),
            remainingMs = state.remainingMs(nowMs),
            selected = selected
        )
        known.effects += ForwardingEffect.Command(state.call, command, context)
    }

    /** Returns the retry delay for a caller; a retry before [earliestMs] can't be served. */
    private fun retryAfterMs(call: ForwardedCall, nowMs: Long, earliestMs: Long = nowMs): Long? =
        AdmissionRule.retryAfterMs(call, random.nextDouble(), nowMs, earliestMs)

    fun onCallClosed(id: CallId, nowMs: Long) {
        rollouts.answers.onClosed(id, nowMs)
        val state = calls[id] ?: return
        forget(state)
        waiting -= state
        reporter.onChange()
    }

    /** Drops a request that has ended, with the load of its attempts in flight. */
    private fun forget(state: CallState) {
        calls -= state.call.id
        for (attempt in state.inFlight.toList()) releaseAttempt(state, attempt)
    }

    private fun releaseAttempt(state: CallState, attempt: CurrentAttempt) {
        state.inFlight -= attempt
        attempt.endpoint.onEnded(attempt.prefillTokens)
    }

    private companion object {
        /** The call's tier comes first; the rank of its route in the pool breaks ties. */
        val waitingOrder: Comparator<CallState> =
            compareBy({ it.call.tier }, { it.call.rankInPool })

        /** Connections that fail before a request is refused that has waited as long as it may. */
        const val LATE_CONNECT_FAILURES = 4

        /** The same for any request; more than the crashed endpoints that one may meet at once. */
        const val MAX_CONNECT_FAILURES = 16

        /** Time for which a retry may wait for a slot, in ms. */
        const val RETRY_WAIT_MS = 150L
    }
}

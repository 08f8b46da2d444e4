package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.rollout.RolloutController
import cowslipcart.core.rollout.RolloutEffect
import cowslipcart.core.routing.RoutingTable
import kotlin.random.Random

/** Decides what happens to each request of this host. Confined to the control thread. */
public interface ForwardingController {
    /** Handles [input] at [nowMs] of the monotonic clock and returns the decisions. */
    public fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect>

    /** Time until the next [ForwardingInput.Tick] is due, in ms. */
    public fun nextTickMs(): Long

    /**
     * Time on the monotonic clock at which a [ForwardingInput.Tick] is due even before
     * [nextTickMs] has passed; [Long.MAX_VALUE] if none is.
     */
    public fun nextCopyAtMs(): Long

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
    settings: ForwardingSettings,
    private val random: Random
) : ForwardingController {
    private val known = ForwardingState(settings, random)
    private val calls = CallScheduler(known, random)
    private var nextHostCheckAtMs = Long.MIN_VALUE

    override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> {
        when (input) {
            is ForwardingInput.Arrived -> calls.onArrived(input.call, nowMs)

            is ForwardingInput.ResponseStarted -> calls.onResponseStarted(input, nowMs)

            is ForwardingInput.AttemptStalled -> calls.onAttemptStalled(input, nowMs)

            is ForwardingInput.AttemptEnded -> calls.onAttemptEnded(input, nowMs)

            is ForwardingInput.CallClosed -> calls.onCallClosed(input.call, nowMs)

            is ForwardingInput.RoutingChanged -> onRouting(input.table, nowMs)

            is ForwardingInput.EndpointsChanged -> onEndpoints(input.entries, nowMs)

            is ForwardingInput.EndpointsKnown ->
                known.listAge.onKnown(input.asOfMs, input.isStoreLost)

            is ForwardingInput.EndpointHeartbeats ->
                known.quarantine.onHeartbeats(input.heartbeats, input.writtenAfterMs, nowMs)

            is ForwardingInput.ConnectionTried -> known.onConnectionTried(input, nowMs)

            is ForwardingInput.EndpointLeaving ->
                onLeaving(input.endpoint, "its answer", nowMs)

            is ForwardingInput.BackoffRequested -> onBackoffRequested(input, nowMs)

            is ForwardingInput.LoadStated ->
                known.endpoints[input.endpoint]?.onLoadStated(input.load, nowMs)

            is ForwardingInput.DeclineLimitStated -> known.onDeclineLimit(input, nowMs)

            is ForwardingInput.PeersReported -> input.reports.forEach { onPeerReport(it, nowMs) }

            is ForwardingInput.EndpointsLost -> known.onToldLost(input, nowMs)

            is ForwardingInput.PeerLeft -> onPeerLeft(input.host, nowMs)

            is ForwardingInput.RolloutsChanged ->
                rollOut { handle(input.change, nowMs, input.wallNowMs) }

            is ForwardingInput.QuarantinesRead ->
                known.quarantine.onStored(input.quarantines, nowMs)

            is ForwardingInput.VersionsRead -> known.streams.onRead(input.versions, nowMs)

            is ForwardingInput.VersionsConfirmed ->
                known.streams.onConfirmed(input.versions, input.asOfMs, nowMs)

            is ForwardingInput.VersionStored -> known.streams.onStored(input.version, nowMs)

            ForwardingInput.StoreReplaced -> onStoreReplaced(nowMs)

            is ForwardingInput.StreamsTold -> known.streams.onTold(input.versions, nowMs)

            is ForwardingInput.StreamAsked -> known.streams.onAsked(input.host, input.stream)

            ForwardingInput.Tick -> onTick(nowMs)
        }
        known.effects += known.quarantine.takeChanges()
        known.effects +=
            known.quarantine.takeStoreEffects().map { ForwardingEffect.Quarantine(it) }
        calls.placeWaiting(nowMs)
        probe(nowMs)
        known.tellLost()
        known.effects += known.streams.takeEffects()
        return known.effects.toList().also { known.effects.clear() }
    }

    override fun nextTickMs(): Long = when {
        calls.hasWaiting -> WAITING_TICK_MS
        known.streams.hasUntold -> StreamVersions.TELL_INTERVAL_MS
        else -> IDLE_TICK_MS
    }

    override fun nextCopyAtMs(): Long = calls.nextCopyAtMs

    override fun loadReport(nowMs: Long): HostLoadReport? = known.reporter.next(nowMs)

    override fun reportPlan(nowMs: Long): ReportPlan = known.hostRegistry.plan(nowMs)

    override fun onHostsListed(hosts: Map<HostId, HostProfile>, nowMs: Long) =
        known.hostRegistry.onListed(hosts, nowMs)

    private fun onRouting(next: RoutingTable, nowMs: Long) {
        val current = known.routingTable
        if (current != null && next.revision <= current.revision) return
        known.routingTable = next
        known.quotas.onOrganisations(next.organisations, nowMs)
        known.effects += ForwardingEffect.LogStateChange(
            "routing",
            "revision ${next.revision}",
            "${next.routeCount} routes, previous revision ${current?.revision ?: "none"}"
        )
    }

    private fun onEndpoints(entries: List<EndpointEntry>, nowMs: Long) {
        known.effects += known.endpoints.onEntries(entries)
        known.quarantine.onEndpoints(entries.map { it.id }.toSet())
        known.streams.onListed(entries, nowMs)
        rollOut { onListed(entries) }
    }

    private fun onStoreReplaced(nowMs: Long) {
        known.streams.onStoreReplaced()
        known.quarantine.onStoreReplaced(nowMs)
    }

    private fun onPeerReport(report: HostLoadReport, nowMs: Long) {
        val status = known.hostRegistry.onReport(report, nowMs)
        if (status == ReportStatus.OUTDATED) return
        val isRestarted = status == ReportStatus.RESTARTED
        if (isRestarted) {
            val reason = "incarnation ${report.incarnation}"
            logHost(report.host, "host-started", reason)
        }
        known.endpoints.onPeerLoads(report.host, report.loads)
        known.endpoints.onTokenTimes(report.msPerToken)
        val hosts = known.countHosts(nowMs)
        known.quotas.onPeerUse(report.host, report.unitsUsed, isRestarted, hosts, nowMs)
        known.quarantine.onPeerReport(report, isRestarted, nowMs)
        for (endpoint in report.leavingEndpoints) onLeaving(endpoint, report.host.value, nowMs)
        for (read in report.prefilledParts) {
            known.cacheIndex.record(listOf(PromptPart(read.part, 0)), read.endpoint, nowMs)
        }
    }

    private fun onLeaving(endpoint: LeavingEndpoint, source: String, nowMs: Long) {
        known.endpoints.onLeaving(endpoint, source, nowMs)?.let { known.effects += it }
        known.reporter.onChange()
    }

    /** Spreads the return of the hosts over a while, as they may all have been refused at once. */
    private fun onBackoffRequested(input: ForwardingInput.BackoffRequested, nowMs: Long) {
        val durationMs = input.durationMs.coerceIn(0, MAX_BACKOFF_MS)
        val spreadMs = minOf(durationMs / RETURN_SPREAD_DIVISOR, MAX_RETURN_SPREAD_MS)
        val wishMs = nowMs + durationMs + random.nextLong(spreadMs + 1)
        val untilMs = known.endpoints.onBackoffRequested(input.endpoint, wishMs)
        known.effects += ForwardingEffect.LogStateChange(
            input.endpoint.value,
            "endpoint-backoff",
            "asked for ${input.durationMs} ms, until $untilMs"
        )
    }

    private fun onPeerLeft(host: HostId, nowMs: Long) {
        known.hostRegistry.onLeft(host, nowMs)
        known.endpoints.onPeerLoads(host, emptyMap())
        known.quotas.onPeerSilent(host)
        logHost(host, "host-left", "graceful shutdown")
    }

    private fun onTick(nowMs: Long) {
        if (nowMs >= nextHostCheckAtMs) {
            nextHostCheckAtMs = nowMs + HOST_CHECK_INTERVAL_MS
            checkHosts(nowMs)
        }
        calls.copySlow(nowMs)
        known.endDeclineLimits(nowMs)
        known.streams.onTick(nowMs)
        rollOut { tick(nowMs) }
    }

    private fun checkHosts(nowMs: Long) {
        for (host in known.hostRegistry.silentHosts(nowMs)) {
            known.endpoints.onPeerLoads(host, emptyMap())
        }
        known.countHosts(nowMs)
        for (host in known.hostRegistry.forgetGone(nowMs)) logHost(host, "host-gone", "silent")
    }

    /**
     * Has connections tried if they may show whether this host reaches the endpoints. Those that
     * run requests are tried first, since they are alive.
     */
    private fun probe(nowMs: Long) {
        if (!known.reach.isProbeDue(nowMs)) return
        val candidates = known.endpoints.all().filter { it.isInService }.shuffled(random)
            .sortedBy { it.total.running == 0 }
            .map { it.entry }
        known.effects +=
            known.reach.takeProbes(candidates, nowMs).map { ForwardingEffect.Probe(it) }
    }

    /** Takes the decisions of [step], unless the settings allow no roll-outs. */
    private fun rollOut(step: RolloutController.() -> List<RolloutEffect>) {
        if (known.settings.rolloutBounds == null) return
        known.effects += known.rollouts.step().map { ForwardingEffect.Rollout(it) }
    }

    private fun logHost(host: HostId, change: String, reason: String) {
        known.effects += ForwardingEffect.LogStateChange(host.value, change, reason)
    }

    private companion object {
        /** The return after a backoff is spread over a quarter of it, at most 300 ms. */
        const val RETURN_SPREAD_DIVISOR = 4
        const val MAX_RETURN_SPREAD_MS = 300L
        const val IDLE_TICK_MS = 500L

        /** A small part of the time after which a host counts as silent, in ms. */
        const val HOST_CHECK_INTERVAL_MS = 100L

        /** Short, because slots are freed by other hosts without a message to this one, in ms. */
        const val WAITING_TICK_MS = 20L
    }
}

package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.rollout.RolloutBounds
import cowslipcart.core.rollout.RolloutController
import cowslipcart.core.routing.RoutingTable
import kotlin.random.Random

/** What this host knows of endpoints, hosts, limits and crashes, and the decisions of one input. */
internal class ForwardingState(val settings: ForwardingSettings, random: Random) {
    val cacheIndex = PrefixCacheIndex()
    val endpoints = EndpointRegistry(cacheIndex)
    val listAge = EndpointListAge()
    val reach = EndpointReach(settings.host)
    val declineLimits = DeclineLimits()
    val lostEndpoints = LostEndpoints(settings.host, random)
    val hostRegistry = HostRegistry(settings.host, settings.profile)
    val quotas = QuotaRegistry(
        if (settings.isFirstStart) 1.0 else RESTART_QUOTA_SHARE,
        settings.quotaTolerance,
        random
    )
    val quarantine = CrashQuarantine(settings.host) { hostRegistry.otherHosts }
    val streams = StreamVersions()
    val reporter = LoadReporter(settings, endpoints, quotas, quarantine)

    val rollouts = RolloutController(
        settings.host,
        settings.incarnation,
        settings.rolloutBounds ?: RolloutBounds(),
        endpoints::inPool
    )

    /** Configuration in force; null until the first one is known. */
    var routingTable: RoutingTable? = null

    /** Decisions on the input that is being handled. */
    val effects = mutableListOf<ForwardingEffect>()

    /**
     * Counts the hosts that share the limits. What a host uses is no longer assumed from the moment
     * at which its share is set aside; otherwise its use would count twice.
     */
    fun countHosts(nowMs: Long): HostCounts = hostRegistry.counts(nowMs) { quotas.onPeerSilent(it) }

    /** The host that relays the next connection to an endpoint; null if this host connects. */
    fun relay(nowMs: Long): HostId? = when (reach.path) {
        EndpointPath.Direct -> null
        EndpointPath.Relayed -> reach.relay(hostRegistry.liveHosts(nowMs), nowMs)
    }

    /** This host tried to connect to an endpoint, for a request or as a probe. */
    fun onConnectionTried(input: ForwardingInput.ConnectionTried, nowMs: Long) {
        if (!input.isConnected) return onUnreachable(input.endpoint, nowMs)
        endpoints[input.endpoint]?.reportedLoss?.onReached(nowMs)
        if (!reach.onConnected()) return
        reportPath("endpoints-regained", "connected to ${input.endpoint.value}")
    }

    /**
     * This host could not connect to [endpoint]. If that shows that it has lost all endpoints, the
     * failures before say nothing of them.
     */
    fun onUnreachable(endpoint: EndpointId, nowMs: Long) {
        if (!reach.onUnreachable(endpoint, endpoints.all().size, nowMs)) return
        endpoints.all().forEach { it.health.onReachable() }
        reportPath("endpoints-lost", "no connection, last to ${endpoint.value}")
    }

    /** Another host has [told] which endpoints it can't connect to. */
    fun onToldLost(told: ForwardingInput.EndpointsLost, nowMs: Long) {
        for (id in told.endpoints) {
            val endpoint = endpoints[id] ?: continue
            if (!lostEndpoints.onTold(endpoint, told.host, nowMs)) continue
            effects += ForwardingEffect.LogStateChange(
                id.value,
                "endpoint-reported-lost",
                "told by ${told.host.value}"
            )
        }
    }

    /** Tells the others which endpoints are lost, unless it may be this host that is cut off. */
    fun tellLost() {
        if (!reach.isCertain) return
        val lost = lostEndpoints.takeUntold()
        if (lost.isNotEmpty()) effects += ForwardingEffect.TellLost(lost)
    }

    private fun reportPath(change: String, reason: String) {
        effects += ForwardingEffect.ReachChanged(reach.path == EndpointPath.Direct)
        effects += ForwardingEffect.LogStateChange(settings.host.value, change, reason)
    }

    /** An endpoint stated how many requests it may decline in a second. */
    fun onDeclineLimit(input: ForwardingInput.DeclineLimitStated, nowMs: Long) {
        val pool = endpoints[input.endpoint]?.entry?.pool ?: return
        if (!declineLimits.onStated(pool, input.limitPerS, nowMs)) return
        logDeclineLimit(pool, "declines-limited", "${input.limitPerS} a second")
    }

    /** Lifts the limits that endpoints no longer state. */
    fun endDeclineLimits(nowMs: Long) {
        for (pool in declineLimits.takeEnded(nowMs)) {
            logDeclineLimit(pool, "declines-unlimited", "not stated any more")
        }
    }

    /** Slots of [pool] that are those of this host; null if its endpoints state no limit. */
    fun ownSlots(pool: PoolId, nowMs: Long): Map<EndpointId, Int>? {
        if (declineLimits[pool] == null) return null
        val hosts = hostRegistry.liveHosts(nowMs) + settings.host
        val inService = endpoints.inPool(pool).filter { it.isInService }
        return DeclineLimits.ownSlots(settings.host, hosts, inService)
    }

    private fun logDeclineLimit(pool: PoolId, change: String, reason: String) {
        effects += ForwardingEffect.LogStateChange(pool.value, change, reason)
    }

    /** Endpoints of the pool of [state] whose version it may be sent to now. */
    fun eligibleEndpoints(state: CallState, nowMs: Long): List<TrackedEndpoint> {
        val inPool = endpoints.inPool(state.call.pool)
        return when (val place = placeOf(state, nowMs)) {
            is StreamPlace.At -> inPool.filter { it.entry.version == place.version }

            StreamPlace.Unknown -> emptyList()

            StreamPlace.Anywhere -> {
                val ordered = if (settings.rolloutBounds == null) {
                    inPool
                } else {
                    rollouts.gate.eligible(state.call, inPool, state.tried, nowMs)
                }
                streams.mayBegin(state.call, ordered, nowMs)
            }
        }
    }

    /** Where the request of [state] may run, once its stream has begun or if it resumes one. */
    fun placeOf(state: CallState, nowMs: Long): StreamPlace {
        val started = state.startedVersion
        if (started != null) return StreamPlace.At(started, "begun here")
        return streams.placeOf(state.call, listAge.isCurrent(nowMs))
    }

    private companion object {
        /** Share of the burst that a restarted host starts with; others may have used the limit. */
        const val RESTART_QUOTA_SHARE = 0.3
    }
}

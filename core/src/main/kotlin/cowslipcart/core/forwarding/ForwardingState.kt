package cowslipcart.core.forwarding

import cowslipcart.core.rollout.RolloutBounds
import cowslipcart.core.rollout.RolloutController
import cowslipcart.core.routing.RoutingTable
import kotlin.random.Random

/** What this host knows of endpoints, hosts, limits and crashes, and the decisions of one input. */
internal class ForwardingState(val settings: ForwardingSettings, random: Random) {
    val cacheIndex = PrefixCacheIndex()
    val endpoints = EndpointRegistry(cacheIndex)
    val listAge = EndpointListAge()
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
    fun countHosts(nowMs: Long): HostCounts {
        for (host in hostRegistry.takeSilent(nowMs)) quotas.onPeerSilent(host)
        return hostRegistry.counts(nowMs)
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

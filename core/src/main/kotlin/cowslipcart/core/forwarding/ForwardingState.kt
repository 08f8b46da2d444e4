package cowslipcart.core.forwarding

import cowslipcart.core.rollout.RolloutController
import cowslipcart.core.routing.RoutingTable

/** What this host knows of endpoints, hosts, limits and crashes, and the decisions of one input. */
internal class ForwardingState(val settings: ForwardingSettings) {
    val cacheIndex = PrefixCacheIndex()
    val endpoints = EndpointRegistry(cacheIndex)
    val listAge = EndpointListAge()
    val hostRegistry = HostRegistry(settings.host, settings.profile)
    val quotas = QuotaRegistry(if (settings.isFirstStart) 1.0 else RESTART_QUOTA_SHARE)
    val quarantine = CrashQuarantine(settings.host)
    val reporter = LoadReporter(settings, endpoints, quotas, quarantine)

    val rollouts = RolloutController(
        settings.host,
        settings.incarnation,
        settings.rolloutBounds,
        endpoints::inPool
    )

    /** Configuration in force; null until the first one is known. */
    var routingTable: RoutingTable? = null

    /** Decisions on the input that is being handled. */
    val effects = mutableListOf<ForwardingEffect>()

    private companion object {
        /** Share of the burst that a restarted host starts with; others may have used the limit. */
        const val RESTART_QUOTA_SHARE = 0.3
    }
}

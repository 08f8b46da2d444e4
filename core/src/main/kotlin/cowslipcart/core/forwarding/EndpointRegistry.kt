package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId

/** The endpoints in the platform's list, with the load that all hosts put on them. */
internal class EndpointRegistry(private val cacheIndex: PrefixCacheIndex) {
    private val byId = mutableMapOf<EndpointId, TrackedEndpoint>()
    private var byPool = mapOf<PoolId, List<TrackedEndpoint>>()
    private val peerLoads = mutableMapOf<HostId, Map<EndpointId, HostLoad>>()
    private val leaving = LeavingEndpoints()
    private val unlisted = UnlistedBackoffs()

    fun inPool(pool: PoolId): List<TrackedEndpoint> = byPool[pool].orEmpty()

    /** The endpoints of all pools. */
    fun all(): Collection<TrackedEndpoint> = byId.values

    operator fun get(id: EndpointId): TrackedEndpoint? = byId[id]

    /** Load of this host's own requests, without idle endpoints. */
    fun ownLoads(): Map<EndpointId, HostLoad> =
        byId.values.filter { it.own != HostLoad.NONE }.associate { it.entry.id to it.own }

    /** Returns the decode times that have not been reported to the other hosts, in ms per token. */
    fun takeTokenTimes(): Map<EndpointId, Double> = byId.values
        .mapNotNull { endpoint ->
            endpoint.speed.takeUnreported()?.let { endpoint.entry.id to it }
        }
        .toMap()

    /** Adds decode times that another host measured, in ms per token. */
    fun onTokenTimes(msPerToken: Map<EndpointId, Double>) {
        for ((id, sampleMs) in msPerToken) byId[id]?.speed?.onPeerSample(sampleMs)
    }

    /** Replaces the list of endpoints and returns what changed, for the log. */
    fun onEntries(entries: List<EndpointEntry>): List<ForwardingEffect.LogStateChange> {
        val changes = mutableListOf<ForwardingEffect.LogStateChange>()
        val listed = entries.associateBy { it.id }
        for (id in byId.keys - listed.keys) {
            byId.remove(id)?.let { unlisted.add(id, it.entry.startedAtMs, it.backoffUntilMs) }
            cacheIndex.forget(id)
            changes += change(id, "endpoint-gone", "entry removed")
        }
        for (entry in entries) {
            val known = byId[entry.id]
            if (known == null) {
                byId[entry.id] = TrackedEndpoint(entry).also {
                    addPeerLoads(it)
                    it.onBackoffRequested(unlisted.take(entry))
                }
                changes += change(entry.id, "endpoint-added", "entry listed")
            } else {
                if (known.entry.isDraining != entry.isDraining) {
                    changes += change(entry.id, "endpoint-draining", "${entry.isDraining}")
                }
                if (known.isLeaving && !leaving.isLeaving(entry)) {
                    changes += change(entry.id, "endpoint-restarted", "start ${entry.startedAtMs}")
                }
                known.entry = entry
            }
            byId.getValue(entry.id).isLeaving = leaving.isLeaving(entry)
        }
        byPool = byId.values.groupBy { it.entry.pool }
        return changes
    }

    /** Replaces the load reported by [host]; an empty map removes it. */
    fun onPeerLoads(host: HostId, loads: Map<EndpointId, HostLoad>) {
        val before = peerLoads[host].orEmpty()
        if (loads.isEmpty()) peerLoads -= host else peerLoads[host] = loads
        for (id in before.keys - loads.keys) byId[id]?.onPeerLoad(host, HostLoad.NONE)
        for ((id, load) in loads) byId[id]?.onPeerLoad(host, load)
    }

    /** Takes [endpoint] out of service; [source] says who learned of it. Returns the change. */
    fun onLeaving(
        endpoint: LeavingEndpoint,
        source: String,
        nowMs: Long
    ): ForwardingEffect.LogStateChange? {
        if (!leaving.add(endpoint, nowMs)) return null
        byId[endpoint.id]?.let { it.isLeaving = leaving.isLeaving(it.entry) }
        return change(endpoint.id, "endpoint-leaving", "told by $source")
    }

    /**
     * [id] wants no requests from this host until [untilMs]. Returns until when it gets none, since
     * an earlier wish may last longer.
     */
    fun onBackoffRequested(id: EndpointId, untilMs: Long): Long {
        val endpoint = byId[id]
        if (endpoint == null) {
            unlisted.add(id, UnlistedBackoffs.ANY_START, untilMs)
            return untilMs
        }
        endpoint.onBackoffRequested(untilMs)
        return endpoint.backoffUntilMs
    }

    /** The endpoints of which this host tells the others that they leave. */
    fun leavingToReport(nowMs: Long): List<LeavingEndpoint> = leaving.toReport(nowMs) { id ->
        byId[id]?.let { it.isLeaving && !it.entry.isDraining } ?: false
    }

    private fun addPeerLoads(endpoint: TrackedEndpoint) {
        for ((host, loads) in peerLoads) {
            loads[endpoint.entry.id]?.let { endpoint.onPeerLoad(host, it) }
        }
    }

    private fun change(id: EndpointId, change: String, reason: String) =
        ForwardingEffect.LogStateChange(id.value, change, reason)
}

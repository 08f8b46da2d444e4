package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId

/** The endpoints that this host knows, with their load. */
internal class EndpointFleet(private val homes: PromptHomes) {
    private val byId = mutableMapOf<EndpointId, EndpointLoad>()
    private var byPool = mapOf<PoolId, List<EndpointLoad>>()
    private val peerLoads = mutableMapOf<HostId, Map<EndpointId, HostLoad>>()

    fun inPool(pool: PoolId): List<EndpointLoad> = byPool[pool].orEmpty()

    operator fun get(id: EndpointId): EndpointLoad? = byId[id]

    /** Endpoints at which this host has requests. */
    fun ownLoads(): Map<EndpointId, HostLoad> =
        byId.values.filter { it.own != HostLoad.NONE }.associate { it.entry.id to it.own }

    /** Measured speeds that the other hosts do not have yet, in ms for one token. */
    fun takeTokenTimes(): Map<EndpointId, Double> = byId.values
        .mapNotNull { endpoint ->
            endpoint.speed.takeUntold()?.let { endpoint.entry.id to it }
        }
        .toMap()

    /** Takes speeds that another host measured. */
    fun onTokenTimes(tokenMs: Map<EndpointId, Double>) {
        for ((id, sampleMs) in tokenMs) byId[id]?.speed?.onPeerSample(sampleMs)
    }

    /** Takes the whole list of endpoints and returns what changed, for the log. */
    fun onEntries(entries: List<EndpointEntry>): List<ForwardingEffect.Belief> {
        val beliefs = mutableListOf<ForwardingEffect.Belief>()
        val listed = entries.associateBy { it.id }
        for (id in byId.keys - listed.keys) {
            byId.remove(id)
            homes.forget(id)
            beliefs += belief(id, "endpoint-gone", "entry removed")
        }
        for (entry in entries) {
            val known = byId[entry.id]
            if (known == null) {
                byId[entry.id] = EndpointLoad(entry).also { replayPeers(it) }
                beliefs += belief(entry.id, "endpoint-added", "entry listed")
            } else {
                if (known.entry.isDraining != entry.isDraining) {
                    beliefs += belief(entry.id, "endpoint-draining", "${entry.isDraining}")
                }
                known.entry = entry
            }
        }
        byPool = byId.values.groupBy { it.entry.pool }
        return beliefs
    }

    /** Replaces what [host] reports; an empty map forgets it. */
    fun onPeerLoads(host: HostId, loads: Map<EndpointId, HostLoad>) {
        val before = peerLoads[host].orEmpty()
        if (loads.isEmpty()) peerLoads -= host else peerLoads[host] = loads
        for (id in before.keys - loads.keys) byId[id]?.onPeerLoad(host, HostLoad.NONE)
        for ((id, load) in loads) byId[id]?.onPeerLoad(host, load)
    }

    private fun replayPeers(endpoint: EndpointLoad) {
        for ((host, loads) in peerLoads) {
            loads[endpoint.entry.id]?.let { endpoint.onPeerLoad(host, it) }
        }
    }

    private fun belief(id: EndpointId, change: String, reason: String) =
        ForwardingEffect.Belief(id.value, change, reason)
}

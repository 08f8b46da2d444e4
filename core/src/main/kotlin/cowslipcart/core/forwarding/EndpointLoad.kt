package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId

/**
 * Load of one endpoint on behalf of one host.
 *
 * @property running requests that were sent and have not ended
 * @property unreadTokens prompt tokens of those that have not yet answered
 */
public data class HostLoad(public val running: Int, public val unreadTokens: Long) {
    public operator fun plus(other: HostLoad): HostLoad =
        HostLoad(running + other.running, unreadTokens + other.unreadTokens)

    public companion object {
        public val NONE: HostLoad = HostLoad(0, 0)
    }
}

/**
 * What this host knows of one endpoint: its entry, the requests that all hosts have there, its
 * speed and how its last requests ended.
 */
internal class EndpointLoad(var entry: EndpointEntry) {
    private val loadByPeer = mutableMapOf<HostId, HostLoad>()
    var own = HostLoad.NONE
        private set

    /** Requests and tokens of all hosts together. */
    var total = HostLoad.NONE
        private set

    val health = EndpointHealth()
    val speed = EndpointSpeed()

    /** Free places; negative if requests wait at the endpoint. */
    val freeSlots: Int get() = entry.slotCount - total.running

    fun onSent(unreadTokens: Int) = changeOwn(1, unreadTokens.toLong())

    fun onAnswering(unreadTokens: Int) = changeOwn(0, -unreadTokens.toLong())

    fun onEnded(unreadTokens: Int) = changeOwn(-1, -unreadTokens.toLong())

    /** Replaces what [host] reports; [HostLoad.NONE] forgets it. */
    fun onPeerLoad(host: HostId, load: HostLoad) {
        val before = loadByPeer[host] ?: HostLoad.NONE
        if (load == HostLoad.NONE) loadByPeer -= host else loadByPeer[host] = load
        total = HostLoad(
            total.running - before.running + load.running,
            total.unreadTokens - before.unreadTokens + load.unreadTokens
        )
    }

    private fun changeOwn(running: Int, unreadTokens: Long) {
        own += HostLoad(running, unreadTokens)
        total += HostLoad(running, unreadTokens)
    }
}

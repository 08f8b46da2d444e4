package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId

/**
 * Load that one host puts on one endpoint.
 *
 * @property running requests that were sent and have not ended
 * @property pendingPrefillTokens prefill work of the running requests that have no first token yet,
 * in tokens of a short prompt
 */
public data class HostLoad(public val running: Int, public val pendingPrefillTokens: Long) {
    public operator fun plus(other: HostLoad): HostLoad =
        HostLoad(running + other.running, pendingPrefillTokens + other.pendingPrefillTokens)

    public companion object {
        /** The load of a host without requests at the endpoint. */
        public val NONE: HostLoad = HostLoad(0, 0)
    }
}

/**
 * State of one endpoint as this host sees it: its entry in the platform's list, the load of all
 * hosts, its speed and its health.
 */
internal class TrackedEndpoint(var entry: EndpointEntry) {
    /** Whether it has said in an answer that it leaves. */
    var isLeaving = false

    /** Time on the monotonic clock until which it wants no requests from this host. */
    var backoffUntilMs = Long.MIN_VALUE
        private set

    private val loadByPeer = mutableMapOf<HostId, HostLoad>()

    /** Load of this host. */
    var own = HostLoad.NONE
        private set

    /** Load of all hosts together. */
    var total = HostLoad.NONE
        private set

    val health = EndpointHealth()
    val speed = EndpointSpeed()
    val reportedLoss = ReportedLoss()

    val interference = Interference()

    /** It has stated its load in an answer. */
    fun onLoadStated(load: StatedLoad, nowMs: Long) {
        interference.onStated(load.slowness ?: 1.0, nowMs)
    }

    /** Whether it may get new requests, now or after a backoff. */
    val isInService: Boolean get() = !entry.isDraining && !isLeaving

    /** Whether it wants no requests from this host at [nowMs]. */
    fun isBackingOff(nowMs: Long): Boolean = nowMs < backoffUntilMs

    /** It wants no requests from this host until [untilMs]; an earlier wish may last longer. */
    fun onBackoffRequested(untilMs: Long) {
        backoffUntilMs = maxOf(backoffUntilMs, untilMs)
    }

    /**
     * Whether requests should use another endpoint at [nowMs], if there is one: it fails the
     * requests of this host, or others can't connect to it.
     */
    fun isAvoided(nowMs: Long): Boolean =
        health.isEjected(nowMs) || reportedLoss.isBelieved(own, total, nowMs)

    /** Free slots; negative if requests are queued at the endpoint. */
    val freeSlots: Int get() = entry.slotCount - total.running

    /** A request with a prefill of [prefillTokens] was dispatched. */
    fun onDispatched(prefillTokens: Int) = addOwn(1, prefillTokens.toLong())

    /** The prefill of a running request, of [prefillTokens], is complete. */
    fun onResponseStarted(prefillTokens: Int) = addOwn(0, -prefillTokens.toLong())

    /** A request ended; [prefillTokens] is what was left of its prefill, 0 if it was complete. */
    fun onEnded(prefillTokens: Int) = addOwn(-1, -prefillTokens.toLong())

    /** Replaces the load reported by [host]; [HostLoad.NONE] removes it. */
    fun onPeerLoad(host: HostId, load: HostLoad) {
        val before = loadByPeer[host] ?: HostLoad.NONE
        if (load == HostLoad.NONE) loadByPeer -= host else loadByPeer[host] = load
        total = HostLoad(
            total.running - before.running + load.running,
            total.pendingPrefillTokens - before.pendingPrefillTokens + load.pendingPrefillTokens
        )
    }

    private fun addOwn(running: Int, prefillTokens: Long) {
        own += HostLoad(running, prefillTokens)
        total += HostLoad(running, prefillTokens)
    }
}

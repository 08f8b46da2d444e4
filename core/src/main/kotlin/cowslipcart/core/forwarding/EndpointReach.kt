package cowslipcart.core.forwarding

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId

/** How requests of this host get to endpoints. */
internal sealed interface EndpointPath {
    /** New connections are made by this host. */
    data object Direct : EndpointPath

    /** No endpoint can be connected to; other hosts relay the connections. */
    data object Relayed : EndpointPath
}

/**
 * Decides whether this host reaches endpoints itself. Endpoints that can't be connected to may have
 * crashed, and those attract requests, since they look idle. So several failures only raise a
 * suspicion: the host is partitioned from all endpoints if probes of others fail as well, with no
 * new connection in between. It sends requests through other hosts then, until a probe connects
 * again. Requests are decided on here as before; the other host only relays the bytes of one
 * connection to an endpoint.
 *
 * Load pattern: a partition between some hosts and all endpoints, while callers still come; and a
 * part of many endpoints that crashes at once.
 */
internal class EndpointReach(private val self: HostId) {
    private class Failure(val endpoint: EndpointId, val atMs: Long)

    /** Failed connections since the last one that was established; [MAX_FAILURES] at most. */
    private val failures = ArrayDeque<Failure>()

    /** Until when each host is not asked to relay; hosts that are not live are dropped. */
    private val relayBackoffs = mutableMapOf<HostId, Long>()
    private var probedAtMs = Long.MIN_VALUE / 2
    private var isSuspected = false

    /** Probes of the last round that have not failed; null if there was none since a connection. */
    private var openProbes: MutableSet<EndpointId>? = null

    var path: EndpointPath = EndpointPath.Direct
        private set

    /** Whether nothing suggests that this host is partitioned from the endpoints. */
    val isCertain: Boolean get() = path == EndpointPath.Direct && !isSuspected && openProbes == null

    /** This host has connected to an endpoint. Returns whether the path has changed. */
    fun onConnected(): Boolean {
        failures.clear()
        isSuspected = false
        openProbes = null
        return changeTo(EndpointPath.Direct)
    }

    /**
     * This host could not connect to [endpoint], one of [endpointCount]. Returns whether the path
     * has changed.
     */
    fun onUnreachable(endpoint: EndpointId, endpointCount: Int, nowMs: Long): Boolean {
        failures += Failure(endpoint, nowMs)
        while (failures.size > MAX_FAILURES || nowMs - failures.first().atMs > FAILURE_WINDOW_MS) {
            failures.removeFirst()
        }
        isSuspected = true
        openProbes?.remove(endpoint)
        val failedCount = failures.distinctBy { it.endpoint }.size
        val haveAllFailed = failedCount >= maxOf(endpointCount, 2)
        val haveProbesFailed =
            failedCount >= MIN_FAILED_ENDPOINTS && openProbes?.isEmpty() == true
        val isPartitioned = haveAllFailed || haveProbesFailed
        return isPartitioned && path == EndpointPath.Direct && changeTo(EndpointPath.Relayed)
    }

    /** An endpoint is silent on an open connection; a probe shows whether others answer. */
    fun onSilent() {
        isSuspected = true
    }

    private fun changeTo(next: EndpointPath): Boolean {
        val isChanged = next != path
        path = next
        return isChanged
    }

    /** Whether [takeProbes] has something to return at [nowMs]. */
    fun isProbeDue(nowMs: Long): Boolean =
        (isSuspected || path != EndpointPath.Direct) && nowMs - probedAtMs >= PROBE_INTERVAL_MS

    /**
     * Returns the endpoints among [candidates] that are connected to as probes at [nowMs]: those
     * that have not failed, and of these the first. While the path is direct, only a suspicion
     * needs probes, at as many endpoints as show a partition.
     */
    fun takeProbes(candidates: List<EndpointEntry>, nowMs: Long): List<EndpointEntry> {
        if (!isProbeDue(nowMs)) return emptyList()
        probedAtMs = nowMs
        isSuspected = false
        val failed = failures.map { it.endpoint }
        val count = if (path == EndpointPath.Direct) MIN_FAILED_ENDPOINTS else 1
        val probed = candidates.sortedBy { failed.lastIndexOf(it.id) }.take(count)
        openProbes = probed.mapTo(mutableSetOf()) { it.id }
        return probed
    }

    /**
     * Returns the host that relays the next connection, or null if it is made by this host. Each
     * host uses few others, so that their connections to endpoints are kept and used again. If all
     * have failed lately, the one that failed first is asked again.
     */
    fun relay(live: Collection<HostId>, nowMs: Long): HostId? {
        if (path == EndpointPath.Direct) return null
        relayBackoffs.keys.retainAll(live.toSet())
        return live.minWithOrNull(
            compareBy(
                { maxOf(nowMs, relayBackoffs[it] ?: nowMs) },
                { stableHash("${self.value}/${it.value}") }
            )
        )
    }

    /** [host] could not relay a connection. */
    fun onRelayFailed(host: HostId, nowMs: Long) {
        relayBackoffs[host] = nowMs + RELAY_BACKOFF_MS
    }

    private companion object {
        /** As many probes of endpoints that carry requests hardly all meet crashed ones. */
        const val MIN_FAILED_ENDPOINTS = 4

        /** Requests for other endpoints follow each other within this time, in ms. */
        const val FAILURE_WINDOW_MS = 1_500L
        const val MAX_FAILURES = 16

        /** Finds the end of a partition within a second at little cost, in ms. */
        const val PROBE_INTERVAL_MS = 500L

        /** A relay that has lost the endpoints as well regains them within seconds, in ms. */
        const val RELAY_BACKOFF_MS = 2_000L
    }
}

/** Changes in the log when the path of requests to endpoints changes. */
public val ENDPOINT_PATH_CHANGES: Set<String> = setOf("endpoints-lost", "endpoints-regained")

package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import kotlin.random.Random

/**
 * Endpoints that hosts can't connect to, as they tell each other. An endpoint that has crashed runs
 * nothing, so that it looks idle to every host until that has tried it. A host that is told of one
 * avoids it for a while; the first one that then tries it tells the others again, or has its
 * request there.
 *
 * Load pattern: a part of the endpoints crashes at once under load.
 */
internal class LostEndpoints(private val self: HostId, private val random: Random) {
    private val untold = LinkedHashSet<EndpointId>()

    /** This host could not connect to [endpoint]. Others are told unless they told it lately. */
    fun onUnreachable(endpoint: TrackedEndpoint, nowMs: Long) {
        if (onTold(endpoint, self, nowMs)) untold += endpoint.entry.id
        while (untold.size > MAX_UNTOLD) untold.remove(untold.first())
    }

    /** [host] can't connect to [endpoint]. Returns whether that is new. */
    fun onTold(endpoint: TrackedEndpoint, host: HostId, nowMs: Long): Boolean =
        endpoint.reportedLoss.onReported(host, avoidedUntilMs(nowMs), nowMs)

    /** Returns the endpoints of which the others are to be told now. */
    fun takeUntold(): Set<EndpointId> = untold.toSet().also { untold.clear() }

    /** Hosts return to an endpoint one after another, so that few meet one that is still down. */
    private fun avoidedUntilMs(nowMs: Long): Long =
        nowMs + MIN_AVOIDED_MS + random.nextLong(AVOIDED_SPREAD_MS)

    private companion object {
        /** Endpoints restart within some seconds, in ms. */
        const val MIN_AVOIDED_MS = 500L
        const val AVOIDED_SPREAD_MS = 1_000L

        /** Keeps what is told within one datagram. */
        const val MAX_UNTOLD = 64
    }
}

/** Changes in the log of endpoints that another host can't connect to. */
public val LOST_ENDPOINT_CHANGES: Set<String> = setOf("endpoint-reported-lost")

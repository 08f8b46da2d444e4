package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId

/**
 * Pools whose endpoints state that they fall over if they have to decline too many requests. All
 * hosts decide on reports that are some hundred ms old, so that they overload the endpoints that
 * have just become free, one after another. While a pool states a limit, its slots are therefore
 * divided between the hosts. A host uses those of others only while most of the pool's slots are
 * free, and stays away from an endpoint that declined a request.
 *
 * Load pattern: twice the load that the endpoints of a pool serve, for seconds.
 */
internal class DeclineLimits {
    private class Stated(val limitPerS: Int, val atMs: Long)

    private val byPool = mutableMapOf<PoolId, Stated>()

    /** An endpoint of [pool] stated [limitPerS]. Returns whether the pool had no limit before. */
    fun onStated(pool: PoolId, limitPerS: Int, nowMs: Long): Boolean {
        val isNew = pool !in byPool
        byPool[pool] = Stated(limitPerS, nowMs)
        return isNew
    }

    /** Declines in a second that each endpoint of [pool] bears; null if it states no limit. */
    operator fun get(pool: PoolId): Int? = byPool[pool]?.limitPerS

    /** Removes and returns the pools whose endpoints no longer state a limit. */
    fun takeEnded(nowMs: Long): List<PoolId> {
        val ended = byPool.filterValues { nowMs - it.atMs > LIFETIME_MS }.keys.toList()
        byPool -= ended.toSet()
        return ended
    }

    companion object {
        /** Endpoints state the limit in all answers, so that a pool in use states it often. */
        private const val LIFETIME_MS = 3_000L

        /** Share of the limit that hosts use, since each may have several requests under way. */
        private const val USED_SHARE = 0.25

        /** Free share, of the pool and of an endpoint, above which any host may use the slots. */
        private const val BORROWING_FREE_SHARE = 0.5
        private const val MS_PER_S = 1_000L
        private const val MIN_BACKOFF_MS = 500L

        /** Longer ones would leave a pool of few endpoints unused, in ms. */
        private const val MAX_BACKOFF_MS = 2_000L

        /**
         * Divides the slots of [endpoints] in order between [hosts], and returns how many of each
         * are those of [self]. Hosts that know the same endpoints and hosts divide them alike.
         */
        fun ownSlots(
            self: HostId,
            hosts: Collection<HostId>,
            endpoints: Collection<TrackedEndpoint>
        ): Map<EndpointId, Int> {
            val index = hosts.count { it.value < self.value }
            val slotCount = endpoints.sumOf { it.entry.slotCount }
            val first = index.toLong() * slotCount / hosts.size
            val end = (index + 1L) * slotCount / hosts.size
            var start = 0L
            return endpoints.sortedBy { it.entry.id.value }.associate {
                val own = minOf(end, start + it.entry.slotCount) - maxOf(first, start)
                start += it.entry.slotCount
                it.entry.id to maxOf(0, own).toInt()
            }
        }

        /**
         * Returns those of [endpoints] that may get another request from a host with [ownSlots],
         * while [freeShare] of the slots of the pool are free. A host uses one slot of others at a
         * time, since all may see the same slots free.
         */
        fun withRoom(
            endpoints: List<TrackedEndpoint>,
            ownSlots: Map<EndpointId, Int>,
            freeShare: Double
        ): List<TrackedEndpoint> {
            fun unused(endpoint: TrackedEndpoint) =
                (ownSlots[endpoint.entry.id] ?: 0) - endpoint.own.running

            val isBorrowing = endpoints.any { unused(it) < 0 }
            val mayBorrow = !isBorrowing && freeShare > BORROWING_FREE_SHARE
            return endpoints.filter {
                val isMostlyFree = it.freeSlots > it.entry.slotCount * BORROWING_FREE_SHARE
                unused(it) > 0 || (mayBorrow && isMostlyFree)
            }
        }

        /** Time for which one of [hosts] stays away from an endpoint that declined, in ms. */
        fun backoffMs(limitPerS: Int, hosts: Int): Long {
            val declinesPerS = maxOf(1.0, limitPerS * USED_SHARE)
            return (hosts / declinesPerS * MS_PER_S).toLong().coerceIn(
                MIN_BACKOFF_MS,
                MAX_BACKOFF_MS
            )
        }
    }
}

/** Changes in the log when endpoints begin or cease to state a limit on declines. */
public val DECLINE_LIMIT_CHANGES: Set<String> = setOf("declines-limited", "declines-unlimited")

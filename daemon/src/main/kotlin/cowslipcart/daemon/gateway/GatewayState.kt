package cowslipcart.daemon.gateway

import cowslipcart.core.routing.RoutingTable
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/** State shared by all connections of a gateway. */
internal class GatewayState {
    private val synced = CompletableDeferred<Unit>()
    private val idleClose = CompletableDeferred<Unit>()

    /** Configuration in force; null until the first one is loaded. */
    @Volatile
    var routing: RoutingTable? = null
        set(value) {
            field = value
            completeIfSynced()
        }

    /** Whether the stop signal was received; the readiness check fails from then on. */
    @Volatile
    var isStopping: Boolean = false

    /** Whether new requests are rejected, since the load balancer has taken this host out. */
    @Volatile
    var isRefusing: Boolean = false

    /** Whether the endpoints have been loaded at least once. */
    @Volatile
    var areEndpointsLoaded: Boolean = false
        set(value) {
            field = value
            completeIfSynced()
        }

    /** Number of requests in flight. */
    val activeRequests = AtomicInteger()

    /** Number of open connections of callers. */
    val openConnections = AtomicInteger()

    /** Whether configuration and endpoints are loaded, so that requests can be routed. */
    val isSynced: Boolean get() = routing != null && areEndpointsLoaded

    /**
     * Waits up to [SYNC_WAIT_MS] until requests can be routed. A starting host receives requests
     * before it has read the store, and rejecting one uses up an attempt of its caller.
     */
    suspend fun awaitSynced() {
        if (!isSynced) withTimeoutOrNull(SYNC_WAIT_MS) { synced.await() }
    }

    /** Closes connections of callers on which no byte of a request has arrived, now and later. */
    fun closeIdleConnections() {
        idleClose.complete(Unit)
    }

    /**
     * Returns the result of [read], or false once idle connections are to be closed, or [closing]
     * is complete.
     */
    suspend fun readUnlessClosing(closing: Job? = null, read: suspend () -> Boolean): Boolean =
        coroutineScope {
            // Starts undispatched, so that what has arrived is read although it is closing.
            val reading = async(start = CoroutineStart.UNDISPATCHED) { read() }
            select {
                reading.onAwait { it }
                idleClose.onAwait {
                    reading.cancel()
                    false
                }
                closing?.onJoin {
                    reading.cancel()
                    false
                }
            }
        }

    private fun completeIfSynced() {
        if (isSynced) synced.complete(Unit)
    }

    private companion object {
        /** Several times the duration of the two reads of the store at the start, in ms. */
        const val SYNC_WAIT_MS = 300L
    }
}

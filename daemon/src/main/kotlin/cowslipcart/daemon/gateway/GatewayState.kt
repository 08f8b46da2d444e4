package cowslipcart.daemon.gateway

import cowslipcart.core.routing.RoutingTable
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** State that all connections of a gateway read. */
internal class GatewayState {
    private val known = CompletableDeferred<Unit>()

    /** Newest configuration in force; null until the first is known. */
    @Volatile
    var routing: RoutingTable? = null
        set(value) {
            field = value
            completeIfKnown()
        }

    /** Whether the process has been asked to stop. */
    @Volatile
    var isStopping: Boolean = false

    /** Whether callers have had time to leave, so that new requests are refused. */
    @Volatile
    var isRefusing: Boolean = false

    /** Whether endpoints have been read at least once. */
    @Volatile
    var areEndpointsKnown: Boolean = false
        set(value) {
            field = value
            completeIfKnown()
        }

    val activeRequests = AtomicInteger()

    /** Whether requests can be decided. */
    val isKnown: Boolean get() = routing != null && areEndpointsKnown

    /**
     * Waits up to [START_WAIT_MS] until requests can be decided. A host that starts is asked before
     * it has read the store, and a caller that is refused then has used up a try.
     */
    suspend fun awaitKnown() {
        if (!isKnown) withTimeoutOrNull(START_WAIT_MS) { known.await() }
    }

    private fun completeIfKnown() {
        if (isKnown) known.complete(Unit)
    }

    private companion object {
        /** Several times the two reads of the store at the start, in ms. */
        const val START_WAIT_MS = 300L
    }
}

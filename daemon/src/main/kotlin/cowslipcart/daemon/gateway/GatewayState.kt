package cowslipcart.daemon.gateway

import cowslipcart.core.routing.RoutingTable
import java.util.concurrent.atomic.AtomicInteger

/** State that all connections of a gateway read. */
internal class GatewayState {
    /** Newest configuration in force; null until the first is known. */
    @Volatile
    var routing: RoutingTable? = null

    /** Whether the process has been asked to stop. */
    @Volatile
    var isStopping: Boolean = false

    /** Whether callers have had time to leave, so that new requests are refused. */
    @Volatile
    var isRefusing: Boolean = false

    /** Whether endpoints have been read at least once. */
    @Volatile
    var areEndpointsKnown: Boolean = false

    val activeRequests = AtomicInteger()
}

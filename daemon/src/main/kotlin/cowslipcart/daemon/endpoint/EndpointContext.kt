package cowslipcart.daemon.endpoint

import cowslipcart.daemon.Metrics
import cowslipcart.daemon.control.RuntimeClock
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.network.selector.SelectorManager
import java.io.IOException
import java.net.ConnectException

/**
 * What all exchanges of this host share.
 *
 * @property idleTimeoutMs longest silence of an endpoint before its exchange fails
 */
internal class EndpointContext(
    val client: HttpClient,
    val selector: SelectorManager,
    val clock: RuntimeClock,
    val metrics: Metrics,
    val idleTimeoutMs: Long
) {
    val probe = EndpointProbe(client)
}

/** Creates the HTTP client for endpoints and the platform. It never retries a request. */
internal fun createHttpClient(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    followRedirects = false
    engine {
        requestTimeout = 0
        maxConnectionsCount = MAX_CONNECTIONS
        endpoint {
            maxConnectionsPerRoute = MAX_CONNECTIONS
            pipelineMaxSize = 1
            connectTimeout = CONNECT_TIMEOUT_MS
            connectAttempts = 1
        }
    }
}

/** Whether [e] shows that no connection was made, so that no byte of the request was sent. */
internal fun isConnectFailure(e: IOException): Boolean =
    e is ConnectException || e is ConnectTimeoutException

private const val MAX_CONNECTIONS = 10_000
private const val CONNECT_TIMEOUT_MS = 2_000L

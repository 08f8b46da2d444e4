package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import cowslipcart.core.routing.Route
import cowslipcart.core.routing.RouteId
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.Headers
import cowslipcart.daemon.http1.RequestHead
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import io.ktor.utils.io.ByteChannel
import java.io.OutputStream
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch

/** Sends requests with an [EndpointExchange] to an endpoint that answers with [respond]. */
internal class ExchangeFixture(
    codec: HeaderCodec = TestHeaderCodec,
    respond: OutputStream.(ReceivedRequest) -> Unit
) : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val clock = RuntimeClock()
    private val connections = EndpointConnections(selector, clock) { MAX_IDLE_CONNECTIONS }
    private val exchange = EndpointExchange(connections, codec, clock)
    private val scope = CoroutineScope(Dispatchers.IO)
    val endpoint = RespondingEndpoint(respond)

    init {
        // A gateway always waits for connections. A selector that waits for nothing does not run,
        // and does not close sockets.
        scope.launch { aSocket(selector).tcp().bind("127.0.0.1", 0).use { it.accept() } }
    }

    /** Runs the only attempt of a request of [monitor] with [id]; a stream goes to [caller]. */
    suspend fun run(
        id: String,
        kind: WorkKind = WorkKind.AtMostOnce,
        caller: ByteChannel = ByteChannel(),
        body: ByteArray = ByteArray(0),
        monitor: CallerMonitor = OpenCaller,
        target: EndpointEntry = endpoint.entry
    ): ExchangeResult {
        val response = CallerResponse(ChannelSink(caller), isHeadRequest = false) { false }
        val head =
            RequestHead("GET", "/x", Headers(listOf(Header(TestHeaderCodec.REQUEST_ID, id))))
        return exchange.run(
            call(id, kind),
            BufferedRequest(head, body),
            CallCommand.Dispatch(target, attempt = 1),
            StreamRelay(response, clock),
            monitor,
            SilentListener,
            exchange.openBuffers()
        )
    }

    private fun call(id: String, kind: WorkKind): ForwardedCall {
        val nowMs = clock.nowMs()
        val route = Route(
            RouteId("route"), "shop.example", "/", kind, emptyList(), TIMEOUT_MS, TIMEOUT_MS,
            Tier(0), 1, true
        )
        return ForwardedCall(
            CallId(1), RequestId(id), null, route, endpoint.entry.pool, Tier(0), 0, null,
            emptyList(), Fingerprint("f"), nowMs, nowMs + TIMEOUT_MS
        )
    }

    override fun close() {
        scope.cancel()
        endpoint.close()
        selector.close()
    }

    companion object {
        const val TIMEOUT_MS = 20_000L
        private const val MAX_IDLE_CONNECTIONS = 4

        /** Encodes a complete response; [id] is left out if null. */
        fun response(
            status: Int,
            id: String?,
            body: String = "",
            declined: Boolean = false
        ): ByteArray {
            val headers = listOfNotNull(
                id?.let { "${TestHeaderCodec.REQUEST_ID}: $it" },
                "${TestHeaderCodec.SIGNATURE}: s".takeIf { !declined && id != null },
                "${TestHeaderCodec.DECLINED}: 1".takeIf { declined },
                "Content-Length: ${body.length}"
            )
            return "HTTP/1.1 $status Status\r\n${headers.joinToString("\r\n")}\r\n\r\n$body"
                .toByteArray()
        }
    }
}

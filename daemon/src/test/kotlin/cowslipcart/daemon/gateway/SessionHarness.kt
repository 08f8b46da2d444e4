package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingController
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.Headers
import cowslipcart.daemon.http1.RequestHead
import io.ktor.network.selector.SelectorManager
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.io.readByteArray

/** Runs sessions of requests with real sockets to endpoints and a caller in memory. */
internal class SessionHarness : AutoCloseable {
    private val clock = RuntimeClock()
    private val metrics = GatewayMetrics()
    private val eventLog = GatewayEventLog(clock, metrics)
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob())

    /** Returns all bytes that the caller of a request of [kind] receives. */
    fun response(
        kind: WorkKind,
        controller: ForwardingController,
        headerCodec: HeaderCodec = BareHeaderCodec
    ): String = runBlocking(Dispatchers.IO) {
        val loop = ForwardingLoop(controller, clock, eventLog, metrics) { _, _ -> }
        loop.start(scope)
        val connections = EndpointConnections(selector, clock) { 1 }
        val exchange = EndpointExchange(connections, headerCodec, clock)
        val context = SessionContext(
            loop,
            exchange,
            eventLog,
            metrics,
            clock,
            { false },
            openInput = { _, _ -> error("the caller of this test has no socket") },
            openSink = { error("the caller of this test has no socket") }
        )
        val written = ByteChannel()
        val received = async { written.readRemaining().readByteArray().decodeToString() }
        val head = RequestHead("POST", "/a/", Headers(emptyList()))
        val response = CallerResponse(ChannelSink(written), isHeadRequest = false) { false }
        val call = sampleCall(kind, clock.nowMs())
        val request = BufferedRequest(head, ByteArray(0))
        CallSession(context, call, request, response).serve(OpenCaller)
        written.flushAndClose()
        received.await()
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.DecisionContext
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingController
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.HostLoadReport
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.ReportPlan
import cowslipcart.core.intake.IntakeLimits
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Revision
import cowslipcart.core.model.Tier
import cowslipcart.core.routing.CallerLimits
import cowslipcart.core.routing.Route
import cowslipcart.core.routing.RouteId
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.routing.WeightedPool
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.ResponseHead
import cowslipcart.daemon.http1.SocketSink
import cowslipcart.daemon.http1.WatchedInput
import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking

/** Sends each request to one endpoint, [decisionMs] after it was submitted. */
internal class SingleEndpointController(
    private val endpoint: EndpointEntry,
    private val decisionMs: Long
) : ForwardingController {
    val inputs = CopyOnWriteArrayList<ForwardingInput>()

    override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> {
        if (input != ForwardingInput.Tick) inputs += input
        if (input !is ForwardingInput.Arrived) return emptyList()
        Thread.sleep(decisionMs)
        return listOf(dispatch(input.call))
    }

    private fun dispatch(call: ForwardedCall) = ForwardingEffect.Command(
        call,
        CallCommand.Dispatch(endpoint, attempt = 1),
        DecisionContext(1, 1, 1, 1, 1, 0, 0, null)
    )

    override fun nextTickMs(): Long = TICK_MS

    override fun nextCopyAtMs(): Long = Long.MAX_VALUE

    override fun loadReport(nowMs: Long): HostLoadReport? = null

    override fun reportPlan(nowMs: Long): ReportPlan = ReportPlan.ALONE

    override fun onHostsListed(hosts: Map<HostId, HostProfile>, nowMs: Long) = Unit

    private companion object {
        const val TICK_MS = 100L
    }
}

/** Copies no headers but a fixed host, and signs every response. */
private object PlainHeaderCodec : HeaderCodec {
    val REQUEST = RequestId("r1")

    override fun decodeRequest(head: RequestHead) =
        RequestMetadata(REQUEST, remainingMs = null, key = null, size = null, prompt = emptyList())

    override fun endpointHeaders(head: RequestHead, metadata: ForwardingMetadata) =
        listOf(Header("Host", "endpoint"))

    override fun decodeResponse(head: ResponseHead) =
        ResponseMetadata(REQUEST, isSigned = true, isDeclined = false)
}

/** The caller-facing part of a gateway on loopback, with one endpoint at [endpointPort]. */
internal class SessionFixture(
    endpointPort: Int,
    decisionMs: Long = 0,
    private val timeoutMs: Long = TIMEOUT_MS,
    sessionDispatcher: CoroutineDispatcher = Dispatchers.IO,
    limits: IntakeLimits = IntakeLimits.of(Runtime.getRuntime().maxMemory())
) : AutoCloseable {
    /** Holds back what the sockets of callers have to read, as on a host that is behind. */
    private class GatedSelector(private val inner: SelectorManager) : SelectorManager by inner {
        val isOpen = MutableStateFlow(true)

        override suspend fun select(selectable: Selectable, interest: SelectInterest) {
            inner.select(selectable, interest)
            if (interest == SelectInterest.READ) isOpen.first { it }
        }
    }

    private val scope = CoroutineScope(SupervisorJob() + sessionDispatcher)
    private val selector = SelectorManager(Dispatchers.IO)
    private val callerSelector = GatedSelector(selector)
    private val clock = RuntimeClock()
    private val pool = PoolId("pool")
    private val endpoint =
        EndpointEntry(EndpointId("e1"), pool, LOOPBACK, endpointPort, "a", 1, isDraining = false)
    val metrics = GatewayMetrics()
    private val eventLog = GatewayEventLog(clock, metrics)
    private val intake = CallerIntake(limits, clock, metrics, eventLog)
    private val state = GatewayState()
    val controller = SingleEndpointController(endpoint, decisionMs)
    val connections = EndpointConnections(selector, clock) { 1 }

    /** Number of open connections of callers. */
    val connectionCount: Int get() = state.openConnections.get()

    /** Bytes that the requests of all callers hold. */
    val heldBytes: Long get() = intake.heldBytes

    /** Port that callers connect to. */
    val port: Int

    init {
        state.routing = table()
        state.areEndpointsLoaded = true
        val loop = ForwardingLoop(controller, clock, eventLog, metrics) { _, _ -> }
        loop.start(scope)
        val exchange = EndpointExchange(connections, PlainHeaderCodec, clock)
        val probe = SelectorReadProbe()
        val context = SessionContext(
            loop,
            exchange,
            eventLog,
            metrics,
            clock,
            probe,
            intake = intake,
            openInput = { socket, onEnd -> WatchedInput(socket, callerSelector, onEnd) },
            openSink = { SocketSink(it, callerSelector) }
        )
        val admission = CallAdmission(PlainHeaderCodec, state, clock, Random(1))
        val server =
            runBlocking { aSocket(callerSelector).tcp().bind(InetSocketAddress(LOOPBACK, 0)) }
        port = server.localAddress.port()
        scope.launch {
            while (true) {
                val socket = server.accept()
                val connection = CallerConnection(context, admission, state)
                val slot = connection.open(socket) ?: continue
                launch { connection.serve(socket, slot) }
            }
        }
    }

    private fun table() = RoutingTable(
        Revision(1),
        listOf(
            Route(
                RouteId("route"),
                "gateway",
                "/",
                WorkKind.Idempotent,
                listOf(WeightedPool(pool, 1.0)),
                timeoutMs = timeoutMs,
                objectiveMs = timeoutMs,
                tier = Tier(0),
                maxAttempts = 1,
                isPublic = true
            )
        ),
        pools = emptyList(),
        organisationsByKey = emptyMap(),
        limits = CallerLimits(16_384, 8 * 1_024 * 1_024, 3_000, 15_000),
        requiresKey = false
    )

    /** Whether sockets of callers are read. */
    var isReading: Boolean by callerSelector.isOpen::value

    /** Connects a caller and sends a request with a body of [bodyBytes]. */
    fun sendRequest(bodyBytes: Int): Socket = Socket(LOOPBACK, port).also { socket ->
        val head = "POST /x HTTP/1.1\r\nHost: gateway\r\nContent-Length: $bodyBytes\r\n\r\n"
        socket.tcpNoDelay = true
        socket.getOutputStream().write(head.toByteArray() + ByteArray(bodyBytes))
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
        const val TIMEOUT_MS = 20_000L
    }
}

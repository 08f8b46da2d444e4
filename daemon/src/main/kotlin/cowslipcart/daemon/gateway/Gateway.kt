package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.ForwardingSettings
import cowslipcart.core.forwarding.createForwardingController
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.KeyedStore
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.control.RuntimeClock
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.io.IOException
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Settings of a gateway.
 *
 * @property front where callers connect
 * @property ready where the balancer asks whether to send callers
 * @property peer where other hosts send their reports
 * @property metricsPort port of the metrics on the address of [front]; null for none
 * @property shutdownMs time from the signal to stop until the process is ended from outside
 */
public data class GatewaySettings(
    public val forwarding: ForwardingSettings,
    public val front: SocketAddressSetting,
    public val ready: SocketAddressSetting,
    public val peer: SocketAddressSetting,
    public val metricsPort: Int?,
    public val shutdownMs: Long
)

/** Passes requests of callers to endpoints that a platform's store lists. */
public class Gateway(
    private val settings: GatewaySettings,
    dialect: EdgeDialect,
    private val selector: SelectorManager,
    private val random: Random
) {
    private val clock = RuntimeClock()
    private val metrics = GatewayMetrics()
    private val journal = DecisionJournal(clock, metrics)
    private val state = GatewayState()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val self = settings.forwarding.host
    private val peers: PeerReports = PeerReports(self, metrics, journal, ::onPeer)
    private val loop: ForwardingLoop = ForwardingLoop(
        createForwardingController(settings.forwarding, random),
        clock,
        journal,
        peers::publish
    )
    private val connections = EndpointConnections(selector, clock, ::keptLimit)
    private val admission = CallAdmission(dialect, state, clock, random)
    private val context = SessionContext(
        loop,
        EndpointExchange(connections, dialect, clock),
        journal,
        metrics,
        clock
    )

    private var follower: StoreFollower? = null

    @Volatile
    private var listed = emptySet<EndpointId>()

    /** Starts serving and following [store]; returns when all sockets are bound. */
    public suspend fun start(store: KeyedStore, decoder: RecordDecoder) {
        journal.event("start", "host" to self.value, "front" to settings.front.toString())
        loop.start(scope)
        peers.start(scope, selector, settings.peer)
        accept(settings.front) { CallerConnection(context, admission, state).serve(it) }
        accept(settings.ready) { StatusConnection(state, metrics, journal).serve(it) }
        settings.metricsPort?.let { port ->
            accept(settings.front.copy(port = port)) {
                StatusConnection(state, metrics, journal).serve(it)
            }
        }
        val counted = CountedStore(store, metrics)
        follower = StoreFollower(counted, decoder, listener, peers, journal, clock, random)
            .also { it.start(scope, self, HostRecord(settings.peer, settings.forwarding.profile)) }
        scope.launch { sweep() }
    }

    /** Stops in good order: waits for the balancer and for the requests under way. */
    public suspend fun stop() {
        val startMs = clock.nowMs()
        val endMs = startMs + settings.shutdownMs - STOP_RESERVE_MS
        journal.event("stop", "active" to state.activeRequests.get())
        state.isStopping = true
        delay(BALANCER_NOTICE_MS)
        state.isRefusing = true
        while (state.activeRequests.get() > 0 && clock.nowMs() < endMs) delay(STOP_POLL_MS)
        peers.sendLeaving()
        journal.event("stopped", "active" to state.activeRequests.get())
        scope.cancel()
    }

    /** Notes that the settings were read again. */
    public fun onReload(outcome: String) {
        journal.event("reload", "outcome" to outcome)
    }

    private val listener = object : StoreListener {
        override fun onRouting(table: RoutingTable) = this@Gateway.onRouting(table)

        override fun onEndpoints(entries: List<EndpointEntry>) = this@Gateway.onEndpoints(entries)

        override fun onHosts(hosts: Map<HostId, HostRecord>) = this@Gateway.onHosts(hosts)
    }

    private fun onRouting(table: RoutingTable) {
        val current = state.routing
        if (current != null && table.revision <= current.revision) return
        state.routing = table
        loop.submit(ForwardingInput.RoutingChanged(table))
    }

    private fun onEndpoints(entries: List<EndpointEntry>) {
        state.areEndpointsKnown = true
        listed = entries.map { it.id }.toSet()
        loop.submit(ForwardingInput.EndpointsChanged(entries))
    }

    private fun onHosts(hosts: Map<HostId, HostRecord>) {
        peers.onHosts(hosts.mapValues { it.value.address })
        loop.submitHosts(hosts.mapValues { it.value.profile })
    }

    /** Connections to one endpoint that this host keeps without use; all hosts share a bound. */
    private fun keptLimit(pool: PoolId): Int {
        val bound = state.routing?.pool(pool)?.maxConnections ?: return 1
        if (bound == 0) return MAX_KEPT
        return (bound / (peers.hostCount * KEPT_SAFETY)).coerceIn(1, MAX_KEPT)
    }

    private fun onPeer(message: PeerMessage) {
        when (message) {
            is PeerMessage.Input -> loop.submit(message.input)
            is PeerMessage.News -> follower?.onNews(message.news)
        }
    }

    private suspend fun accept(listen: SocketAddressSetting, serve: suspend (Socket) -> Unit) {
        val server = aSocket(selector).tcp()
            .bind(InetSocketAddress(listen.ip, listen.port)) { backlogSize = BACKLOG }
        scope.launch { acceptAll(server, serve) }
    }

    private suspend fun acceptAll(server: ServerSocket, serve: suspend (Socket) -> Unit) {
        while (true) {
            val socket = try {
                server.accept()
            } catch (e: IOException) {
                journal.event("accept-failed", "reason" to e.message)
                delay(ACCEPT_PAUSE_MS)
                continue
            }
            scope.launch { serve(socket) }
        }
    }

    private suspend fun sweep() {
        while (true) {
            delay(SWEEP_INTERVAL_MS)
            connections.sweep(listed)
        }
    }

    private companion object {
        /**
         * The balancer asks once a second and takes a host out after two misses. Requests that
         * come later than 3 s may not be cut at the end, so they are refused before, in ms.
         */
        const val BALANCER_NOTICE_MS = 2_800L

        /**
         * Time to end before the process is killed, in ms. On a slow host 400 ms were not enough;
         * requests that still run in the last sixth of the time may be cut.
         */
        const val STOP_RESERVE_MS = 900L
        const val STOP_POLL_MS = 50L
        const val MAX_KEPT = 8

        /** Half of the connections that an endpoint takes are left to those in use. */
        const val KEPT_SAFETY = 2
        const val SWEEP_INTERVAL_MS = 1_000L
        const val ACCEPT_PAUSE_MS = 50L
        const val BACKLOG = 512
    }
}

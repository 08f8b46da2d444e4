package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.EndpointHeartbeat
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.ForwardingSettings
import cowslipcart.core.forwarding.StreamEffect
import cowslipcart.core.forwarding.createForwardingController
import cowslipcart.core.intake.IntakeLimits
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.rollout.RolloutChange
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.TableRecord
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.catchStepFailure
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.SocketSink
import cowslipcart.daemon.http1.WatchedInput
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.io.IOException
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Settings of a gateway.
 *
 * @property front address that callers connect to
 * @property ready address of the readiness check of the load balancer
 * @property peer UDP address that other hosts send their reports to, and TCP address at which they
 * ask for relayed connections to endpoints, and for the configuration
 * @property metricsPort port of the metrics on the IP address of [front]; null for no metrics
 * @property shutdownMs time from the stop signal until the platform kills the process
 * @property configurationBoundMs time within which a changed configuration has to be in force
 * @property intake what callers may make this host hold
 */
public data class GatewaySettings(
    public val forwarding: ForwardingSettings,
    public val front: SocketAddressSetting,
    public val ready: SocketAddressSetting,
    public val peer: SocketAddressSetting,
    public val metricsPort: Int?,
    public val shutdownMs: Long,
    public val configurationBoundMs: Long,
    public val intake: IntakeLimits = IntakeLimits.of(Runtime.getRuntime().maxMemory())
)

/** Forwards requests of callers to the endpoints that a platform's store lists. */
public class Gateway(
    private val settings: GatewaySettings,
    headerCodec: HeaderCodec,
    private val selector: SelectorManager,
    private val random: Random
) {
    private val clock = RuntimeClock()
    private val metrics = GatewayMetrics()
    private val eventLog = GatewayEventLog(clock, metrics)
    private val state = GatewayState()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val self = settings.forwarding.host
    private val peers: PeerReports = PeerReports(self, metrics, eventLog, ::onPeer)
    private val loop: ForwardingLoop = ForwardingLoop(
        createForwardingController(settings.forwarding, random),
        clock,
        eventLog,
        metrics,
        onSuspended = { follower?.onSuspended() },
        onRollout = { rollouts?.perform(it) },
        onQuarantine = { quarantines?.perform(it) },
        onStream = ::onStream,
        onReach = { reachesEndpoints = it },
        onLost = peers::tellLost,
        onProbe = ::probe,
        publish = peers::publish
    )
    private val connections = EndpointConnections(
        selector,
        clock,
        RelayClient(selector, peers::addressOf),
        ::maxIdleConnections
    )
    private val relay = EndpointRelay(
        clock,
        metrics,
        connections,
        entryOf = { listedEndpoints[it] },
        hasEndpoints = { reachesEndpoints },
        onTried = ::submitTried
    )
    private val peerIntake =
        PeerIntake(selector, metrics, relay) { follower?.heldConfiguration }
    private val admission = CallAdmission(headerCodec, state, clock, random)
    private val shutdownEnd = Job()
    private val intake = CallerIntake(settings.intake, clock, metrics, eventLog)
    private val context = SessionContext(
        loop,
        EndpointExchange(
            connections,
            headerCodec,
            clock,
            BufferBudget(settings.intake.responseBytes) { intake.strike("responses") }
        ),
        eventLog,
        metrics,
        clock,
        SelectorReadProbe(),
        shutdownEnd,
        intake,
        openInput = { socket, onEnd -> WatchedInput(socket, selector, onEnd) },
        openSink = { SocketSink(it, selector) }
    )

    /** Whether this host connects to endpoints itself, as control sees it. */
    @Volatile
    private var reachesEndpoints = true

    @Volatile
    private var follower: StoreFollower? = null

    @Volatile
    private var rollouts: RolloutFollower? = null

    @Volatile
    private var quarantines: QuarantineKeeper? = null

    @Volatile
    private var versions: VersionKeeper? = null
    private var frontListener: Job? = null

    @Volatile
    private var listedEndpoints = emptyMap<EndpointId, EndpointEntry>()

    /**
     * Starts serving and following [store]; returns when all sockets are bound. Throws an
     * IOException if one can't be bound.
     */
    public suspend fun start(
        store: KeyedStore,
        decoder: RecordDecoder,
        rolloutCodec: RolloutCodec
    ) {
        eventLog.event("start", "host" to self.value, "front" to settings.front.toString())
        loop.start(scope)
        peers.start(scope, settings.peer)
        frontListener = accept(settings.front, ::serveCaller)
        accept(settings.ready, ::serveStatus)
        accept(settings.peer) { scope.launch { peerIntake.serve(it) } }
        settings.metricsPort?.let { accept(settings.front.copy(port = it), ::serveStatus) }
        val instrumented = InstrumentedStore(store, metrics)
        val following =
            StoreFollowing(
                instrumented,
                decoder,
                listener,
                peers,
                eventLog,
                clock,
                orders,
                ConfigurationClient(selector)
            )
        val links = RolloutLinks(following, ::submitRollout, peers::publish)
        rollouts = RolloutFollower(links, rolloutCodec, random).also { it.start(scope) }
        quarantines = QuarantineKeeper(following, random, loop::submit).also { it.start(scope) }
        versions = VersionKeeper(following, self, random, loop::submit).also { it.start(scope) }
        follower = StoreFollower(following, settings.configurationBoundMs, random)
            .also { it.start(scope, self, HostRecord(settings.peer, settings.forwarding.profile)) }
        scope.launch { evictIdleConnections() }
    }

    /**
     * Shuts down gracefully: waits until the load balancer has taken this host out, requests in
     * flight have ended and the connections of callers are closed, or until little of the shutdown
     * time is left; requests that are in flight then are answered with 502.
     */
    public suspend fun stop() {
        val startMs = clock.nowMs()
        val endMs = startMs + settings.shutdownMs - EXIT_RESERVE_MS
        eventLog.event("stop", "active" to state.activeRequests.get())
        state.isStopping = true
        relay.isStopping = true
        delay(BALANCER_DRAIN_MS)
        state.isRefusing = true
        while (isBusy() && clock.nowMs() < endMs) delay(STOP_POLL_MS)
        endRequests()
        peers.sendLeaving()
        closeCallerConnections(endMs)
        eventLog.event(
            "stopped",
            "active" to state.activeRequests.get(),
            "connections" to state.openConnections.get()
        )
        scope.cancel()
    }

    private fun isBusy(): Boolean = state.activeRequests.get() > 0 || relay.isBusy

    /** Ends the requests that are left with an answer, as far as it has not begun. */
    private suspend fun endRequests() {
        val endMs = clock.nowMs() + END_REQUESTS_MS
        shutdownEnd.complete()
        while (state.activeRequests.get() > 0 && clock.nowMs() < endMs) delay(CLOSE_POLL_MS)
    }

    /**
     * Closes the listener and the idle connections of callers, so that a request that crosses the
     * close ends at once. Requests that are being read are refused until all connections are
     * closed.
     */
    private suspend fun closeCallerConnections(endMs: Long) {
        frontListener?.cancelAndJoin()
        state.closeIdleConnections()
        while (state.openConnections.get() > 0 && clock.nowMs() < endMs) delay(CLOSE_POLL_MS)
    }

    /** Logs that the settings were reloaded, with [outcome]. */
    public fun onReload(outcome: String) {
        eventLog.event("reload", "outcome" to outcome)
    }

    private val listener = object : StoreListener {
        override fun onRouting(table: RoutingTable) = this@Gateway.onRouting(table)

        override fun onEndpoints(entries: List<EndpointEntry>) = this@Gateway.onEndpoints(entries)

        override fun onEndpointsKnown(asOfMs: Long, isStoreLost: Boolean) =
            loop.submit(ForwardingInput.EndpointsKnown(asOfMs, isStoreLost))

        override fun onHeartbeats(heartbeats: List<EndpointHeartbeat>, writtenAfterMs: Long) =
            loop.submit(ForwardingInput.EndpointHeartbeats(heartbeats, writtenAfterMs))

        override fun onHosts(hosts: Map<HostId, HostRecord>) = this@Gateway.onHosts(hosts)

        override fun onStoreReplaced() = loop.submit(ForwardingInput.StoreReplaced)
    }

    private val orders = object : OrderListener {
        override fun onRecord(record: TableRecord) = rollouts?.onOrder(record) == true

        override fun isOrder(key: String) = rollouts?.isOrder(key) == true
    }

    private fun submitRollout(change: RolloutChange) =
        loop.submit(ForwardingInput.RolloutsChanged(change, clock.wallNowMs()))

    private fun onRouting(table: RoutingTable) {
        val current = state.routing
        if (current != null && table.revision <= current.revision) return
        state.routing = table
        loop.submit(ForwardingInput.RoutingChanged(table))
    }

    private fun onEndpoints(entries: List<EndpointEntry>) {
        state.areEndpointsLoaded = true
        listedEndpoints = entries.associateBy { it.id }
        loop.submit(ForwardingInput.EndpointsChanged(entries))
    }

    private fun onHosts(hosts: Map<HostId, HostRecord>) {
        peers.onHosts(hosts.mapValues { it.value.address })
        loop.submitHosts(hosts.mapValues { it.value.profile })
    }

    /**
     * Returns how many idle connections this host keeps to one endpoint of [pool]. The connection
     * limit of a pool applies to all hosts together, so each gets an equal share.
     */
    private fun maxIdleConnections(pool: PoolId): Int {
        val limit = state.routing?.pool(pool)?.maxConnections ?: return 1
        if (limit == 0) return MAX_IDLE_PER_ENDPOINT
        return (limit / (peers.hostCount * IN_USE_FACTOR)).coerceIn(1, MAX_IDLE_PER_ENDPOINT)
    }

    private fun onPeer(event: PeerEvent) {
        when (event) {
            is PeerEvent.Input -> loop.submit(event.input)
            is PeerEvent.Report -> loop.submitReport(event.report)
            is PeerEvent.RolloutNoticed -> rollouts?.onNotice(event.notice)
            is PeerEvent.StoreRead -> follower?.onUpdate(event.update, event.publisher)
        }
    }

    private fun onStream(effect: StreamEffect) {
        when (effect) {
            StreamEffect.Confirm -> versions?.perform(effect)
            is StreamEffect.Store -> versions?.perform(effect)
            is StreamEffect.Remove -> versions?.perform(effect)
            is StreamEffect.Keep -> if (peers.groupRank < STREAM_WRITERS) versions?.perform(effect)
            is StreamEffect.Tell -> peers.tell(effect.versions)
            is StreamEffect.Ask -> peers.ask(effect.stream)
            is StreamEffect.Answer -> peers.answer(effect)
        }
    }

    /** Takes the connection in before the next one is accepted, so that no more are open. */
    private suspend fun serveCaller(socket: Socket) {
        val connection = CallerConnection(context, admission, state)
        val slot = connection.open(socket) ?: return
        scope.launch { connection.serve(socket, slot) }
    }

    /** Connects to [endpoint], tells control whether that worked, and closes the connection. */
    private fun probe(endpoint: EndpointEntry) {
        scope.launch {
            val connection = connections.connect(endpoint)
            submitTried(endpoint.id, connection != null)
            connection?.close()
        }
    }

    private fun submitTried(endpoint: EndpointId, isConnected: Boolean) =
        loop.submit(ForwardingInput.ConnectionTried(endpoint, isConnected))

    private fun serveStatus(socket: Socket) {
        scope.launch { StatusConnection(state, metrics, eventLog, selector).serve(socket) }
    }

    /** Passes connections to [listen] to [serve] until the returned job is cancelled. */
    private suspend fun accept(listen: SocketAddressSetting, serve: suspend (Socket) -> Unit): Job {
        val server = aSocket(selector).tcp()
            .bind(InetSocketAddress(listen.ip, listen.port)) { backlogSize = BACKLOG }
        return scope.launch { server.use { acceptAll(it, serve) } }
    }

    private suspend fun acceptAll(server: ServerSocket, serve: suspend (Socket) -> Unit) {
        while (true) {
            val socket = try {
                server.accept()
            } catch (e: IOException) {
                eventLog.event("accept-failed", "reason" to e.message)
                delay(ACCEPT_PAUSE_MS)
                continue
            }
            guard("accept-failed") { serve(socket) }
        }
    }

    private suspend fun evictIdleConnections() {
        while (true) {
            delay(IDLE_EVICTION_INTERVAL_MS)
            guard("eviction-failed") { connections.evict(listedEndpoints.keys) }
        }
    }

    /** Runs [step]; logs its failure under [name], so that the loop around it goes on. */
    private suspend fun guard(name: String, step: suspend () -> Unit) {
        catchStepFailure(step)?.let { eventLog.event(name, "reason" to "$it") }
    }

    private companion object {
        /**
         * Time from the stop signal until new requests are rejected, in ms. The load balancer
         * checks once a second and takes a host out after two failed checks. Requests that arrive
         * later than 3 s after the signal must not be cut off, so they are rejected from then on.
         */
        const val BALANCER_DRAIN_MS = 2_800L

        /**
         * Time reserved for the exit before the process is killed, in ms. 400 ms were not enough
         * on a slow host; requests still running in the last sixth of the shutdown time may be cut
         * off.
         */
        const val EXIT_RESERVE_MS = 900L

        /** Time to answer the requests that are left when the shutdown ends, in ms. */
        const val END_REQUESTS_MS = 200L
        const val STOP_POLL_MS = 50L
        const val CLOSE_POLL_MS = 10L
        const val MAX_IDLE_PER_ENDPOINT = 8

        /** Leaves half of the connections that an endpoint accepts to those in use. */
        const val IN_USE_FACTOR = 2

        /** Hosts of a group that store its streams; one alone may miss a datagram, or stop. */
        const val STREAM_WRITERS = 2
        const val IDLE_EVICTION_INTERVAL_MS = 1_000L
        const val ACCEPT_PAUSE_MS = 50L
        const val BACKLOG = 512
    }
}

package cowslipcart.daemon

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.host.HostInput
import cowslipcart.core.host.createHostController
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.origin.requestIdOf
import cowslipcart.daemon.control.ConfigVerdictFeed
import cowslipcart.daemon.control.ControlLoop
import cowslipcart.daemon.control.ControlOutcomeLookup
import cowslipcart.daemon.control.DecisionLog
import cowslipcart.daemon.control.EffectRunner
import cowslipcart.daemon.control.PublishedState
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.endpoint.CacheEventReader
import cowslipcart.daemon.endpoint.EndpointContext
import cowslipcart.daemon.endpoint.EndpointOrders
import cowslipcart.daemon.endpoint.LoadPoller
import cowslipcart.daemon.endpoint.OrderRunner
import cowslipcart.daemon.endpoint.createHttpClient
import cowslipcart.daemon.http.BodyReader
import cowslipcart.daemon.http.CallerApi
import cowslipcart.daemon.http.CallerAuthenticator
import cowslipcart.daemon.http.HttpServer
import cowslipcart.daemon.http.OperatorChanges
import cowslipcart.daemon.http.OperatorRoutes
import cowslipcart.daemon.http.OperatorViews
import cowslipcart.daemon.http.OutcomeApi
import cowslipcart.daemon.http.RequestFactory
import cowslipcart.daemon.peer.Handshake
import cowslipcart.daemon.peer.PeerListener
import cowslipcart.daemon.peer.PeerNetwork
import cowslipcart.daemon.peer.PeerServer
import cowslipcart.daemon.peer.PeerVersions
import cowslipcart.daemon.peer.boundPort
import cowslipcart.daemon.platform.HostListPoller
import cowslipcart.daemon.platform.HttpLog
import cowslipcart.daemon.platform.PlatformStreams
import cowslipcart.daemon.session.SessionRegistry
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.server.engine.EmbeddedServer
import java.security.SecureRandom
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/** One daemon process: the control loop and the I/O around it. */
internal class Daemon private constructor(
    private val settings: Settings,
    private val selector: SelectorManager,
    private val peerSocket: ServerSocket
) {
    private val log = LoggerFactory.getLogger(Daemon::class.java)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val random = SecureRandom()
    private val host = HostId(settings.hostId)
    private val process = ProcessId(host, IncarnationId(random.nextLong()))
    private val clock = RuntimeClock()
    private val metrics = Metrics()
    private val client = createHttpClient()
    private val published = PublishedState()
    private val registry = SessionRegistry()
    private val handshake = Handshake(settings.peerSecret)
    private val versions = PeerVersions()
    private val peers = PeerNetwork(host, scope, handshake, selector, metrics, versions)
    private val peerAddress =
        settings.peerListen.copy(port = peerSocket.boundPort).toString()
    private val identity = HostIdentity(
        host,
        process.incarnation,
        DomainId(settings.failureDomain),
        peerAddress
    )
    private val controller = createHostController(
        identity,
        Random(random.nextLong()),
        settings.cacheReadBytesPerS
    )
    private val controlLoop = ControlLoop(controller, clock)
    private val context =
        EndpointContext(client, selector, clock, metrics, settings.streamIdleTimeoutMs)
    private val streams =
        PlatformStreams(
            HttpLog(client, settings.logUrl),
            scope,
            metrics,
            clock,
            controlLoop::submit
        )
    private val loadPoller = LoadPoller(scope, context.probe, controlLoop::submit)
    private val verdicts = ConfigVerdictFeed()
    private val outcomes = ControlOutcomeLookup(controlLoop::submit)
    private val requestCount = AtomicLong()
    private var server: EmbeddedServer<*, *>? = null

    /** Starts the control loop, both servers and all pollers; returns the bound ports. */
    suspend fun start(): BoundPorts {
        registerGauges()
        val peerServer = PeerServer(host, handshake, metrics, versions, selector) {
            controlLoop.submit(it)
        }
        peerServer.start(scope, peerSocket)
        controlLoop.start(scope, effectRunner())
        streams.start()
        HostListPoller(client, settings.hostListUrl, controlLoop::submit).start(scope)
        scope.launch { reportProgress() }
        val httpServer = httpServer().start(settings.httpListen)
        server = httpServer
        val httpPort = httpServer.engine.resolvedConnectors().first().port
        log.info("host {} started, incarnation {}", host, process.incarnation)
        return BoundPorts(httpPort, peerSocket.boundPort)
    }

    /**
     * Shuts down gracefully: reports not ready, refuses new requests after the drain notice, and
     * returns when all open requests have ended. Running streams have no time limit; requests that
     * wait for capacity are ended after the drain limit.
     */
    suspend fun drain() {
        log.info("shutting down, no longer ready")
        published.isDraining.value = true
        delay(settings.drainNoticeMs)
        controlLoop.submit(HostInput.Drain(settings.drainLimitMs))
        while (controlLoop.openRequestCount() > 0 || registry.size > 0) delay(DRAIN_POLL_MS)
        // Lets the last bytes of answers and the last messages to peers leave the process.
        delay(FINAL_FLUSH_MS)
        server?.stop(gracePeriodMillis = 100, timeoutMillis = 1_000)
        scope.cancel()
        log.info("shut down")
    }

    private fun effectRunner() = EffectRunner(
        published,
        registry,
        peers,
        streams,
        loadPoller,
        verdicts,
        outcomes,
        DecisionLog(metrics),
        OrderRunner(scope, EndpointOrders(client), controlLoop::submit),
        CacheEventReader(scope, client, metrics, controlLoop::submit),
        metrics
    )

    private fun httpServer(): HttpServer {
        val bodyReader = BodyReader(settings.maxBodyBytes)
        val factory = RequestFactory { requestIdOf(process, requestCount.incrementAndGet()) }
        val authenticator = CallerAuthenticator(published)
        val callers =
            CallerApi(
                published,
                authenticator,
                factory,
                context,
                registry,
                scope,
                bodyReader,
                controlLoop::submit
            )
        val outcomeApi = OutcomeApi(authenticator, outcomes)
        val operators = OperatorRoutes(
            OperatorViews(published, streams),
            OperatorChanges(published, streams, verdicts, bodyReader),
            outcomeApi,
            settings.operatorToken
        )
        return HttpServer(callers, outcomeApi, operators, published, metrics)
    }

    /** Periodically submits the progress of running streams to the controller. */
    private suspend fun reportProgress() = repeatGuarded(log, "report of progress") {
        delay(PROGRESS_INTERVAL_MS)
        val progress = registry.collectProgress()
        if (progress.isNotEmpty()) controlLoop.submit(HostInput.StreamProgress(progress))
    }

    private fun registerGauges() {
        metrics.gauge("cowslipcart_open_sessions", "Requests in work on this host") {
            registry.size.toDouble()
        }
        metrics.gauge("cowslipcart_ready", "1 if the host takes requests") {
            if (published.isReady) 1.0 else 0.0
        }
        metrics.gauge("cowslipcart_config_revision", "Revision in force") {
            published.configuration.value.configuration.revision.value.toDouble()
        }
        metrics.gauge("cowslipcart_control_busy_seconds", "Time spent on control") {
            controlLoop.busyNs / 1e9
        }
    }

    companion object {
        /** Binds the peer socket and creates a daemon that is not started yet. */
        suspend fun create(settings: Settings): Daemon {
            val selector = SelectorManager(Dispatchers.IO)
            return Daemon(settings, selector, PeerListener(selector).bind(settings.peerListen))
        }

        private const val PROGRESS_INTERVAL_MS = 1_000L
        private const val DRAIN_POLL_MS = 50L
        private const val FINAL_FLUSH_MS = 200L
    }
}

/** Ports that a daemon has bound. */
internal data class BoundPorts(val httpPort: Int, val peerPort: Int)

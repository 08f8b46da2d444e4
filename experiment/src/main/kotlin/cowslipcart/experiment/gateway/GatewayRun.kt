package cowslipcart.experiment.gateway

import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingController
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.ForwardingSettings
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.createForwardingController
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.Revision
import cowslipcart.core.model.Tier
import cowslipcart.core.routing.CallerLimits
import cowslipcart.core.routing.PoolProfile
import cowslipcart.core.routing.Route
import cowslipcart.core.routing.RouteId
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.routing.WeightedPool
import cowslipcart.core.routing.WorkKind
import cowslipcart.experiment.sim.EventQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Runs [workload] in virtual time against the forwarding controllers of the gateways. The same
 * [seed] gives the same result.
 */
public fun runGatewayWorkload(workload: GatewayWorkload, seed: Long): GatewayResult =
    GatewayRun(workload, seed).run()

/** A gateway host, reduced to its forwarding controller. */
internal class EmulatedHost(val id: HostId, val controller: ForwardingController)

/** One run of [workload]: its gateways, engines and requests in one event queue. */
internal class GatewayRun(val workload: GatewayWorkload, private val seed: Long) {
    val queue = EventQueue()
    val random = Random(seed)
    val outcomes = mutableListOf<EndedRequest>()
    private var openRequestCount = 0
    private var lastCallId = 0L
    private val hosts = (1..workload.hosts).map { createHost(HostId("host-$it")) }
    val engines: Map<EndpointId, EmulatedEngine> =
        workload.engines.speeds.withIndex().associate { (index, speed) ->
            val id = EndpointId("e$index")
            val engineSeed = seed xor id.value.hashCode().toLong()
            id to EmulatedEngine(workload.engines, speed, queue, engineSeed)
        }
    val notices = EmulatedNotices(this)
    private val requestsByCall = mutableMapOf<CallId, EmulatedRequest>()
    val routes: Map<RequestKind, Route> = workload.kinds.associateWith { toRoute(it) }

    fun run(): GatewayResult {
        val table = RoutingTable(
            Revision(1),
            routes.values.toList(),
            listOf(PoolProfile(POOL, MAX_CONNECTIONS, workload.engines.tokensPerEvent)),
            emptyMap(),
            CallerLimits(HEADER_BYTES, BODY_BYTES, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS),
            requiresKey = false
        )
        for (host in hosts) {
            val others = hosts.associate { it.id to HostProfile(domainOf(it.id.value), 1.0) }
            host.controller.onHostsListed(others, queue.nowMs)
            host.controller.reportPlan(queue.nowMs)
            send(host, ForwardingInput.RoutingChanged(table))
            send(host, ForwardingInput.EndpointsChanged(endpointEntries()))
            every(REPORT_INTERVAL_MS, random.nextLong(REPORT_INTERVAL_MS)) {
                broadcastReport(host)
            }
            every(TICK_MS, random.nextLong(TICK_MS)) { send(host, ForwardingInput.Tick) }
        }
        workload.kinds.forEach {
            scheduleArrivals(it, Random(seed xor it.name.hashCode().toLong()))
        }
        notices.start(workload.notices)
        notices.startCrashes(workload.crashes)
        queue.run { queue.nowMs < workload.durationMs || openRequestCount > 0 }
        return summarize(workload, seed, outcomes)
            .copy(
                unheededNotices = notices.unheededCount,
                failedContacts = notices.failedContactCount
            )
    }

    fun randomHost(): EmulatedHost = hosts.random(random)

    fun nextCallId(): Long = ++lastCallId

    /** Passes [input] to the controller of [host] and its commands to the requests concerned. */
    fun send(host: EmulatedHost, input: ForwardingInput) {
        for (effect in host.controller.handle(input, queue.nowMs)) {
            when (effect) {
                is ForwardingEffect.LogStateChange,
                is ForwardingEffect.Rollout,
                is ForwardingEffect.Quarantine,
                is ForwardingEffect.ReachChanged,
                is ForwardingEffect.Stream -> Unit

                is ForwardingEffect.Probe -> probe(host, effect.endpoint.id)

                is ForwardingEffect.TellLost -> tellLost(host, effect.endpoints)

                is ForwardingEffect.Command ->
                    requestsByCall[effect.call.id]?.onCommand(effect.call, effect.command)
            }
        }
    }

    fun register(call: ForwardedCall, request: EmulatedRequest) {
        requestsByCall[call.id] = request
    }

    fun close(host: EmulatedHost, call: ForwardedCall) {
        requestsByCall -= call.id
        send(host, ForwardingInput.CallClosed(call.id))
    }

    fun onEnded(request: EndedRequest) {
        openRequestCount--
        outcomes += request
    }

    /** Schedules the Poisson arrivals of [kind] for the whole run. */
    private fun scheduleArrivals(kind: RequestKind, kindRandom: Random) {
        var atMs = 0.0
        while (true) {
            val factor = workload.bursts
                .filter { atMs >= it.fromMs && atMs < it.untilMs }
                .filter { it.kind == null || it.kind == kind.name }
                .fold(1.0) { product, burst -> product * burst.factor }
            atMs += -ln(1 - kindRandom.nextDouble()) / (kind.ratePerS * factor) * MS_PER_S
            if (atMs >= workload.durationMs) return
            val request = EmulatedRequest(this, kind, kindRandom)
            openRequestCount++
            queue.schedule(atMs.toLong()) { request.start() }
        }
    }

    /** Sends the load report of [host] to all others, with a relay delay outside its group. */
    private fun broadcastReport(host: EmulatedHost) {
        val members = host.controller.reportPlan(queue.nowMs).members
        val report = host.controller.loadReport(queue.nowMs) ?: return
        for (other in hosts) {
            if (other === host) continue
            val relayMs = if (other.id in members) 0 else random.nextLong(MAX_RELAY_MS)
            queue.scheduleIn(workload.networkMs + relayMs) {
                send(other, ForwardingInput.PeersReported(listOf(report)))
            }
        }
    }

    private fun probe(host: EmulatedHost, endpoint: EndpointId) {
        queue.scheduleIn(2 * workload.networkMs) {
            val isConnected = engines.getValue(endpoint).isDown.not()
            send(host, ForwardingInput.ConnectionTried(endpoint, isConnected))
        }
    }

    /** Tells all other hosts, those of other groups through a relay. */
    private fun tellLost(host: EmulatedHost, endpoints: Set<EndpointId>) {
        val members = host.controller.reportPlan(queue.nowMs).members
        for (other in hosts) {
            if (other === host) continue
            val hops = if (other.id in members) 1 else 2
            queue.scheduleIn(hops * workload.networkMs) {
                send(other, ForwardingInput.EndpointsLost(host.id, endpoints))
            }
        }
    }

    /** Repeats [action] every [intervalMs], first after [firstMs]. */
    private fun every(intervalMs: Long, firstMs: Long, action: () -> Unit) {
        queue.scheduleIn(firstMs) {
            action()
            every(intervalMs, intervalMs, action)
        }
    }

    private fun createHost(id: HostId) = EmulatedHost(
        id,
        createForwardingController(
            ForwardingSettings(
                id,
                IncarnationId(1),
                HostProfile(domainOf(id.value), 1.0),
                isFirstStart = true,
                RETRY_BUDGET_SHARE,
                RETRY_BUDGET_SLACK
            ),
            Random(seed xor id.value.hashCode().toLong())
        )
    )

    private fun endpointEntries(): List<EndpointEntry> = engines.keys.map {
        val domain = domainOf(it.value)
        EndpointEntry(it, POOL, "127.0.0.1", 1, domain, workload.engines.slots, isDraining = false)
    }

    private fun domainOf(name: String): String =
        "domain-${name.filter { it.isDigit() }.toInt() % DOMAINS}"

    private fun toRoute(kind: RequestKind) = Route(
        RouteId(kind.name),
        "host",
        "/${kind.name}/",
        WorkKind.EventStream(kind.isResumable, kind.gapTargetMs),
        listOf(WeightedPool(POOL, 1.0)),
        kind.deadlineMs,
        kind.objectiveMs,
        Tier(kind.rank),
        kind.maxAttempts,
        isPublic = true
    )

    companion object {
        val POOL = PoolId("pool")
        private const val DOMAINS = 3
        private const val MAX_CONNECTIONS = 1_000
        private const val HEADER_BYTES = 16_384
        private const val BODY_BYTES = 4_194_304
        private const val HEADER_TIMEOUT_MS = 3_000L
        private const val IDLE_TIMEOUT_MS = 15_000L
        private const val RETRY_BUDGET_SHARE = 0.2
        private const val RETRY_BUDGET_SLACK = 129
        private const val MS_PER_S = 1_000.0

        /** A load report passes two relays, each of which forwards every 400 ms. */
        private const val MAX_RELAY_MS = 800L

        /** Same intervals as in the daemon. */
        private const val REPORT_INTERVAL_MS = 200L
        private const val TICK_MS = 20L
    }
}

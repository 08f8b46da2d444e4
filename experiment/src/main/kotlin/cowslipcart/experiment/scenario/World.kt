package cowslipcart.experiment.scenario

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.host.HostController
import cowslipcart.core.host.HostInput
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.host.createHostController
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.core.origin.requestIdOf
import kotlin.random.Random

/** Creates the control state of a process; tests wrap the real one to inject a fault. */
internal typealias ControllerFactory = (HostIdentity, Random) -> HostController

/** Size, settings and random seed of a [World]. */
internal data class WorldSetup(
    val hostCount: Int = 3,
    val engineCount: Int = 3,
    val serviceCount: Int = 2,
    val slotCount: Int = 4,
    val listLagMs: Long = 1_000,
    val seed: Long = 1,
    val shardCount: Int = 1,
    val maxQueued: Int = 200
)

/**
 * A simulated deployment in virtual time: hosts with their real control state, and fakes of the
 * endpoints, the log, the host list and the network.
 */
internal class World(
    val setup: WorldSetup,
    private val createController: ControllerFactory = ::createHostController
) {
    private val random = Random(setup.seed)
    private val processes = sortedMapOf<HostId, HostProcess>()
    private val requestCounts = HashMap<HostId, Long>()
    private var queryCount = 0L

    val time = Timeline()
    val journal = Journal()
    val log = FakeLog(time)
    val hostList = FakeHostList(time, setup.listLagMs)
    val operators = Operators(this)
    val revisions = RevisionChecker()
    val triggers = PauseTriggers(time)
    val network = Network(time, random, ::deliver)
    val hosts: List<HostId> = (1..setup.hostCount).map { HostId("host-$it") }
    private val endpoints = InitialConfiguration.endpoints(setup).associate { (spec, isModel) ->
        spec.id to FakeEndpoint(spec, isModel, time, journal)
    }

    /** All calls in the order in which they were made. */
    val callers = ArrayList<CallerRecord>()

    /** Running processes, paused ones included. */
    val running: Collection<HostProcess> get() = processes.values

    val allEndpoints: Collection<FakeEndpoint> get() = endpoints.values

    /** Publishes the deployment, starts all hosts and waits until they can take requests. */
    fun start() {
        InitialConfiguration.records(setup).forEach { log.config.add(it, time.wallNowMs) }
        hosts.forEach { hostList.list(it, isLate = false) }
        hosts.forEach { boot(it) }
        time.advance(WARM_UP_MS)
    }

    fun endpoint(id: EndpointId): FakeEndpoint = endpoints.getValue(id)

    fun findEndpoint(id: EndpointId): FakeEndpoint? = endpoints[id]

    /** Returns the process of [host], or null if it was killed. */
    fun process(host: HostId): HostProcess? = processes[host]

    /** Starts a new process of [host] with a new incarnation. */
    fun boot(host: HostId) {
        val identity = HostIdentity(
            host,
            IncarnationId(random.nextLong()),
            DomainId("domain-${host.value.last()}"),
            FakeHostList.addressOf(host)
        )
        val controller = createController(identity, Random(random.nextLong()))
        val process = HostProcess(identity, controller, this)
        processes[host] = process
        revisions.onStarted(process)
        requestCounts.remove(host)
        process.start()
    }

    /** Ends the process at once; the host list shows it after its lag. */
    fun kill(host: HostId) {
        time.note("$host: killed")
        processes.remove(host)?.kill()
        hostList.remove(host)
    }

    fun restart(host: HostId) {
        processes.remove(host)?.kill()
        time.note("$host: started again")
        hostList.list(host)
        boot(host)
    }

    /** Makes a call; it gets no reply if its host is down. */
    fun call(call: CallerCall): CallerRecord {
        val process = processes[call.host]
        val number = requestCounts.merge(call.host, 1, Long::plus) ?: 1
        val requestId = process
            ?.let { requestIdOf(ProcessId(it.host, it.identity.incarnation), number) }
            ?: RequestId("none")
        val outputCount = if (call.route == Route.CHAT) call.outputTokens else 1
        val record = CallerRecord(
            call,
            EndpointCall(
                requestId,
                call.host,
                call.scopedKey,
                call.organisation.value,
                call.content,
                call.promptTokens,
                outputCount
            )
        )
        callers += record
        time.note("${call.name}: sent to ${call.host} as $requestId, key ${call.keyUuid}")
        process?.call(requestId, record)
        return record
    }

    /** Asks [host] for the outcome of a request; the returned function gives the answer or null. */
    fun ask(
        host: HostId,
        organisation: OrganisationId,
        requestId: RequestId
    ): () -> RequestOutcome? {
        val queryId = ++queryCount
        val process = processes[host]
        process?.input(HostInput.FindOutcome(queryId, organisation, requestId))
        return { process?.outcomes?.get(queryId) }
    }

    private fun deliver(from: HostId, to: HostId, message: PeerMessage) {
        val process = processes[to] ?: return
        triggers.onMessage(process, message)
        process.input(HostInput.PeerMessageReceived(from, message))
    }

    private companion object {
        const val WARM_UP_MS = 4_000L
    }
}

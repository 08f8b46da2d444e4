package cowslipcart.experiment.sim

import cowslipcart.core.capacity.SchedulerDecision
import cowslipcart.core.capacity.SchedulerPolicy
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import cowslipcart.experiment.workload.Arrival
import cowslipcart.experiment.workload.Fault
import cowslipcart.experiment.workload.Workload
import cowslipcart.standins.engine.EngineEvent
import kotlin.random.Random

/** Runs [arrivals] of [workload] under [policy] in virtual time and returns its records. */
internal fun simulate(
    workload: Workload,
    arrivals: List<Arrival>,
    policy: SchedulerPolicy,
    seed: Long,
    factory: SchedulerFactory
): RunRecorder = Simulation(workload, arrivals, policy, seed, factory).run()

private class Simulation(
    private val workload: Workload,
    private val arrivals: List<Arrival>,
    private val policy: SchedulerPolicy,
    seed: Long,
    private val factory: SchedulerFactory
) {
    private val queue = EventQueue()
    private val recorder = RunRecorder(arrivals)
    private val schedulerRandom = Random(seed xor SCHEDULER_SALT)
    private val reportRandom = Random(seed xor REPORT_SALT)
    private val hostOfRequest = mutableMapOf<RequestId, OriginHost>()
    private val engines = workload.engines
        .flatMap { group -> group.endpointIds.map { it to group } }
        .associate { (id, group) -> id to SimulatedEngine(id, group, queue, ::routeEvent) }
    private val run = RunContext(workload, queue, recorder, engines)
    private val hosts = (1..workload.hosts).map { OriginHost(HostId("host-$it"), run) }
    private val hostsById = hosts.associateBy { it.id }
    private var owners = createOwners()

    fun run(): RunRecorder {
        hosts.forEachIndexed { index, host -> host.owner = owners[index % owners.size] }
        arrivals.forEach { queue.schedule(it.atMs) { accept(it) } }
        workload.faults.forEach(::scheduleFault)
        every(workload.reports.intervalMs) { owners.forEach { pollLoad(it) } }
        every(CACHE_POLL_MS, ::pollCaches)
        every(PROGRESS_INTERVAL_MS) { hosts.forEach { it.sendProgress() } }
        every(TICK_INTERVAL_MS) { owners.forEach { it.tick() } }
        queue.run { recorder.openCount > 0 }
        return recorder
    }

    private fun createOwners(): List<ShardOwner> =
        List(if (policy.isShared) 1 else workload.hosts) { createOwner(rebuild = false) }

    private fun createOwner(rebuild: Boolean): ShardOwner {
        val random = Random(schedulerRandom.nextLong())
        val scheduler = factory.create(policy, shardConfig(workload), random, rebuild)
        return ShardOwner(scheduler, policy.isShared, run, ::deliver)
    }

    private fun deliver(host: HostId, decision: SchedulerDecision) {
        hostsById.getValue(host).receive(decision)
    }

    private fun routeEvent(event: EngineEvent) {
        val requestId = when (event) {
            is EngineEvent.Token -> event.requestId
            is EngineEvent.Finished -> event.requestId
            is EngineEvent.Crashed, is EngineEvent.OrderApplied -> return
        }
        val host = hostOfRequest.getValue(requestId)
        queue.scheduleIn(workload.delays.hostToEngineMs) { host.receive(event) }
    }

    /** Hands the request to its host, or to the next live one if that host is dead. */
    private fun accept(arrival: Arrival) {
        val host = hosts.indices.map { hosts[(arrival.host + it) % hosts.size] }
            .first { it.isAlive }
        hostOfRequest[arrival.requestId] = host
        host.accept(arrival)
    }

    /** Repeats [action] every [intervalMs]. */
    private fun every(intervalMs: Long, action: () -> Unit) {
        queue.scheduleIn(intervalMs) {
            action()
            every(intervalMs, action)
        }
    }

    /** Polls the load of all engines; owners are spread evenly over the interval. */
    private fun pollLoad(owner: ShardOwner) {
        val index = owners.indexOf(owner)
        val reports = workload.reports
        queue.scheduleIn(index * reports.intervalMs / owners.size) {
            for (engine in engines.values) {
                val report = engine.report()
                recorder.controlBytes += ControlBytes.LOAD_REPORT
                queue.scheduleIn(reports.lagMs) {
                    owner.applyLoadReport(report.copy(ageMs = report.ageMs + reports.lagMs))
                }
            }
        }
    }

    /** Baselines get no cache events; caches are polled for them only to measure missed reuse. */
    private fun pollCaches() {
        val reports = workload.reports
        for (engine in engines.values) {
            val events = engine.pollCache()
                .filter { reportRandom.nextDouble() >= reports.cacheLossShare }
            if (policy.isShared && events.isNotEmpty()) {
                recorder.controlBytes += ControlBytes.CACHE_EVENT * events.size
                queue.scheduleIn(reports.cacheLagMs) {
                    owners.forEach { it.applyCacheEvents(events) }
                }
            }
        }
    }

    private fun scheduleFault(fault: Fault) = when (fault) {
        is Fault.SlowEngine -> {
            val engine = run.engine(fault.endpoint)
            queue.schedule(fault.fromMs) { engine.call { setSlowFactor(fault.factor, it) } }
            queue.schedule(fault.untilMs) { engine.call { setSlowFactor(1.0, it) } }
        }

        is Fault.KillHost -> queue.schedule(fault.atMs) { killHost(fault.host - 1) }
    }

    private fun killHost(index: Int) {
        val host = hosts[index]
        if (!host.isAlive) return
        recorder.add(TraceEvent.HostKilled(queue.nowMs, host.id))
        host.kill()
        if (!policy.isShared) {
            owners[index].isAlive = false
            return
        }
        val isOwner = index == OWNER_HOST
        if (isOwner) owners.forEach { it.isAlive = false }
        queue.scheduleIn(FAILURE_DETECTION_MS) {
            if (isOwner) replaceOwner() else owners.forEach { it.dropOrigin(host.id) }
        }
    }

    /** Creates a new owner; each host switches to it after its own random delay. */
    private fun replaceOwner() {
        val owner = createOwner(rebuild = true)
        owners = listOf(owner)
        hosts.forEach { host ->
            queue.scheduleIn(reportRandom.nextLong(OWNER_CHANGE_JITTER_MS + 1)) {
                host.changeOwner(owner)
            }
        }
    }

    private companion object {
        const val OWNER_HOST = 0
        const val FAILURE_DETECTION_MS = 4_000L
        const val OWNER_CHANGE_JITTER_MS = 200L
        const val PROGRESS_INTERVAL_MS = 1_000L
        const val TICK_INTERVAL_MS = 50L

        /** Each poll scans the whole event log of an engine, so shorter intervals are slow. */
        const val CACHE_POLL_MS = 500L
        const val SCHEDULER_SALT = 0x5C4ED01EL
        const val REPORT_SALT = 0x0F4A7B11L
    }
}

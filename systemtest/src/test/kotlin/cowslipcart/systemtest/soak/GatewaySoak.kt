package cowslipcart.systemtest.soak

import cowslipcart.standins.platform.RunnerFault
import cowslipcart.standins.platform.RunnerServer
import cowslipcart.standins.platform.StoreFault
import cowslipcart.systemtest.GatewayCluster
import cowslipcart.systemtest.GatewayHandle
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlinx.coroutines.runBlocking

/**
 * Runs gateway processes under load from callers while faults are injected: network links that
 * delay, drop bytes in one direction or both, or reset; a store that fails; runners that lose
 * answers; gateways that are paused, killed, stopped and restarted. Faults may overlap; [seed]
 * determines their choice and timing.
 */
internal class GatewaySoak(private val seed: Long) : AutoCloseable {
    /** A gateway process whose connections to the store pass through [storeLink]. */
    private class ProxiedGateway(
        val name: String,
        val storeLink: FaultProxy,
        @Volatile var handle: GatewayHandle
    )

    /** A runner that gateways reach through [link]. */
    private class ProxiedRunner(val id: String, val service: String, val server: RunnerServer) {
        val link = FaultProxy(server.address.substringAfterLast(':').toInt())
    }

    private val random = Random(seed)
    private val cluster = GatewayCluster()
    private val gateways = CopyOnWriteArrayList<ProxiedGateway>()
    private val runners = mutableListOf<ProxiedRunner>()
    private val failures = CopyOnWriteArrayList<String>()
    val log = SoakLog()

    @Volatile
    private var isStopped = false

    /** Injects faults for [faultMs], lets the system recover, and returns a line per violation. */
    fun run(faultMs: Long): List<String> {
        start()
        val callers = (1..CALLER_COUNT).map { number ->
            val caller = SoakCaller(number, ::targets, log, Random(seed * CALLER_COUNT + number))
            thread(name = "caller-$number") { caller.run { isStopped } }
        }
        val disruptions = mutableListOf<Thread>()
        while (log.nowMs() < faultMs) {
            TimeUnit.MILLISECONDS.sleep(random.nextLong(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
            disruptions += startDisruption()
        }
        disruptions.forEach { it.join() }
        log.lastFaultEndMs = log.nowMs()
        TimeUnit.MILLISECONDS.sleep(QUIET_MS)
        isStopped = true
        callers.forEach { it.join() }
        return SoakChecks(log, runs()).findViolations() + failures
    }

    override fun close() {
        gateways.forEach { it.storeLink.close() }
        runners.forEach { it.link.close() }
        cluster.close()
    }

    private fun start() {
        cluster.publish(keys = listOf(KEPT_KEY, REMOVED_KEY))
        repeat(RUNNERS_PER_SERVICE) { number ->
            addRunner("desk-$number", "desk")
            addRunner("model-$number", "model")
        }
        repeat(GATEWAY_COUNT) { number ->
            val link = FaultProxy(cluster.store.port)
            val name = "gateway-$number"
            gateways += ProxiedGateway(name, link, cluster.startGateway(name, link.port))
        }
        runBlocking { gateways.forEach { it.handle.awaitReady() } }
    }

    private fun addRunner(id: String, service: String) {
        val runner = ProxiedRunner(id, service, cluster.startRunner(id, service, EVENT_GAP_MS))
        runners += runner
        writeState(runner, "ready")
    }

    private fun writeState(runner: ProxiedRunner, state: String) =
        cluster.register(runner.id, "127.0.0.1:${runner.link.port}", runner.service, state)

    private fun targets() = gateways.map { SoakTarget(it.name, it.handle.frontPort) }

    private fun runs(): List<SoakRun> = runners.flatMap { runner ->
        synchronized(runner.server.runs) { runner.server.runs.toList() }.map {
            val agoMs = it.startedAt.elapsedNow().inWholeMilliseconds
            SoakRun(it.id, runner.id, log.nowMs() - agoMs)
        }
    }

    /** Starts a random fault or planned change on a new thread; a fault ends after its duration. */
    private fun startDisruption(): Thread {
        val gateway = gateways.random(random)
        val runner = runners.random(random)
        val durationMs = random.nextLong(MIN_FAULT_MS, MAX_FAULT_MS)
        val fault = LINK_FAULTS.random(random)
        val disrupt: () -> Unit = when (random.nextInt(DISRUPTION_KINDS)) {
            0 -> ({ pause(gateway, durationMs) })
            1 -> ({ restart(gateway, "kill") { it.kill() } })
            2, 3 -> ({ restart(gateway, null) { it.terminate() } })
            4 -> ({ injectStoreLinkFault(gateway, fault, durationMs) })
            5 -> ({ injectRunnerLinkFault(runner, fault, durationMs) })
            6 -> ({ injectStoreFault(durationMs) })
            7 -> ({ injectRunnerFaults(runner) })
            8 -> ({ drain(runner) })
            else -> ({ removeKey() })
        }
        return thread {
            try {
                disrupt()
            } catch (e: IOException) {
                failures += "a fault could not be put in: $e"
            }
        }
    }

    private fun pause(gateway: ProxiedGateway, durationMs: Long) = synchronized(gateway) {
        val end = log.beginDisturbance(gateway.name, "pause for $durationMs ms")
        gateway.handle.process.pause()
        TimeUnit.MILLISECONDS.sleep(durationMs)
        gateway.handle.process.resume()
        end()
    }

    /** Ends the process with [signal] and starts it again; [fault] is null for a graceful stop. */
    private fun restart(
        gateway: ProxiedGateway,
        fault: String?,
        signal: (cowslipcart.systemtest.ManagedProcess) -> Unit
    ) = synchronized(gateway) {
        val end = fault?.let { log.beginDisturbance(gateway.name, it) }
        if (end == null) log.note("${gateway.name}: stop")
        signal(gateway.handle.process)
        gateway.handle.process.awaitExit()
        gateway.handle = cluster.startGateway(gateway.name, gateway.storeLink.port)
        runBlocking { gateway.handle.awaitReady() }
        end?.invoke()
    }

    private fun injectStoreLinkFault(gateway: ProxiedGateway, fault: LinkFault, durationMs: Long) {
        val end = log.beginDisturbance(gateway.name, "store link $fault for $durationMs ms")
        gateway.storeLink.fault = fault
        if (fault == LinkFault.Refuse) gateway.storeLink.reset()
        TimeUnit.MILLISECONDS.sleep(durationMs)
        gateway.storeLink.fault = LinkFault.None
        end()
    }

    private fun injectRunnerLinkFault(runner: ProxiedRunner, fault: LinkFault, durationMs: Long) {
        val end = log.beginDisturbance("runners", "link of ${runner.id} $fault for $durationMs ms")
        runner.link.fault = fault
        if (fault == LinkFault.Refuse) runner.link.reset()
        TimeUnit.MILLISECONDS.sleep(durationMs)
        runner.link.fault = LinkFault.None
        runner.link.reset()
        end()
    }

    private fun injectStoreFault(durationMs: Long) = synchronized(cluster) {
        val fault = STORE_FAULTS[(durationMs % STORE_FAULTS.size).toInt()]
        val end = log.beginDisturbance("store", "$fault for $durationMs ms")
        cluster.store.fault = fault
        TimeUnit.MILLISECONDS.sleep(durationMs)
        cluster.store.fault = StoreFault.None
        cluster.store.log.compact("keyed.op")
        cluster.store.log.compact("keyed.servers")
        end()
    }

    private fun injectRunnerFaults(runner: ProxiedRunner) {
        val end = log.beginDisturbance("runners", "lost answers of ${runner.id}")
        synchronized(runner.server.faults) { runner.server.faults += RUNNER_FAULTS }
        TimeUnit.MILLISECONDS.sleep(MAX_FAULT_MS)
        synchronized(runner.server.faults) { runner.server.faults.clear() }
        end()
    }

    /** Drains the runner for the rest of the soak, if another runner of its service remains. */
    private fun drain(runner: ProxiedRunner): Unit = synchronized(runners) {
        val others = runners.filter { it.service == runner.service && it !== runner }
        if (others.all { it.id in log.drainingSinceMs } || runner.id in log.drainingSinceMs) return
        writeState(runner, "draining")
        log.drainingSinceMs[runner.id] = log.nowMs()
        log.note("${runner.id}: draining")
    }

    private fun removeKey(): Unit = synchronized(log) {
        if (log.keyRemovedAtMs != null) return
        cluster.publish(keys = listOf(KEPT_KEY))
        log.keyRemovedAtMs = log.nowMs()
        log.note("key removed")
    }

    companion object {
        const val KEPT_KEY = "sample-key"
        const val REMOVED_KEY = "removed-key"
        private const val GATEWAY_COUNT = 3
        private const val CALLER_COUNT = 6
        private const val RUNNERS_PER_SERVICE = 3
        private const val EVENT_GAP_MS = 15L
        private const val MIN_INTERVAL_MS = 150L
        private const val MAX_INTERVAL_MS = 900L
        private const val MIN_FAULT_MS = 200L
        private const val MAX_FAULT_MS = 2_500L
        private const val QUIET_MS = SoakChecks.RECOVERY_MS + 2_000L
        private const val DISRUPTION_KINDS = 10
        private val LINK_FAULTS = listOf(
            LinkFault.Delay(120),
            LinkFault.CutOneWay,
            LinkFault.Silent,
            LinkFault.Refuse
        )
        private val STORE_FAULTS =
            listOf(StoreFault.Busy, StoreFault.Silent, StoreFault.Slow(400))
        private val RUNNER_FAULTS = listOf(
            RunnerFault.AnswerLost,
            RunnerFault.ExtraAnswer,
            RunnerFault.Fails,
            RunnerFault.BreakAt(5),
            RunnerFault.Full,
            RunnerFault.Hang
        )
    }
}

package cowslipcart.systemtest.soak

import cowslipcart.standins.platform.RunnerFault
import cowslipcart.standins.platform.RunnerServer
import cowslipcart.standins.platform.StoreFault
import cowslipcart.systemtest.GatewayCluster
import cowslipcart.systemtest.GatewayHandle
import cowslipcart.systemtest.ManagedProcess
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlinx.coroutines.runBlocking

/** Faults and planned changes of a soak; runners may fall silent around planned work. */
internal enum class Disruption(val isPlanned: Boolean) {
    PAUSE(isPlanned = false),
    KILL(isPlanned = false),
    STORE_LINK(isPlanned = false),
    RUNNER_LINK(isPlanned = false),
    STORE(isPlanned = false),
    RUNNER_FAULTS(isPlanned = false),
    STOP(isPlanned = true),
    STOP_AGAIN(isPlanned = true),
    RELOAD(isPlanned = true),
    SILENCE(isPlanned = true),
    NO_LENGTH(isPlanned = true),
    DRAIN(isPlanned = true),
    REMOVED_KEY(isPlanned = true),
    CONFIGURATION(isPlanned = true),
    CONFIGURATION_AGAIN(isPlanned = true),
    CONFIGURATION_SERIES(isPlanned = true),
    CONFIGURATION_STORM(isPlanned = true)
}

/** A gateway process whose connections to the store pass through [storeLink]. */
internal class ProxiedGateway(
    val name: String,
    val storeLink: FaultProxy,
    @Volatile var handle: GatewayHandle
)

/** A runner that gateways reach through [link]. */
internal class ProxiedRunner(val id: String, val service: String, val server: RunnerServer) {
    val link = FaultProxy(server.address.substringAfterLast(':').toInt())
}

/** Gateways, runners and configuration that a soak disturbs. */
internal class SoakSystem(
    val cluster: GatewayCluster,
    val gateways: List<ProxiedGateway>,
    val runners: List<ProxiedRunner>,
    val configuration: SoakConfiguration
)

/** Applies faults and planned changes of [kinds] to [system]; [log] records them. */
internal class SoakDisruptions(
    private val system: SoakSystem,
    private val log: SoakLog,
    private val random: Random,
    private val kinds: List<Disruption>
) {
    /** Chooses a disruption; the returned function applies it and returns at its end. */
    fun next(): () -> Unit {
        val gateway = system.gateways.random(random)
        val runner = system.runners.random(random)
        val durationMs = random.nextLong(MIN_FAULT_MS, MAX_FAULT_MS)
        val fault = LINK_FAULTS.random(random)
        val kind = kinds.random(random)
        return { apply(kind, gateway, runner, fault, durationMs) }
    }

    private fun apply(
        kind: Disruption,
        gateway: ProxiedGateway,
        runner: ProxiedRunner,
        fault: LinkFault,
        durationMs: Long
    ) {
        val change = ConfigurationChange.entries[
            (durationMs % ConfigurationChange.entries.size).toInt()
        ]
        when (kind) {
            Disruption.PAUSE -> pause(gateway, durationMs)

            Disruption.KILL -> restart(gateway, "kill") { it.kill() }

            Disruption.STOP, Disruption.STOP_AGAIN -> restart(gateway, null) { it.terminate() }

            Disruption.RELOAD -> reload(gateway)

            Disruption.STORE_LINK -> injectStoreLinkFault(gateway, fault, durationMs)

            Disruption.RUNNER_LINK -> injectRunnerLinkFault(runner, fault, durationMs)

            Disruption.STORE -> injectStoreFault(durationMs)

            Disruption.RUNNER_FAULTS -> injectRunnerFaults(runner)

            Disruption.SILENCE -> silence(
                runner,
                durationMs.coerceIn(MIN_SILENCE_MS, MAX_SILENCE_MS)
            )

            Disruption.NO_LENGTH -> answerWithoutLength(runner)

            Disruption.DRAIN -> drain(runner)

            Disruption.REMOVED_KEY -> system.configuration.removeKey()

            Disruption.CONFIGURATION, Disruption.CONFIGURATION_AGAIN ->
                system.configuration.change(change)

            Disruption.CONFIGURATION_SERIES -> repeat(SERIES_LENGTH) {
                system.configuration.change(change)
                TimeUnit.MILLISECONDS.sleep(durationMs / SERIES_LENGTH)
            }

            Disruption.CONFIGURATION_STORM -> system.configuration.storm(durationMs)
        }
    }

    private fun pause(gateway: ProxiedGateway, durationMs: Long) = synchronized(gateway) {
        val end = log.beginDisturbance("pause for $durationMs ms", gateway.name)
        log.onInterruption(gateway.name)
        gateway.handle.process.pause()
        TimeUnit.MILLISECONDS.sleep(durationMs)
        gateway.handle.process.resume()
        log.onInterruption(gateway.name)
        end()
    }

    /** Ends the process with [signal] and starts it again; [fault] is null for a graceful stop. */
    private fun restart(gateway: ProxiedGateway, fault: String?, signal: (ManagedProcess) -> Unit) =
        synchronized(gateway) {
            val end = fault?.let { log.beginDisturbance(it, gateway.name) }
            if (end == null) log.note("${gateway.name}: stop")
            log.onInterruption(gateway.name)
            signal(gateway.handle.process)
            gateway.handle.process.awaitExit()
            log.onInterruption(gateway.name)
            if (end == null) log.note("${gateway.name}: stopped")
            gateway.handle = system.cluster.startGateway(gateway.name, gateway.storeLink.port)
            runBlocking { gateway.handle.awaitReady() }
            end?.invoke()
        }

    private fun reload(gateway: ProxiedGateway) = synchronized(gateway) {
        log.note("${gateway.name}: reload")
        gateway.handle.process.reload()
    }

    private fun injectStoreLinkFault(gateway: ProxiedGateway, fault: LinkFault, durationMs: Long) {
        val end = log.beginDisturbance("store link $fault for $durationMs ms", gateway.name)
        gateway.storeLink.fault = fault
        if (fault == LinkFault.Refuse) gateway.storeLink.reset()
        TimeUnit.MILLISECONDS.sleep(durationMs)
        gateway.storeLink.fault = LinkFault.None
        end()
    }

    private fun injectRunnerLinkFault(runner: ProxiedRunner, fault: LinkFault, durationMs: Long) {
        val end = log.beginDisturbance(
            "link $fault for $durationMs ms",
            SoakChecks.RUNNERS,
            runner.id
        )
        runner.link.fault = fault
        if (fault == LinkFault.Refuse) runner.link.reset()
        TimeUnit.MILLISECONDS.sleep(durationMs)
        runner.link.fault = LinkFault.None
        runner.link.reset()
        end()
    }

    private fun silence(runner: ProxiedRunner, durationMs: Long) {
        val end = log.beginDisturbance(
            "silent for $durationMs ms",
            SoakChecks.SILENCE,
            runner.id
        )
        runner.link.fault = LinkFault.Hold
        TimeUnit.MILLISECONDS.sleep(durationMs)
        runner.link.fault = LinkFault.None
        end()
    }

    private fun injectStoreFault(durationMs: Long) = synchronized(system.cluster) {
        val fault = STORE_FAULTS[(durationMs % STORE_FAULTS.size).toInt()]
        val store = system.cluster.store
        val end = log.beginDisturbance("$fault for $durationMs ms", "store")
        store.fault = fault
        TimeUnit.MILLISECONDS.sleep(durationMs)
        store.fault = StoreFault.None
        store.log.compact("keyed.op")
        store.log.compact("keyed.servers")
        end()
    }

    private fun injectRunnerFaults(runner: ProxiedRunner) {
        val end = log.beginDisturbance("lost answers", SoakChecks.RUNNERS, runner.id)
        synchronized(runner.server.faults) { runner.server.faults += RUNNER_FAULTS }
        TimeUnit.MILLISECONDS.sleep(MAX_FAULT_MS)
        synchronized(runner.server.faults) { runner.server.faults.clear() }
        end()
    }

    /** Makes the next answers of [runner] end with their connection; they are whole. */
    private fun answerWithoutLength(runner: ProxiedRunner) {
        log.note("${runner.id}: answers without a length")
        val faults = runner.server.faults
        synchronized(faults) { repeat(NO_LENGTH_COUNT) { faults += RunnerFault.Unframed() } }
    }

    /** Drains the runner for the rest of the soak, if another runner of its service remains. */
    private fun drain(runner: ProxiedRunner): Unit = synchronized(system.runners) {
        val others = system.runners.filter { it.service == runner.service && it !== runner }
        if (others.all { log.isLeaving(it.id) } || runner.id in log.drainingSinceMs) return
        system.writeState(runner, "draining")
        log.drainingSinceMs[runner.id] = log.nowMs()
        log.note("${runner.id}: draining")
    }

    private companion object {
        const val MIN_FAULT_MS = 200L
        const val MAX_FAULT_MS = 2_500L
        const val MIN_SILENCE_MS = 500L
        const val MAX_SILENCE_MS = 2_000L
        const val SERIES_LENGTH = 3
        const val NO_LENGTH_COUNT = 10
        val LINK_FAULTS = listOf(
            LinkFault.Delay(120),
            LinkFault.CutOneWay,
            LinkFault.Silent,
            LinkFault.Refuse
        )
        val STORE_FAULTS = listOf(StoreFault.Busy, StoreFault.Silent, StoreFault.Slow(400))
        val RUNNER_FAULTS = listOf(
            RunnerFault.AnswerLost,
            RunnerFault.ExtraAnswer,
            RunnerFault.Fails,
            RunnerFault.BreakAt(5),
            RunnerFault.Full,
            RunnerFault.Hang
        )
    }
}

/** Writes the registry entry of [runner] with [state]. */
internal fun SoakSystem.writeState(runner: ProxiedRunner, state: String) =
    cluster.register(runner.id, "127.0.0.1:${runner.link.port}", runner.service, state)

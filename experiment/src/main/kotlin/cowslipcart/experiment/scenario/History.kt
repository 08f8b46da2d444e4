package cowslipcart.experiment.scenario

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.host.createHostController
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PresetName
import kotlin.random.Random

/** A random sequence of calls and faults; the same [seed] gives the same history. */
internal class History(seed: Long, createController: ControllerFactory = ::createHostController) {
    private val random = Random(seed)
    val world = World(
        WorldSetup(
            hostCount = 3 + random.nextInt(2),
            engineCount = 2,
            serviceCount = 2,
            slotCount = 1 + random.nextInt(3),
            listLagMs = random.nextLong(10_000),
            seed = seed
        ),
        createController
    )
    private var keyCount = 0
    private var changeCount = 0

    /** Performs the history; returns the violated guarantees, empty if none. */
    fun run(): List<String> = try {
        perform()
    } catch (e: IllegalStateException) {
        listOf("expected no failed check in a host, found: ${e.message}")
    }

    private fun perform(): List<String> {
        world.start()
        repeat(MIN_STEPS + random.nextInt(MIN_STEPS)) {
            performRandomStep()
            world.time.advance(gapMs())
        }
        repair()
        world.time.advance(SETTLE_MS)
        return Oracle.check(world)
    }

    private fun gapMs(): Long = when (random.nextInt(10)) {
        in 0..3 -> random.nextLong(30)
        in 4..8 -> random.nextLong(600)
        else -> random.nextLong(6_000)
    }

    private fun performRandomStep() {
        val pick = random.nextInt(100)
        when {
            pick < 30 -> send()
            pick < 58 -> resend()
            pick < 66 -> pause()
            pick < 71 -> killAndRestart()
            pick < 75 -> cut()
            pick < 81 -> outage()
            pick < 85 -> world.log.acksToLose += 1 + random.nextInt(2)
            pick < 87 -> world.log.trimClaims()
            pick < 90 -> raceOperators()
            pick < 95 -> breakStream()
            pick < 97 -> crashEndpoint()
            pick < 98 -> leaveEndpoint()
            else -> slow()
        }
    }

    private fun send() {
        val route = Route.entries.random(random)
        val isKeyed = !route.isIdempotent || random.nextBoolean()
        val number = world.callers.size
        world.call(
            CallerCall(
                name = "r$number",
                host = anyHost(),
                route = route,
                organisation = OrganisationId(listOf("city-parks", "harbour").random(random)),
                tier = random.nextInt(3),
                keyUuid = if (isKeyed) newKey() else null,
                content = "c$number",
                promptTokens = 50 + random.nextInt(500),
                outputTokens = 3 + random.nextInt(60),
                deadlineMs = null
            )
        )
    }

    private fun resend() {
        val keyed = world.callers.filter { it.call.keyUuid != null }
        if (keyed.isEmpty()) return send()
        val recent = if (random.nextBoolean()) keyed.takeLast(3) else keyed
        val first = recent.random(random).call
        world.call(first.copy(name = "r${world.callers.size}", host = anyHost()))
    }

    /** In a quarter of the keys the time is up to 30 s old or ahead within the clock allowance. */
    private fun newKey(): String {
        val skewMs = if (random.nextInt(4) == 0) random.nextLong(-30_000, 1_500) else 0
        val time = "%012x".format(world.time.wallNowMs + skewMs)
        return "${time.take(8)}-${time.drop(8)}-7000-8000-%012x".format(++keyCount)
    }

    private fun pause() {
        val process = anyProcess() ?: return
        if (random.nextBoolean()) {
            world.triggers.arm(process.host, PausePoint.entries.random(random))
        } else {
            world.time.note("${process.host}: paused")
            process.pause()
        }
        world.time.after(random.nextLong(9_000)) {
            if (process.isPaused) {
                world.time.note("${process.host}: woken")
                process.wake()
            }
        }
    }

    private fun killAndRestart() {
        val process = anyProcess() ?: return
        world.kill(process.host)
        world.time.after(random.nextLong(8_000)) {
            if (world.process(process.host) == null) world.restart(process.host)
        }
    }

    private fun cut() {
        val isolatedHosts = world.hosts.filterTo(mutableSetOf()) { random.nextBoolean() }
        world.time.note("network: cut around $isolatedHosts")
        world.network.cut(isolatedHosts)
        world.time.after(random.nextLong(10_000)) { world.network.heal() }
    }

    private fun outage() {
        val hosts = world.hosts.filter { random.nextInt(3) > 0 }.ifEmpty { world.hosts }
        world.time.note("log: out of reach of $hosts")
        world.log.unreachableHosts += hosts
        world.time.after(random.nextLong(8_000)) {
            world.time.note("log: back for $hosts")
            world.log.unreachableHosts -= hosts.toSet()
        }
    }

    private fun raceOperators() = repeat(2) {
        val process = anyProcess() ?: return@repeat
        val entry = ConfigEntry.SwitchPreset(
            process.configuration.revision,
            PresetName(InitialConfiguration.PRESETS.random(random)),
            "operator"
        )
        world.operators.publish("change-${++changeCount}", process.host, entry)
    }

    /** The endpoint continues the call, so that its answer arrives late. */
    private fun breakStream() {
        val open = world.callers.filter { it.reply == null }
        if (open.isEmpty()) return
        val record = open.random(random)
        world.process(record.call.host)?.breakStream(record.endpointCall.requestId)
    }

    private fun crashEndpoint() {
        val endpoint = world.allEndpoints.random(random)
        endpoint.crash()
        world.time.after(random.nextLong(5_000)) { endpoint.recover() }
    }

    private fun leaveEndpoint() {
        val endpoint = world.allEndpoints.random(random)
        if (endpoint.leavingSinceMs != null) return
        endpoint.leave()
        world.hostList.leave(endpoint.spec.id)
    }

    private fun slow() {
        world.log.latencyMs = random.nextLong(1, 700)
        world.network.delayMs = random.nextLong(1, 300)
        world.time.after(random.nextLong(6_000)) {
            world.log.latencyMs = FakeLog.LATENCY_MS
            world.network.delayMs = Network.DELAY_MS
        }
    }

    /** Ends all faults, so that open requests can finish. */
    private fun repair() {
        world.network.heal()
        world.network.delayMs = Network.DELAY_MS
        world.log.unreachableHosts.clear()
        world.log.latencyMs = FakeLog.LATENCY_MS
        world.allEndpoints.forEach { if (!it.isUp) it.recover() }
        world.running.toList().forEach { it.wake() }
        world.hosts.forEach { if (world.process(it) == null) world.restart(it) }
    }

    private fun anyHost(): HostId = world.hosts.random(random)

    private fun anyProcess(): HostProcess? = world.process(anyHost())

    private companion object {
        const val MIN_STEPS = 25
        const val SETTLE_MS = 10_000L
    }
}

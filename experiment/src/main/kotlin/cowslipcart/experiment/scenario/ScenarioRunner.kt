package cowslipcart.experiment.scenario

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.host.createHostController
import cowslipcart.core.model.DrainSpec
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.Revision
import cowslipcart.core.origin.RequestOutcome

/** Result of a scenario. */
internal sealed interface ScenarioResult {
    data object Passed : ScenarioResult

    /** The step at [line] failed; [line] is 0 for a violated guarantee. */
    data class Failed(val line: Int, val detail: String, val trace: List<String>) :
        ScenarioResult
}

/** Runs [scenario]; stops at the first expectation that fails. */
internal fun runScenario(
    scenario: Scenario,
    createController: ControllerFactory = ::createHostController
): ScenarioResult {
    val world = World(scenario.setup, createController)
    world.start()
    val script = Script(world)
    for (line in scenario.steps) {
        val fault = try {
            script.run(line.step)
        } catch (e: IllegalArgumentException) {
            e.message
        } catch (e: IllegalStateException) {
            e.message
        }
        if (fault != null) {
            return ScenarioResult.Failed(line.line, "${line.name}: $fault", world.time.trace)
        }
    }
    val violation = Oracle.check(world).firstOrNull() ?: return ScenarioResult.Passed
    return ScenarioResult.Failed(0, violation, world.time.trace)
}

/** Performs the steps of a scenario in [world]. */
internal class Script(private val world: World) {
    private val keys = IdempotencyKeys(world)
    private val calls = HashMap<String, CallerRecord>()
    private val questions = HashMap<String, () -> RequestOutcome?>()
    private val expectations = Expectations(world, keys, calls, questions)

    /** Performs [step] and returns why an expectation failed, or null. */
    fun run(step: Step): String? {
        when (step) {
            is Step.Expect -> return expectations.check(step)
            is Step.Send -> send(step)
            is Step.Resend -> resend(step)
            is Step.Ask -> ask(step)
            is Step.Pause -> pause(step)
            is Step.Wake -> process(step.host).wake()
            is Step.Kill -> world.kill(process(step.host).host)
            is Step.Restart -> world.restart(host(step.host))
            is Step.Cut -> world.network.cut(step.hosts.mapTo(mutableSetOf()) { host(it) })
            is Step.Heal -> heal(step.target)
            is Step.Outage -> outage(step)
            is Step.Slow -> slow(step)
            is Step.LoseAck -> world.log.acksToLose += step.count
            Step.Trim -> world.log.trimClaims()
            is Step.Publish -> publish(step)
            is Step.Switch -> switch(step)
            is Step.Drain -> drain(step)
            is Step.CrashEndpoint -> endpoint(step.endpoint).crash()
            is Step.RecoverEndpoint -> endpoint(step.endpoint).recover()
            is Step.LeaveEndpoint -> leave(step.endpoint)
            is Step.BreakStream -> breakStream(step.request)
            is Step.Advance -> world.time.advance(step.durationMs)
        }
        return null
    }

    private fun send(step: Step.Send) = call(
        CallerCall(
            name = step.request,
            host = host(step.host),
            route = step.route.route,
            organisation = OrganisationId(step.organisation),
            tier = step.tier,
            keyUuid = step.key?.let { keys.uuidOf(it) },
            content = step.content ?: step.request,
            promptTokens = step.promptTokens,
            outputTokens = step.outputTokens,
            deadlineMs = step.deadlineMs,
            session = step.session
        )
    )

    private fun resend(step: Step.Resend) {
        val first = record(step.of).call
        call(
            first.copy(
                name = step.request,
                host = host(step.host),
                keyUuid = step.key?.let { keys.uuidOf(it) } ?: first.keyUuid,
                content = step.content ?: first.content,
                organisation = step.organisation?.let { OrganisationId(it) }
                    ?: first.organisation
            )
        )
    }

    private fun call(call: CallerCall) {
        require(call.name !in calls) { "expected a new request name, found ${call.name} again" }
        require(call.route.isIdempotent || call.keyUuid != null) {
            "expected a key for a sign-off, found none"
        }
        calls[call.name] = world.call(call)
    }

    private fun ask(step: Step.Ask) {
        val requestId = record(step.request).endpointCall.requestId
        questions[step.question] =
            world.ask(host(step.host), OrganisationId(step.organisation), requestId)
    }

    private fun pause(step: Step.Pause) {
        val process = process(step.host)
        if (step.before == null) {
            world.time.note("${process.host}: paused")
            process.pause()
        } else {
            world.triggers.arm(process.host, step.before)
        }
    }

    private fun heal(target: HealTarget) {
        world.time.note("heals ${target.name.lowercase()}")
        if (target != HealTarget.LOG) {
            world.network.heal()
            world.network.delayMs = Network.DELAY_MS
        }
        if (target != HealTarget.NETWORK) {
            world.log.unreachableHosts.clear()
            world.log.latencyMs = FakeLog.LATENCY_MS
        }
    }

    private fun outage(step: Step.Outage) {
        val hosts = step.hosts.map { host(it) }.ifEmpty { world.hosts }
        world.time.note("log: out of reach of $hosts")
        world.log.unreachableHosts += hosts
    }

    private fun slow(step: Step.Slow) {
        step.logMs?.let { world.log.latencyMs = it }
        step.networkMs?.let { world.network.delayMs = it }
        step.endpoint?.let { endpoint(it).slowness = step.factor }
    }

    private fun publish(step: Step.Publish) {
        val upserts = listOfNotNull(
            step.organisation?.let { InitialConfiguration.organisation(OrganisationId(it)) },
            step.drainEndpoint?.let { DrainSpec(endpoint(it).spec.id) }
        )
        val base = baseOf(step.host, step.base)
        val entry = ConfigEntry.Publish(base, upserts, emptyList(), step.change)
        world.operators.publish(step.change, host(step.host), entry)
    }

    private fun switch(step: Step.Switch) {
        val entry = ConfigEntry.SwitchPreset(
            baseOf(step.host, step.base),
            PresetName(step.preset),
            step.change
        )
        world.operators.publish(step.change, host(step.host), entry)
    }

    private fun baseOf(host: String, base: Long?): Revision =
        base?.let { Revision(it) } ?: process(host).configuration.revision

    private fun drain(step: Step.Drain) {
        val process = process(step.host)
        world.time.note("${process.host}: shuts down gracefully")
        process.drain(step.limitMs)
    }

    private fun leave(name: String) {
        val endpoint = endpoint(name)
        endpoint.leave()
        world.hostList.leave(endpoint.spec.id)
    }

    private fun breakStream(request: String) {
        val record = record(request)
        world.process(record.call.host)?.breakStream(record.endpointCall.requestId)
    }

    private fun record(name: String): CallerRecord =
        requireNotNull(calls[name]) { "expected a request that was sent, found $name" }

    private fun host(name: String): HostId = HostId(name).also {
        require(it in world.hosts) { "expected one of ${world.hosts}, found $name" }
    }

    private fun process(name: String): HostProcess =
        requireNotNull(world.process(host(name))) { "expected $name to run, found it down" }

    private fun endpoint(name: String): FakeEndpoint =
        requireNotNull(world.findEndpoint(EndpointId(name))) {
            "expected one of ${world.allEndpoints.map { it.spec.id }}, found $name"
        }
}

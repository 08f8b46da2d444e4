package cowslipcart.core.claims

import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId

/** Hosts of one history and the parts that they share and that outlive a restart of a host. */
internal class ClaimHosts(
    val simulation: Simulation,
    val log: FakeLog<List<ClaimItem>>,
    val checker: DispatchChecker,
    val createBatcher: () -> ClaimBatcher
) {
    val byId = LinkedHashMap<HostId, ClaimHost>()

    fun start(id: HostId) {
        byId[id] = ClaimHost(id, this)
    }

    /** Sends to a random host, as hosts may disagree about which one runs the batcher. */
    fun sendToBatcher(item: ClaimItem, from: HostId) {
        val to = simulation.pick(byId.keys.toList())
        simulation.send { byId.getValue(to).receive(item, from) }
    }
}

/** A host process with an origin and a batcher of the partition. */
internal class ClaimHost(private val id: HostId, private val shared: ClaimHosts) {
    private val simulation = shared.simulation
    private val batcher = shared.createBatcher()
    private val self = ProcessId(id, IncarnationId(simulation.random.nextLong()))
    val process = SimulatedProcess(simulation)
    val origin =
        FakeOrigin(simulation, process, self, shared.checker) { shared.sendToBatcher(it, id) }

    fun receive(item: ClaimItem, from: HostId) = process.run {
        perform(
            when (item) {
                is ClaimItem.Claim -> batcher.claim(item, from, simulation.nowMs)

                is ClaimItem.Release, is ClaimItem.Outcome -> batcher.enqueue(
                    item,
                    simulation.nowMs
                )
            }
        )
    }

    fun tickUntil(endMs: Long) {
        if (simulation.nowMs > endMs) return
        process.run { perform(batcher.tick(simulation.nowMs)) }
        simulation.after(20) { tickUntil(endMs) }
    }

    private fun perform(effects: List<BatcherEffect>): Unit = effects.forEach { effect ->
        when (effect) {
            is BatcherEffect.Append -> shared.log.append(
                effect.items,
                {
                    process.run {
                        perform(batcher.onAppendFailed(effect.batchId, it, simulation.nowMs))
                    }
                },
                {
                    process.run {
                        perform(batcher.onAppended(effect.batchId, it, simulation.nowMs))
                    }
                }
            )

            is BatcherEffect.Read -> shared.log.read(
                effect.from,
                { process.run { perform(batcher.onReadFailed(it, simulation.nowMs)) } },
                { process.run { onPage(it) } }
            )

            is BatcherEffect.Reply -> {
                shared.checker.onVerdict(effect.attempt, effect.verdict)
                simulation.send { shared.byId.getValue(effect.to).onReply(effect) }
            }
        }
    }

    private fun onReply(reply: BatcherEffect.Reply) =
        process.run { origin.onVerdict(reply.attempt, reply.verdict) }

    private fun onPage(page: FakeLog.Page<List<ClaimItem>>) {
        val records = page.records.map { ClaimRecord(it.offset, it.appendedAtMs, it.payload) }
        perform(batcher.onRecords(records, page.firstKept, page.end, simulation.nowMs))
    }
}

/** One generated history of claims that batchers decide by the log, with random faults. */
internal class ClaimHistory(seed: Long, createBatcher: () -> ClaimBatcher) {
    val simulation = Simulation(seed)
    val log = FakeLog<List<ClaimItem>>(simulation)
    val checker = DispatchChecker(simulation)
    private val hosts = ClaimHosts(simulation, log, checker, createBatcher)
    private val hostIds = List(3) { HostId("h$it") }
    private val keys = ArrayList<RequestKey>()

    fun run() {
        hostIds.forEach { hosts.start(it) }
        checker.mayExpire = { key -> log.isTrimmed || key.keyTimeMs < simulation.nowMs - HOUR_MS }
        repeat(simulation.random.nextInt(2, 5)) { runPhase() }
    }

    private fun runPhase() {
        simulation.messageFaultRate = simulation.pick(listOf(0.0, 0.03, 0.1))
        log.faultRate = simulation.pick(listOf(0.0, 0.05, 0.25))
        val endMs = simulation.nowMs + PHASE_MS
        hosts.byId.values.forEach { it.tickUntil(endMs) }
        repeat(simulation.random.nextInt(2, 6)) { keys += newKey(keys.size) }
        keys.forEach { key ->
            repeat(simulation.random.nextInt(0, 4)) {
                simulation.after(simulation.between(0, PHASE_MS - 3_000)) { request(key) }
            }
        }
        repeat(simulation.random.nextInt(0, 5)) {
            simulation.after(simulation.between(0, PHASE_MS - 2_000)) { injectFault(endMs) }
        }
        simulation.runUntil(endMs)
        if (simulation.chance(0.3)) trim()
        simulation.runUntil(simulation.nowMs + simulation.pick(IDLE_MS))
        if (simulation.chance(0.3)) trim()
    }

    private fun newKey(number: Int): RequestKey {
        val ageMs = when (simulation.random.nextInt(8)) {
            0 -> simulation.between(HOUR_MS - 5_000, HOUR_MS + 1_000)
            1 -> -simulation.between(5 * MINUTE_MS - 1_000, 5 * MINUTE_MS + 5_000)
            2 -> simulation.between(0, 50 * MINUTE_MS)
            else -> simulation.between(-1_000, 2_000)
        }
        return RequestKey(OrganisationId("tailor"), "k$number", simulation.nowMs - ageMs)
    }

    private fun request(key: RequestKey) {
        val content = Fingerprint(if (simulation.chance(0.07)) "other" else "usual")
        val host = hosts.byId.getValue(simulation.pick(hostIds))
        host.process.run { host.origin.request(key, content) }
    }

    private fun injectFault(endMs: Long) {
        val id = simulation.pick(hostIds)
        when (simulation.random.nextInt(3)) {
            0 -> hosts.byId.getValue(id).process.pause(simulation.between(50, 8_000))

            1 -> {
                hosts.byId.getValue(id).process.kill()
                hosts.start(id)
                hosts.byId.getValue(id).tickUntil(endMs)
            }

            else -> log.startOutage(simulation.between(100, 3_000))
        }
        simulation.addTrace("fault at $id")
    }

    private fun trim() = log.trimBefore(simulation.nowMs - simulation.pick(RETENTION_MS))

    private companion object {
        const val MINUTE_MS = 60_000L
        const val HOUR_MS = 60 * MINUTE_MS
        const val PHASE_MS = 7_000L
        val IDLE_MS =
            listOf(0, 1_000, 20_000, 4 * MINUTE_MS, 30 * MINUTE_MS, 54 * MINUTE_MS, 66 * MINUTE_MS)
        val RETENTION_MS = listOf(
            0,
            5_000,
            4 * MINUTE_MS,
            20 * MINUTE_MS,
            64 * MINUTE_MS,
            HOUR_MS * 3
        )
    }
}

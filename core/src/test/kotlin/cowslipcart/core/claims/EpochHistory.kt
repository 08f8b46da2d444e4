package cowslipcart.core.claims

import cowslipcart.core.claims.EpochHistory.Companion.MAX_SKEW_MS
import cowslipcart.core.membership.rendezvousOwner
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId

/** Baseline without epochs: chooses the owner among the hosts that this host sees as live now. */
internal class LiveViewEpochs(private val live: () -> List<ProcessId>) : KeyEpochs {
    override val nextOffset: LogOffset = LogOffset(0)

    override fun apply(record: EpochRecord) = Unit

    override fun ownerOf(key: RequestKey): KeyOwner {
        val host = rendezvousOwner(hashInput(key), live().map { it.host })
        return KeyOwner.Known(live().first { it.host == host })
    }

    override fun proposeEntry(live: List<ProcessId>, wallNowMs: Long): EpochEntry? = null
}

/** A host with an origin, its claims as key owner, a replica of the epochs and a live view. */
internal class EpochHost(val id: HostId, private val shared: EpochHistory) {
    private val simulation = shared.simulation
    private val self = ProcessId(id, IncarnationId(simulation.random.nextLong()))
    private val ownerClaims = createOwnerClaims(self)
    private val epochs =
        if (shared.usesLiveViews) LiveViewEpochs { liveView } else createKeyEpochs()
    private var liveView: List<ProcessId> = emptyList()
    private var clockSkewMs = simulation.between(-MAX_SKEW_MS, MAX_SKEW_MS)
    val process = SimulatedProcess(simulation)
    val origin = FakeOrigin(simulation, process, self, shared.checker, ::sendToOwner)

    init {
        refreshLiveView()
    }

    /** Reads and proposes epochs at random times: replicas get stale and writers compete. */
    fun maintainEpochs(endMs: Long) {
        if (simulation.nowMs > endMs) return
        process.run {
            if (simulation.chance(0.7)) readEpochs()
            if (simulation.chance(0.4)) refreshLiveView()
            if (simulation.chance(0.5)) proposeEpoch()
        }
        simulation.after(simulation.between(100, 10_000)) { maintainEpochs(endMs) }
    }

    fun stepClock(stepMs: Long) {
        clockSkewMs = stepMs
    }

    private fun refreshLiveView() {
        val seen = shared.hosts.values.filter { simulation.chance(0.8) }.map { it.self }
        liveView = (seen + self).distinct()
    }

    private fun readEpochs() = shared.log.read(epochs.nextOffset, {}) { page ->
        process.run {
            page.records.forEach {
                epochs.apply(EpochRecord(it.offset, it.appendedAtMs, it.payload))
            }
        }
    }

    private fun proposeEpoch() {
        val entry = epochs.proposeEntry(liveView, wallMs()) ?: return
        shared.log.append(entry, {}, {})
    }

    private fun sendToOwner(item: ClaimItem) {
        when (val owner = epochs.ownerOf(item.key)) {
            is KeyOwner.Known -> simulation.send {
                shared.hosts.getValue(owner.owner.host).receive(item, id)
            }

            KeyOwner.NotYetCovered, KeyOwner.BeforeHistory -> Unit
        }
    }

    private fun receive(item: ClaimItem, from: HostId) = process.run {
        when (item) {
            is ClaimItem.Claim -> {
                val verdict = ownerClaims.claim(item, epochs, wallMs())
                shared.checker.onVerdict(item.attempt, verdict)
                simulation.send {
                    val origin = shared.hosts.getValue(from)
                    origin.process.run { origin.origin.onVerdict(item.attempt, verdict) }
                }
            }

            is ClaimItem.Release -> ownerClaims.release(item.key, item.attempt)

            is ClaimItem.Outcome -> Unit
        }
    }

    private fun wallMs(): Long = simulation.nowMs + clockSkewMs
}

/** One generated history of claims that key owners decide, with random faults and clock skew. */
internal class EpochHistory(seed: Long, val usesLiveViews: Boolean = false) {
    val simulation = Simulation(seed)
    val log = FakeLog<EpochEntry>(simulation)
    val checker = DispatchChecker(simulation)
    val hosts = LinkedHashMap<HostId, EpochHost>()
    private val stepsClocks = simulation.chance(0.3)
    private val hostIds = List(4) { HostId("h$it") }
    private val keys = ArrayList<RequestKey>()

    fun run() {
        checker.clockErrorMs = if (stepsClocks) MAX_STEP_MS + MAX_SKEW_MS else MAX_SKEW_MS
        checker.mayExpire = { key ->
            val oldestMs = maxOf(simulation.nowMs, Simulation.START_MS) - HOUR_MS
            stepsClocks || key.keyTimeMs < oldestMs + 2 * MAX_SKEW_MS
        }
        hostIds.forEach { hosts[it] = EpochHost(it, this) }
        repeat(simulation.random.nextInt(1, 4)) { runPhase() }
    }

    private fun runPhase() {
        simulation.messageFaultRate = simulation.pick(listOf(0.0, 0.03, 0.1))
        log.faultRate = simulation.pick(listOf(0.0, 0.1, 0.3))
        val startMs = simulation.nowMs
        val endMs = startMs + PHASE_MS
        hosts.values.forEach { it.maintainEpochs(endMs) }
        repeat(40) {
            simulation.after(simulation.between(0, PHASE_MS - 20_000)) { requestWithResends() }
        }
        repeat(simulation.random.nextInt(0, 12)) {
            simulation.after(simulation.between(0, PHASE_MS)) { injectFault(endMs) }
        }
        simulation.runUntil(endMs)
        simulation.runUntil(
            simulation.nowMs + simulation.pick(listOf(0L, 120_000, 30 * 60_000, 58 * 60_000))
        )
    }

    private fun requestWithResends() {
        val isOld = keys.isNotEmpty() && simulation.chance(0.2)
        val key = if (isOld) simulation.pick(keys) else newKey(keys.size).also { keys += it }
        repeat(simulation.random.nextInt(1, 4)) {
            simulation.after(simulation.between(0, 15_000)) {
                val host = hosts.getValue(simulation.pick(hostIds))
                val content = Fingerprint(if (simulation.chance(0.05)) "other" else "usual")
                host.process.run { host.origin.request(key, content) }
            }
        }
    }

    private fun newKey(number: Int): RequestKey {
        val aheadMs = when (simulation.random.nextInt(4)) {
            0 -> simulation.between(0, 150_000)
            1 -> -simulation.between(0, 62 * 60_000)
            else -> simulation.between(-20_000, 1_000)
        }
        return RequestKey(OrganisationId("tailor"), "k$number", simulation.nowMs + aheadMs)
    }

    private fun injectFault(endMs: Long) {
        val id = simulation.pick(hostIds)
        val host = hosts.getValue(id)
        simulation.addTrace("fault at $id")
        when (simulation.random.nextInt(6)) {
            0, 1 -> host.process.pause(simulation.between(500, 90_000))

            2, 3 -> {
                host.process.kill()
                hosts[id] = EpochHost(id, this).also { it.maintainEpochs(endMs) }
            }

            4 -> log.startOutage(simulation.between(1_000, 200_000))

            else -> when {
                simulation.chance(0.4) ->
                    log.trimBefore(simulation.nowMs - simulation.between(0, 40 * 60_000))

                stepsClocks -> host.stepClock(simulation.between(-MAX_STEP_MS, MAX_STEP_MS))
            }
        }
    }

    companion object {
        const val MAX_SKEW_MS = 3_000L
        private const val PHASE_MS = 600_000L
        private const val HOUR_MS = 3_600_000L
        private const val MAX_STEP_MS = 70 * 60_000L
    }
}

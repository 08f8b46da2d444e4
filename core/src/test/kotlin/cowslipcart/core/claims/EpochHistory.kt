package cowslipcart.core.claims

import cowslipcart.core.claims.EpochHistory.Companion.MAX_SKEW_MS
import cowslipcart.core.membership.rendezvousOwner
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId

/** Baseline: the key owner is chosen from the hosts that this host believes to be live now. */
internal class LiveViewEpochs(private val live: () -> List<AttemptOrigin>) : KeyEpochs {
    override val nextOffset: LogOffset = LogOffset(0)

    override fun apply(record: EpochRecord) = Unit

    override fun ownerOf(key: RequestKey): KeyOwner {
        val host = rendezvousOwner(hashInput(key), live().map { it.host })
        return KeyOwner.Known(live().first { it.host == host })
    }

    override fun proposeEntry(live: List<AttemptOrigin>, wallNowMs: Long): EpochEntry? = null
}

/** A host with an origin, its claims as a key owner, a replica of the epochs and its live view. */
internal class EpochHost(val id: HostId, private val shared: EpochHistory) {
    private val world = shared.world
    private val self = AttemptOrigin(id, IncarnationId(world.random.nextLong()))
    private val softClaims = createSoftClaims(self)
    private val epochs =
        if (shared.usesLiveViews) LiveViewEpochs { liveView } else createKeyEpochs()
    private var liveView: List<AttemptOrigin> = emptyList()
    private var clockSkewMs = world.between(-MAX_SKEW_MS, MAX_SKEW_MS)
    val process = Process(world)
    val origin = FakeOrigin(world, process, self, shared.checker, ::sendToOwner)

    init {
        refreshLiveView()
    }

    /** Reads and proposes at random times, so that replicas are stale and writers race. */
    fun maintain(endMs: Long) {
        if (world.nowMs > endMs) return
        process.run {
            if (world.chance(0.7)) readEpochs()
            if (world.chance(0.4)) refreshLiveView()
            if (world.chance(0.5)) proposeEpoch()
        }
        world.after(world.between(100, 10_000)) { maintain(endMs) }
    }

    fun stepClock(stepMs: Long) {
        clockSkewMs = stepMs
    }

    private fun refreshLiveView() {
        val seen = shared.hosts.values.filter { world.chance(0.8) }.map { it.self }
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
            is KeyOwner.Known -> world.send {
                shared.hosts.getValue(owner.owner.host).receive(item, id)
            }

            KeyOwner.NotYetCovered, KeyOwner.BeforeHistory -> Unit
        }
    }

    private fun receive(item: ClaimItem, from: HostId) = process.run {
        when (item) {
            is ClaimItem.Claim -> {
                val verdict = softClaims.claim(item, epochs, wallMs())
                shared.checker.onVerdict(item.attempt, verdict)
                world.send {
                    val origin = shared.hosts.getValue(from)
                    origin.process.run { origin.origin.onVerdict(item.attempt, verdict) }
                }
            }

            is ClaimItem.Release -> softClaims.release(item.key, item.attempt)

            is ClaimItem.Outcome -> Unit
        }
    }

    private fun wallMs(): Long = world.nowMs + clockSkewMs
}

/** One generated history of claims decided by key owners. */
internal class EpochHistory(seed: Long, val usesLiveViews: Boolean = false) {
    val world = World(seed)
    val log = FakeLog<EpochEntry>(world)
    val checker = DispatchChecker(world)
    val hosts = LinkedHashMap<HostId, EpochHost>()
    private val stepsClocks = world.chance(0.3)
    private val hostIds = List(4) { HostId("h$it") }
    private val keys = ArrayList<RequestKey>()

    fun run() {
        checker.clockErrorMs = if (stepsClocks) MAX_STEP_MS + MAX_SKEW_MS else MAX_SKEW_MS
        checker.mayExpire = { key ->
            val oldestMs = maxOf(world.nowMs, World.START_MS) - HOUR_MS
            stepsClocks || key.keyTimeMs < oldestMs + 2 * MAX_SKEW_MS
        }
        hostIds.forEach { hosts[it] = EpochHost(it, this) }
        repeat(world.random.nextInt(1, 4)) { runPhase() }
    }

    private fun runPhase() {
        world.messageFaultRate = world.pick(listOf(0.0, 0.03, 0.1))
        log.faultRate = world.pick(listOf(0.0, 0.1, 0.3))
        val startMs = world.nowMs
        val endMs = startMs + PHASE_MS
        hosts.values.forEach { it.maintain(endMs) }
        repeat(40) {
            world.after(world.between(0, PHASE_MS - 20_000)) { requestWithResends() }
        }
        repeat(world.random.nextInt(0, 12)) {
            world.after(world.between(0, PHASE_MS)) { injectFault(endMs) }
        }
        world.runUntil(endMs)
        world.runUntil(world.nowMs + world.pick(listOf(0L, 120_000, 30 * 60_000, 58 * 60_000)))
    }

    private fun requestWithResends() {
        val isOld = keys.isNotEmpty() && world.chance(0.2)
        val key = if (isOld) world.pick(keys) else newKey(keys.size).also { keys += it }
        repeat(world.random.nextInt(1, 4)) {
            world.after(world.between(0, 15_000)) {
                val host = hosts.getValue(world.pick(hostIds))
                val content = Fingerprint(if (world.chance(0.05)) "other" else "usual")
                host.process.run { host.origin.request(key, content) }
            }
        }
    }

    private fun newKey(number: Int): RequestKey {
        val aheadMs = when (world.random.nextInt(4)) {
            0 -> world.between(0, 150_000)
            1 -> -world.between(0, 62 * 60_000)
            else -> world.between(-20_000, 1_000)
        }
        return RequestKey(OrganisationId("tailor"), "k$number", world.nowMs + aheadMs)
    }

    private fun injectFault(endMs: Long) {
        val id = world.pick(hostIds)
        val host = hosts.getValue(id)
        world.note("fault at $id")
        when (world.random.nextInt(6)) {
            0, 1 -> host.process.pause(world.between(500, 90_000))

            2, 3 -> {
                host.process.kill()
                hosts[id] = EpochHost(id, this).also { it.maintain(endMs) }
            }

            4 -> log.startOutage(world.between(1_000, 200_000))

            else -> when {
                world.chance(0.4) -> log.trimBefore(world.nowMs - world.between(0, 40 * 60_000))
                stepsClocks -> host.stepClock(world.between(-MAX_STEP_MS, MAX_STEP_MS))
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

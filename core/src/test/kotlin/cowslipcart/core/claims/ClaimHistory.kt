package cowslipcart.core.claims

import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId

/** What all hosts of a history share; it outlives restarts. */
internal class ClaimHosts(
    val world: World,
    val log: FakeLog<List<ClaimItem>>,
    val checker: DispatchChecker,
    val createBatcher: () -> ClaimBatcher
) {
    val byId = LinkedHashMap<HostId, ClaimHost>()

    fun start(id: HostId) {
        byId[id] = ClaimHost(id, this)
    }

    /** Hosts disagree about which batcher is the one of the partition, so any can be asked. */
    fun sendToBatcher(item: ClaimItem, from: HostId) {
        val to = world.pick(byId.keys.toList())
        world.send { byId.getValue(to).receive(item, from) }
    }
}

/** A host with an origin and a batcher of the partition. */
internal class ClaimHost(private val id: HostId, private val shared: ClaimHosts) {
    private val world = shared.world
    private val batcher = shared.createBatcher()
    private val self = AttemptOrigin(id, IncarnationId(world.random.nextLong()))
    val process = Process(world)
    val origin = FakeOrigin(world, process, self, shared.checker) { shared.sendToBatcher(it, id) }

    fun receive(item: ClaimItem, from: HostId) = process.run {
        perform(
            when (item) {
                is ClaimItem.Claim -> batcher.claim(item, from, world.nowMs)
                is ClaimItem.Release, is ClaimItem.Outcome -> batcher.record(item, world.nowMs)
            }
        )
    }

    fun tickUntil(endMs: Long) {
        if (world.nowMs > endMs) return
        process.run { perform(batcher.tick(world.nowMs)) }
        world.after(20) { tickUntil(endMs) }
    }

    private fun perform(effects: List<BatcherEffect>): Unit = effects.forEach { effect ->
        when (effect) {
            is BatcherEffect.Append -> shared.log.append(
                effect.items,
                { process.run { perform(batcher.onAppendFailed(effect.batch, it, world.nowMs)) } },
                { process.run { perform(batcher.onAppended(effect.batch, it, world.nowMs)) } }
            )

            is BatcherEffect.Read -> shared.log.read(
                effect.from,
                { process.run { perform(batcher.onReadFailed(it, world.nowMs)) } },
                { process.run { onPage(it) } }
            )

            is BatcherEffect.Reply -> {
                shared.checker.onVerdict(effect.attempt, effect.verdict)
                world.send { shared.byId.getValue(effect.to).onReply(effect) }
            }
        }
    }

    private fun onReply(reply: BatcherEffect.Reply) =
        process.run { origin.onVerdict(reply.attempt, reply.verdict) }

    private fun onPage(page: FakeLog.Page<List<ClaimItem>>) {
        val records = page.records.map { ClaimRecord(it.offset, it.appendedAtMs, it.payload) }
        perform(batcher.onRecords(records, page.firstKept, page.end, world.nowMs))
    }
}

/** One generated history of claims in the log. */
internal class ClaimHistory(seed: Long, createBatcher: () -> ClaimBatcher) {
    val world = World(seed)
    val log = FakeLog<List<ClaimItem>>(world)
    val checker = DispatchChecker(world)
    private val hosts = ClaimHosts(world, log, checker, createBatcher)
    private val hostIds = List(3) { HostId("h$it") }
    private val keys = ArrayList<RequestKey>()

    fun run() {
        hostIds.forEach { hosts.start(it) }
        checker.mayExpire = { key -> log.isTrimmed || key.keyTimeMs < world.nowMs - HOUR_MS }
        repeat(world.random.nextInt(2, 5)) { runPhase() }
    }

    private fun runPhase() {
        world.messageFaultRate = world.pick(listOf(0.0, 0.03, 0.1))
        log.faultRate = world.pick(listOf(0.0, 0.05, 0.25))
        val endMs = world.nowMs + PHASE_MS
        hosts.byId.values.forEach { it.tickUntil(endMs) }
        repeat(world.random.nextInt(2, 6)) { keys += newKey(keys.size) }
        keys.forEach { key ->
            repeat(world.random.nextInt(0, 4)) {
                world.after(world.between(0, PHASE_MS - 3_000)) { request(key) }
            }
        }
        repeat(world.random.nextInt(0, 5)) {
            world.after(world.between(0, PHASE_MS - 2_000)) { injectFault(endMs) }
        }
        world.runUntil(endMs)
        if (world.chance(0.3)) trim()
        world.runUntil(world.nowMs + world.pick(GAPS_MS))
        if (world.chance(0.3)) trim()
    }

    private fun newKey(number: Int): RequestKey {
        val ageMs = when (world.random.nextInt(8)) {
            0 -> world.between(HOUR_MS - 5_000, HOUR_MS + 1_000)
            1 -> -world.between(5 * MINUTE_MS - 1_000, 5 * MINUTE_MS + 5_000)
            2 -> world.between(0, 50 * MINUTE_MS)
            else -> world.between(-1_000, 2_000)
        }
        return RequestKey(OrganisationId("tailor"), "k$number", world.nowMs - ageMs)
    }

    private fun request(key: RequestKey) {
        val content = Fingerprint(if (world.chance(0.07)) "other" else "usual")
        val host = hosts.byId.getValue(world.pick(hostIds))
        host.process.run { host.origin.request(key, content) }
    }

    private fun injectFault(endMs: Long) {
        val id = world.pick(hostIds)
        when (world.random.nextInt(3)) {
            0 -> hosts.byId.getValue(id).process.pause(world.between(50, 8_000))

            1 -> {
                hosts.byId.getValue(id).process.kill()
                hosts.start(id)
                hosts.byId.getValue(id).tickUntil(endMs)
            }

            else -> log.startOutage(world.between(100, 3_000))
        }
        world.note("fault at $id")
    }

    private fun trim() = log.trimBefore(world.nowMs - world.pick(KEPT_MS))

    private companion object {
        const val MINUTE_MS = 60_000L
        const val HOUR_MS = 60 * MINUTE_MS
        const val PHASE_MS = 7_000L
        val GAPS_MS =
            listOf(0, 1_000, 20_000, 4 * MINUTE_MS, 30 * MINUTE_MS, 54 * MINUTE_MS, 66 * MINUTE_MS)
        val KEPT_MS = listOf(0, 5_000, 4 * MINUTE_MS, 20 * MINUTE_MS, 64 * MINUTE_MS, HOUR_MS * 3)
    }
}

package cowslipcart.core.membership

import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import java.util.PriorityQueue
import kotlin.random.Random

/** One process of a host in the simulation. */
internal class SimulatedHost(val identity: HostIdentity, random: Random) {
    val view = createMembershipView(identity, random)
    val inbox = mutableListOf<() -> Unit>()
    var diedAtMs: Long? = null
    var isPaused = false
    var resumedAtMs = Long.MIN_VALUE / 2
    val isRunning get() = diedAtMs == null && !isPaused
}

/** Hosts in virtual time that exchange pings over a network with latency and message loss. */
internal class MembershipSimulation(seed: Int, hostCount: Int, private val lossRate: Double) {
    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.sequence })
    private var sequence = 0L
    var nowMs = 0L
        private set
    val processes = mutableListOf<SimulatedHost>()
    private val unlisted = mutableSetOf<HostId>()

    /** Hosts on one side of a network partition: they reach only each other. */
    var isolated = emptySet<HostId>()
        set(value) {
            field = value
            isolationChangedAtMs = nowMs
        }
    private var isolationChangedAtMs = Long.MIN_VALUE / 2
    val live = mutableListOf<SimulatedHost>()

    init {
        repeat(hostCount) { start(HostId("h$it")) }
    }

    fun start(host: HostId) {
        val incarnation = IncarnationId(random.nextLong())
        val address = "127.0.0.1:${BASE_PORT + processes.size}"
        val identity = HostIdentity(host, incarnation, DomainId("d"), address)
        val process = SimulatedHost(identity, Random(random.nextLong()))
        processes += process
        live += process
        unlisted -= host
        every(process, TICK_MS) { process.view.tick(LogOffset(0), nowMs) }
        every(process, LIST_MS) {
            process.view.onHostList(HostList(listHosts(), emptySet()), nowMs)
        }
    }

    /** Kills the process; the platform's list drops its host [listLagMs] later. */
    fun kill(process: SimulatedHost, listLagMs: Long) {
        process.diedAtMs = nowMs
        live -= process
        val host = process.identity.host
        at(nowMs + listLagMs) { if (live.none { it.identity.host == host }) unlisted += host }
    }

    /** Pauses the process for [durationMs]; messages to it are delivered after the pause. */
    fun pause(process: SimulatedHost, durationMs: Long) {
        process.isPaused = true
        at(nowMs + durationMs) {
            process.isPaused = false
            process.resumedAtMs = nowMs
            val waiting = process.inbox.toList()
            process.inbox.clear()
            waiting.forEach { it() }
        }
    }

    fun announceLeaving(process: SimulatedHost, endpoint: EndpointId) =
        perform(process, process.view.onEndpointLeaving(endpoint, nowMs))

    fun leave(process: SimulatedHost) = perform(process, process.view.leave(nowMs))

    fun runUntil(endMs: Long) {
        while (events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
        nowMs = endMs
    }

    private fun listHosts(): List<ListedHost> = processes.groupBy { it.identity.host }
        .filterKeys { it !in unlisted }
        .map { (host, all) -> ListedHost(host, all.last().identity.peerAddress, false) }

    private fun every(
        process: SimulatedHost,
        periodMs: Long,
        action: () -> List<MembershipEffect>
    ) {
        fun repeatAt(atMs: Long): Unit = at(atMs) {
            if (process.isRunning) perform(process, action())
            if (process.diedAtMs == null) repeatAt(atMs + periodMs)
        }
        repeatAt(nowMs + random.nextLong(periodMs))
    }

    private fun perform(from: SimulatedHost, effects: List<MembershipEffect>) {
        for (effect in effects) {
            when (effect) {
                is MembershipEffect.SendPing -> deliver(from, effect.address) {
                    checkRumorCount(effect.ping)
                    it.view.onPing(effect.ping, nowMs)
                }

                is MembershipEffect.SendPingAck -> deliver(from, addressOf(effect.to)) {
                    checkRumorCount(effect.ack)
                    it.view.onPingAck(effect.ack, nowMs)
                }

                is MembershipEffect.SendPingRequest -> deliver(from, addressOf(effect.via)) {
                    it.view.onPingRequest(from.identity.host, effect.target, nowMs)
                }

                is MembershipEffect.HostDied -> checkDeclaredDead(from, effect.identity)

                MembershipEffect.OwnersChanged, MembershipEffect.LeavingEndpointsChanged -> Unit
            }
        }
    }

    private fun addressOf(host: HostId) =
        live.lastOrNull { it.identity.host == host }?.identity?.peerAddress

    private fun deliver(
        from: SimulatedHost,
        address: String?,
        receive: (SimulatedHost) -> List<MembershipEffect>
    ) {
        val target = live.firstOrNull { it.identity.peerAddress == address } ?: return
        val isPartitioned = (from.identity.host in isolated) != (target.identity.host in isolated)
        if (isPartitioned || random.nextDouble() < lossRate) return
        val action = { perform(target, receive(target)) }
        at(nowMs + random.nextLong(1, MAX_LATENCY_MS)) {
            if (target.isPaused) {
                target.inbox += action
            } else if (target.isRunning) {
                action()
            }
        }
    }

    private fun checkRumorCount(content: PingContent) =
        check(content.rumors.size <= MembershipView.MAX_RUMORS) {
            "expected at most ${MembershipView.MAX_RUMORS} rumors, got ${content.rumors.size}"
        }

    /** Fails unless the process was killed, or was paused or partitioned recently. */
    private fun checkDeclaredDead(observer: SimulatedHost, identity: HostIdentity) {
        val process = processes.first { it.identity == identity }
        val isPartitioned = isolated.isNotEmpty() || nowMs - isolationChangedAtMs < RESUME_GRACE_MS
        val isExplained = isPartitioned || !process.isRunning ||
            nowMs - process.resumedAtMs < RESUME_GRACE_MS
        check(isExplained) {
            "at $nowMs ms: expected $identity to stay live in the view of " +
                "${observer.identity.host}, got HostDied"
        }
    }

    private fun at(atMs: Long, action: () -> Unit) {
        events += Event(atMs, sequence++, action)
    }

    private class Event(val atMs: Long, val sequence: Long, val action: () -> Unit)

    private companion object {
        const val BASE_PORT = 10_000
        const val TICK_MS = 100L
        const val LIST_MS = 1_000L
        const val MAX_LATENCY_MS = 6L
        const val RESUME_GRACE_MS = 15_000L
    }
}

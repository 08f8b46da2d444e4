package cowslipcart.core.rollout

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.ForwardingSettings
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.createForwardingController
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import cowslipcart.core.model.VersionId
import cowslipcart.core.routing.Route
import cowslipcart.core.routing.RouteId
import cowslipcart.core.routing.WeightedPool
import cowslipcart.core.routing.WorkKind
import java.util.PriorityQueue
import kotlin.random.Random

/** What is wrong with the new version. */
internal enum class VersionFault {
    NONE,
    FAILS,
    FAILS_LATER,
    FAILS_ON_ONE_ROUTE,
    FAILS_UNDER_LOAD,
    SLOW
}

/** The table of records, with conditional writes that may be late or lose their answer. */
internal class FleetStore {
    val records = mutableListOf<Pair<Long, RolloutRecord>>()
    var isDown = false

    /** Appends [record] if the table ends at [end]; returns whether it did. */
    fun append(record: RolloutRecord, end: LogOffset, nowMs: Long): Boolean {
        if (records.size.toLong() != end.value) return false
        records += nowMs to record
        return true
    }
}

/** A request that a host has sent, for the checks of a history. */
internal class SentRequest(
    val atMs: Long,
    val host: HostId,
    val version: VersionId,
    val isBad: Boolean,
    val endsAtMs: Long
)

/** Hosts, a store and two versions of one pool in virtual time. */
internal class RolloutFleet(
    seed: Int,
    private val fault: VersionFault,
    hostCount: Int = 4,
    val durationMs: Long = 40_000
) {
    private class Event(val atMs: Long, val number: Long, val run: () -> Unit)

    private inner class Host(val id: HostId) {
        var isUp = true
        var frozenUntilMs = 0L
        var isCutFromStore = false
        var isCutFromPeers = false
        var isFollowing = false
        var incarnation = 0L
        var tableEnd = 0
        var nextReadAtMs = 0L
        var controller = create()
        val calls = mutableMapOf<CallId, ForwardedCall>()

        fun create() = createForwardingController(
            ForwardingSettings(
                id,
                IncarnationId(++incarnation),
                HostProfile("a", 1.0),
                isFirstStart = true,
                retryBudgetShare = 0.2,
                retryBudgetSlack = 100,
                rolloutBounds = RolloutBounds()
            ),
            Random(incarnation)
        )
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.number }))
    private var eventCount = 0L
    private var callCount = 0L
    private val pool = PoolId("pool")
    private val hosts = (1..hostCount).map { Host(HostId("host-$it")) }
    private val runningAt = mutableMapOf<EndpointId, Int>()
    private val routes = listOf("a", "b").map { routeOf(it) }
    private var listed = emptyList<EndpointEntry>()
    private val orders = mutableListOf<RolloutOrder>()

    val store = FleetStore()
    val sent = mutableListOf<SentRequest>()
    val troubled = mutableMapOf<HostId, Long>()
    var nowMs = 0L
        private set
    var lastWriter: HostId? = null
        private set
    var onWrite: (RolloutRecord) -> Unit = {}

    init {
        setListed(entriesOf(OLD))
        at(0) { arrive() }
        for ((index, host) in hosts.withIndex()) at(index * 7L) { tick(host) }
    }

    fun at(atMs: Long, run: () -> Unit) {
        events += Event(maxOf(atMs, nowMs), eventCount++, run)
    }

    fun runUntil(endMs: Long) {
        while (events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.run()
        }
        nowMs = endMs
    }

    /** The operator orders [version]; its endpoints start a second later if [doesStart]. */
    fun order(version: VersionId = NEW, doesStart: Boolean = true) {
        val order = RolloutOrder(pool, version, durationMs, LogOffset(orders.size.toLong()))
        orders += order
        for (host in hosts) {
            at(nowMs + random.nextLong(1_500)) { change(host, RolloutChange.Ordered(order)) }
        }
        if (doesStart) at(nowMs + 1_000) { setListed(listed + entriesOf(version)) }
    }

    val hostIds: List<HostId> get() = hosts.map { it.id }

    /** Kills [host], which starts again after [downMs] and has forgotten all. */
    fun kill(host: HostId, downMs: Long = 1_500) = with(of(host)) {
        isUp = false
        trouble(host, downMs)
        for (call in calls.keys) endpointOf.remove(id to call)?.let { release(it) }
        calls.clear()
        at(nowMs + downMs) {
            isUp = true
            controller = create()
            isFollowing = false
            tableEnd = 0
            send(this, ForwardingInput.EndpointsChanged(listed))
            orders.lastOrNull()?.let { change(this, RolloutChange.Ordered(it)) }
        }
    }

    fun freeze(host: HostId, forMs: Long) {
        of(host).frozenUntilMs = nowMs + forMs
        trouble(host, forMs)
    }

    fun cut(host: HostId, forMs: Long, fromStore: Boolean = true, fromPeers: Boolean = true) =
        with(of(host)) {
            isCutFromStore = fromStore
            isCutFromPeers = fromPeers
            trouble(host, forMs)
            at(nowMs + forMs) {
                isCutFromStore = false
                isCutFromPeers = false
            }
        }

    fun storeDown(forMs: Long) {
        store.isDown = true
        for (host in hosts) trouble(host.id, forMs)
        at(nowMs + forMs) { store.isDown = false }
    }

    private fun trouble(host: HostId, forMs: Long) {
        troubled[host] = maxOf(troubled[host] ?: 0, nowMs + forMs)
    }

    private fun of(host: HostId) = hosts.first { it.id == host }

    private fun entriesOf(version: VersionId) = (1..4).map {
        EndpointEntry(
            EndpointId("$version-$it"),
            pool,
            "127.0.0.1",
            1,
            "a",
            12,
            false,
            version = version
        )
    }

    private fun setListed(entries: List<EndpointEntry>) {
        listed = entries
        for (host in hosts) if (host.isUp) send(host, ForwardingInput.EndpointsChanged(entries))
    }

    private fun change(host: Host, change: RolloutChange) {
        if (host.isUp) send(host, ForwardingInput.RolloutsChanged(change, nowMs))
    }

    private fun tick(host: Host) {
        at(nowMs + TICK_MS) { tick(host) }
        if (!host.isUp || nowMs < host.frozenUntilMs) return
        send(host, ForwardingInput.Tick)
        if (host.isFollowing && nowMs >= host.nextReadAtMs) read(host)
    }

    private fun read(host: Host) {
        // Only the first host reads by itself; the others hear of records, or ask when they write.
        host.nextReadAtMs = nowMs + if (host === hosts.first()) READ_MS else RARE_READ_MS
        if (store.isDown || host.isCutFromStore) return
        val incarnation = host.incarnation
        val askedAtMs = nowMs
        at(nowMs + 4) {
            val end = store.records.size
            val changed = (host.tableEnd until end).map {
                StoredRollout(store.records[it].second, LogOffset(it.toLong()))
            }
            if (host.incarnation != incarnation) return@at
            host.tableEnd = maxOf(host.tableEnd, end)
            wake(host) {
                change(host, RolloutChange.TableRead(changed, LogOffset(end.toLong()), askedAtMs))
            }
        }
    }

    /** Runs [block] when [host] isn't frozen. */
    private fun wake(host: Host, block: () -> Unit) {
        if (nowMs < host.frozenUntilMs) at(host.frozenUntilMs) { block() } else block()
    }

    private fun arrive() {
        at(nowMs + random.nextLong(2 * ARRIVAL_MS)) { arrive() }
        val host = hosts[random.nextInt(hosts.size)]
        if (!host.isUp || nowMs < host.frozenUntilMs) return
        val call = callOf(routes[if (random.nextInt(4) == 0) 1 else 0])
        host.calls[call.id] = call
        send(host, ForwardingInput.Arrived(call))
    }

    private fun send(host: Host, input: ForwardingInput) {
        for (effect in host.controller.handle(input, nowMs)) {
            when (effect) {
                is ForwardingEffect.Command -> perform(host, effect)

                is ForwardingEffect.Rollout -> perform(host, effect.effect)

                is ForwardingEffect.Quarantine,
                is ForwardingEffect.Probe,
                is ForwardingEffect.TellLost,
                is ForwardingEffect.ReachChanged,
                is ForwardingEffect.Stream -> Unit

                is ForwardingEffect.LogStateChange -> Unit
            }
        }
    }

    private val endpointOf = mutableMapOf<Pair<HostId, CallId>, EndpointId>()

    private fun release(endpoint: EndpointId) {
        runningAt.merge(endpoint, -1, Int::plus)
    }

    private fun perform(host: Host, effect: ForwardingEffect.Command) {
        val command = effect.command
        if (command !is CallCommand.Send) {
            host.calls -= effect.call.id
            return
        }
        val endpoint = command.endpoint
        val running = runningAt.merge(endpoint.id, 1, Int::plus) ?: 0
        val isBad = isBad(endpoint, effect.call.route, running)
        val isSlow = isBad && fault == VersionFault.SLOW
        val tookMs = (40 + random.nextLong(40)) * if (isSlow) 6 else 1
        sent += SentRequest(nowMs, host.id, endpoint.version, isBad, nowMs + tookMs)
        val incarnation = host.incarnation
        endpointOf[host.id to effect.call.id] = endpoint.id
        at(nowMs + tookMs) {
            if (host.incarnation != incarnation || !host.isUp) return@at
            endpointOf.remove(host.id to effect.call.id)?.let { release(it) }
            wake(host) {
                val outcome = AttemptOutcome.Answered(!isBad || isSlow)
                val ended =
                    ForwardingInput.AttemptEnded(effect.call.id, command.attempt, outcome)
                if (host.incarnation == incarnation && host.isUp) send(host, ended)
            }
        }
    }

    private fun isBad(endpoint: EndpointEntry, route: Route, running: Int): Boolean {
        if (endpoint.version != NEW) return random.nextInt(200) == 0
        val part = random.nextDouble()
        return when (fault) {
            VersionFault.NONE -> part < 0.005
            VersionFault.FAILS -> part < 0.3
            VersionFault.FAILS_LATER -> nowMs > LATE_MS && part < 0.4
            VersionFault.FAILS_ON_ONE_ROUTE -> route.id.value == "b" && part < 0.5
            VersionFault.FAILS_UNDER_LOAD -> running >= 2 && part < 0.7
            VersionFault.SLOW -> part < 0.5
        }
    }

    private fun perform(host: Host, effect: RolloutEffect) {
        when (effect) {
            is RolloutEffect.Write -> write(host, effect)
            is RolloutEffect.Send -> spread(host, effect.notice)
            is RolloutEffect.Read -> read(host)
            is RolloutEffect.Follow -> host.isFollowing = effect.isActive
            is RolloutEffect.Log -> Unit
        }
    }

    private fun write(host: Host, effect: RolloutEffect.Write) {
        val isLost = random.nextInt(20) == 0
        val delayMs = if (isLost) 500 + random.nextLong(2_000) else 4
        if (store.isDown || host.isCutFromStore) {
            at(nowMs + 500) { writeFailed(host, effect, "no answer") }
            return
        }
        at(nowMs + delayMs) {
            val isWritten = store.append(effect.record, effect.expectedEnd, nowMs)
            if (isWritten) {
                lastWriter = host.id
                onWrite(effect.record)
            }
            if (isLost || !isWritten) writeFailed(host, effect, "no answer, or 412")
        }
    }

    private fun writeFailed(host: Host, effect: RolloutEffect.Write, reason: String) {
        if (!host.isUp) return
        wake(host) {
            read(host)
            change(host, RolloutChange.WriteFailed(effect.record, reason))
        }
    }

    private fun spread(from: Host, notice: RolloutNotice) {
        if (from.isCutFromPeers) return
        for (to in hosts) {
            if (to === from || to.isCutFromPeers || random.nextInt(30) == 0) continue
            at(nowMs + 2 + random.nextLong(20)) {
                wake(to) { change(to, RolloutChange.Noticed(notice)) }
            }
        }
    }

    private fun callOf(route: Route): ForwardedCall {
        callCount++
        return ForwardedCall(
            id = CallId(callCount),
            requestId = RequestId("r$callCount"),
            organisation = null,
            route = route,
            pool = pool,
            tier = Tier(0),
            rankInPool = 0,
            statedSize = null,
            prompt = emptyList(),
            fingerprint = Fingerprint("f$callCount"),
            arrivedAtMs = nowMs,
            deadlineAtMs = nowMs + 2_000
        )
    }

    private fun routeOf(name: String) = Route(
        RouteId(name),
        "shop.example",
        "/$name/",
        WorkKind.AtMostOnce,
        listOf(WeightedPool(pool, 1.0)),
        2_000,
        300,
        Tier(0),
        1,
        isPublic = true
    )

    companion object {
        val OLD = VersionId("v1")
        val NEW = VersionId("v2")
        const val ORDER_MS = 5_000L
        private const val LATE_MS = 16_000L
        private const val TICK_MS = 100L
        private const val READ_MS = 900L
        private const val RARE_READ_MS = 2_500L
        private const val ARRIVAL_MS = 6L
    }
}

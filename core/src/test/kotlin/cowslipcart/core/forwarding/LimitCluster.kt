package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.HostId
import kotlin.math.ln
import kotlin.random.Random

/** A kind of request in the load of [LimitCluster]; [share] is its share of the asked units. */
internal class AskedKind(val rank: Int, val meanUnits: Double, val share: Double)

/** What became of one request: admitted by its limit, or refused. */
internal class Asked(
    val atMs: Long,
    val host: Int,
    val kind: AskedKind,
    val units: Double,
    val isAdmitted: Boolean
)

/**
 * Controllers of [count] hosts that share the limit of one organisation. Hosts of a group report to
 * each other at once, and to the other groups through a relay once a second; [cut] interrupts both.
 * Requests arrive at random times at random hosts; an endpoint with room for all of them takes what
 * the limit admits.
 */
internal class LimitCluster(
    private val count: Int,
    private val ratePerS: Double,
    private val kinds: List<AskedKind>,
    private val cut: LinkCut? = null,
    tolerance: QuotaTolerance? = null
) {
    private val random = Random(1)
    private val hosts = List(count) {
        ForwardingFixture(host = "host-$it", seed = it, quotaTolerance = tolerance)
    }
    private val reports = mutableMapOf<Int, HostLoadReport>()
    val asked = mutableListOf<Asked>()

    init {
        val listed = List(count) { HostId("host-$it") to PROFILE }.toMap()
        for (host in hosts) {
            host.listEndpoints(entry("e1", slots = 60_000))
            host.setLimit(ratePerS)
            host.controller.onHostsListed(listed, 0)
        }
    }

    /** Runs until [endMs] while the organisation asks for [demand] times its limit. */
    fun run(endMs: Long, demand: (Long) -> Double): LimitCluster {
        for (nowMs in 0 until endMs step STEP_MS) {
            for (host in hosts) host.nowMs = nowMs
            if (nowMs % REPORT_INTERVAL_MS == 0L) exchangeReports(nowMs)
            if (nowMs % TICK_MS == 0L) for (host in hosts) host.send(ForwardingInput.Tick)
            for (kind in kinds) {
                val unitsPerStep = demand(nowMs) * ratePerS * kind.share * STEP_MS / 1_000
                repeat(draw(unitsPerStep / kind.meanUnits)) { ask(kind, nowMs) }
            }
        }
        return this
    }

    /** Share of the limit that was used between [fromMs] and [toMs]. */
    fun usedShare(fromMs: Long, toMs: Long): Double = asked
        .filter { it.isAdmitted && it.atMs in fromMs until toMs }
        .sumOf { it.units } / (ratePerS * (toMs - fromMs) / 1_000)

    /** Share of the matching requests that were admitted between [fromMs] and [toMs]. */
    fun admittedShare(fromMs: Long, toMs: Long, matches: (Asked) -> Boolean = { true }): Double {
        val selected = asked.filter { it.atMs in fromMs until toMs && matches(it) }
        return selected.count { it.isAdmitted }.toDouble() / selected.size
    }

    /** Most units that were admitted in any [windowMs]. */
    fun busiestWindow(windowMs: Long): Double {
        val admitted = asked.filter { it.isAdmitted }
        return admitted.indices.step(WINDOW_STEP).maxOf { first ->
            val endMs = admitted[first].atMs + windowMs
            admitted.subList(first, admitted.size).takeWhile { it.atMs < endMs }.sumOf { it.units }
        }
    }

    private fun ask(kind: AskedKind, nowMs: Long) {
        val index = random.nextInt(count)
        val host = hosts[index]
        val units = (kind.meanUnits * -ln(1 - random.nextDouble())).toInt().coerceAtLeast(1)
        val call = host.call(rank = kind.rank, tokens = units)
        val isAdmitted = host.arrive(call).none { it is CallCommand.Refuse }
        asked += Asked(nowMs, index, kind, units.toDouble(), isAdmitted)
        if (isAdmitted) host.end(call, AttemptOutcome.Answered(isSuccess = true))
    }

    private fun exchangeReports(nowMs: Long) {
        for ((index, host) in hosts.withIndex()) {
            host.controller.loadReport(nowMs)?.let { reports[index] = it }
        }
        val relayingGroup = (nowMs / REPORT_INTERVAL_MS % RELAY_PERIOD).toInt()
        for ((from, report) in reports) {
            for ((to, host) in hosts.withIndex()) {
                val isDue = from % GROUPS == to % GROUPS || from % GROUPS == relayingGroup
                if (from == to || !isDue || !isConnected(report.host, host.host, nowMs)) continue
                host.send(ForwardingInput.PeersReported(listOf(report)))
            }
        }
    }

    private fun isConnected(from: HostId, to: HostId, nowMs: Long): Boolean =
        cut == null || nowMs !in cut.duringMs || (from !in cut.hosts && to !in cut.hosts)

    /** Draws from the Poisson distribution with the mean [expected]. */
    private fun draw(expected: Double): Int {
        var sum = -ln(1 - random.nextDouble())
        var drawn = 0
        while (sum < expected) {
            drawn++
            sum += -ln(1 - random.nextDouble())
        }
        return drawn
    }

    companion object {
        const val STEP_MS = 20L
        const val TICK_MS = 500L
        const val REPORT_INTERVAL_MS = 200L
        const val GROUPS = 3

        /** Intervals between reports in which each group relays its reports once. */
        const val RELAY_PERIOD = 5
        const val WINDOW_STEP = 7
        val PROFILE = HostProfile("a", 1.0)
    }
}

/** The [hosts] are cut off from all other hosts [duringMs]. */
internal class LinkCut(val hosts: Set<HostId>, val duringMs: LongRange)

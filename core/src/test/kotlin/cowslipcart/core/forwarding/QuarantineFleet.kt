package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.routing.WorkKind

/**
 * Hosts that report to each other every 200 ms, before three endpoints. One caller sends one
 * request again and again, at one host after another.
 *
 * @property deliveryMs time that a report takes
 */
internal class QuarantineFleet(hostCount: Int, private val deliveryMs: Long = 0) {
    private class StoredQuarantine(val atMs: Long, val request: QuarantinedRequest)

    private class SentReport(val arrivesAtMs: Long, val report: HostLoadReport)

    var nowMs = 0L
        private set

    /** What the platform's store holds, which outlasts the hosts. */
    private val stored = mutableMapOf<Fingerprint, StoredQuarantine>()
    private val names = (1..hostCount).map { "host-$it" }
    private val hosts = names.map { start(it, incarnation = 1) }.toMutableList()
    private val reports = ArrayDeque<SentReport>()
    private var nextIncarnation = 2L
    private var requestCount = 0
    private val downUntilMs = mutableMapOf<EndpointId, Long>()

    /** Whether an endpoint crashes when it begins to run the request. */
    var isDeadly = true

    /** Times at which endpoints began to run the request. */
    val ranAtMs = mutableListOf<Long>()

    /** Times at which the request was answered. */
    val answeredAtMs = mutableListOf<Long>()

    private fun start(name: String, incarnation: Long) =
        ForwardingFixture(host = name, incarnation = incarnation).also { host ->
            host.nowMs = nowMs
            host.onEffects = ::store
            host.send(ForwardingInput.QuarantinesRead(stored.values.map { toRead(it) }))
            val listed = names.associate { HostId(it) to HostProfile("a", 1.0) }
            host.controller.onHostsListed(listed, nowMs)
            host.listEndpoints(entry("e1", 50), entry("e2", 50), entry("e3", 50))
        }

    /** The age of a stored crash is known, when the request last came is not. */
    private fun toRead(stored: StoredQuarantine): QuarantinedRequest = stored.request.copy(
        crashes = stored.request.crashes.map { it.copy(agoMs = it.agoMs + nowMs - stored.atMs) },
        crashedAgoMs = nowMs - stored.atMs + stored.request.crashedAgoMs,
        seenAgoMs = 0
    )

    private fun store(effects: List<ForwardingEffect>) {
        for (effect in effects.filterIsInstance<ForwardingEffect.Quarantine>()) {
            when (val change = effect.effect) {
                is QuarantineEffect.Keep ->
                    stored[change.request.fingerprint] = StoredQuarantine(nowMs, change.request)

                is QuarantineEffect.Drop -> stored -= change.fingerprint
            }
        }
    }

    /** The store comes back from a copy that lacks all quarantines. */
    fun revertStore() {
        stored.clear()
        for (host in hosts) host.send(ForwardingInput.StoreReplaced)
    }

    /** Replaces the process of the host at [index], which loses what it knew. */
    fun restart(index: Int) {
        hosts[index] = start(names[index], nextIncarnation++)
    }

    /** Lets [durationMs] pass; the request comes every [everyMs], not at all if null. */
    fun pass(durationMs: Long, everyMs: Long?) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += STEP_MS
            for (host in hosts) host.nowMs = nowMs
            if (nowMs % REPORT_MS == 0L) report()
            deliver()
            if (everyMs != null && nowMs % everyMs == 0L) {
                request(hosts[requestCount++ % hosts.size])
            }
        }
    }

    private fun report() {
        for (host in hosts) {
            host.send(ForwardingInput.Tick)
            host.controller.loadReport(nowMs)?.let {
                reports += SentReport(nowMs + deliveryMs, it)
            }
        }
    }

    private fun deliver() {
        while (reports.isNotEmpty() && reports.first().arrivesAtMs <= nowMs) {
            val report = reports.removeFirst().report
            for (host in hosts) host.send(ForwardingInput.PeersReported(listOf(report)))
        }
    }

    private fun request(host: ForwardingFixture) {
        val call = host.call(WorkKind.AtMostOnce, maxAttempts = 1, fingerprint = "again")
        var command = host.arrive(call).singleOrNull()
        while (command is CallCommand.Dispatch) {
            command = host.end(call, run(command.endpoint.id)).singleOrNull()
        }
    }

    /** A crashed endpoint takes no connections until it is back. */
    private fun run(endpoint: EndpointId): AttemptOutcome {
        if (nowMs < (downUntilMs[endpoint] ?: 0)) return AttemptOutcome.NotSent("refused")
        ranAtMs += nowMs
        if (isDeadly) {
            downUntilMs[endpoint] = nowMs + DOWN_MS
            return AttemptOutcome.Broken("closed", isConnectionLost = true)
        }
        answeredAtMs += nowMs
        return AttemptOutcome.Answered(isSuccess = true)
    }

    /** How often the request ran later than [CONTACT_MS] after its third run. */
    fun lateRuns(): Int = ranAtMs.count { it > ranAtMs[2] + CONTACT_MS }

    companion object {
        /** Time after the third crash until which the platform excuses further ones, in ms. */
        const val CONTACT_MS = 3_000L

        /** Retries after the third crash that the platform allows. */
        const val MAX_LATE_RUNS = 3
        private const val DOWN_MS = 2_500L
        private const val STEP_MS = 10L
        private const val REPORT_MS = 200L
    }
}

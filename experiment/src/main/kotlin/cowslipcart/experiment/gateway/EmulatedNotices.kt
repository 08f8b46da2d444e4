package cowslipcart.experiment.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.LeavingEndpoint
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId

/**
 * Tells gateways that engines leave or want no requests, and counts those that come nevertheless.
 */
internal class EmulatedNotices(private val run: GatewayRun) {
    /** From when to when a host may send an engine nothing. */
    private val quietMs = mutableMapOf<Pair<HostId, EmulatedEngine>, LongRange>()

    /** Requests that reached an engine although their gateway had been told to send none. */
    var unheededCount = 0
        private set

    /** Attempts that met an engine which had crashed. */
    var failedContactCount = 0
        private set

    /** A request meets an engine that has crashed. */
    fun onFailedContact() {
        failedContactCount++
    }

    /** Schedules the notices of the workload. */
    fun start(notices: List<EngineNotice>) {
        val engines = run.engines.values.toList()
        for (notice in notices) {
            val engine = engines[notice.engine]
            run.queue.schedule(notice.atMs) {
                if (notice.backoffMs == 0L) {
                    engine.isLeaving = true
                } else {
                    engine.backoffUntilMs = notice.atMs + notice.backoffMs
                }
            }
        }
    }

    /** Schedules the crashes of the workload. */
    fun startCrashes(crashes: List<EngineCrash>) {
        for (crash in crashes) {
            val engines = run.engines.values.take(crash.engines)
            run.queue.schedule(crash.atMs) { engines.forEach { it.crash() } }
            run.queue.schedule(crash.untilMs) { engines.forEach { it.restart() } }
        }
    }

    /** A request of [host] reaches [engine]. */
    fun onArrival(host: EmulatedHost, engine: EmulatedEngine) {
        if (run.queue.nowMs in (quietMs[host.id to engine] ?: return)) unheededCount++
    }

    /** The answer of [engine] to [host] states its load, if its machine is shared. */
    fun tellLoad(host: EmulatedHost, engine: EmulatedEngine) {
        if (run.workload.engines.noise == null) return
        run.send(host, ForwardingInput.LoadStated(idOf(engine), engine.statedLoad))
    }

    /** The answer of [engine] to [host] says that it leaves, if it does. */
    fun tellLeaving(host: EmulatedHost, engine: EmulatedEngine) {
        if (!engine.isLeaving) return
        quietMs.putIfAbsent(host.id to engine, run.queue.nowMs + SLACK_MS..Long.MAX_VALUE)
        val endpoint = LeavingEndpoint(idOf(engine), startedAtMs = 0)
        run.send(host, ForwardingInput.EndpointLeaving(endpoint))
    }

    /** [engine] refuses a request of [host] and says for how long it wants no more. */
    fun tellBackoff(host: EmulatedHost, engine: EmulatedEngine) {
        val nowMs = run.queue.nowMs
        quietMs.putIfAbsent(host.id to engine, nowMs + SLACK_MS..engine.backoffUntilMs)
        val durationMs = engine.backoffUntilMs - nowMs
        run.queue.scheduleIn(run.workload.networkMs) {
            run.send(host, ForwardingInput.BackoffRequested(idOf(engine), durationMs))
        }
    }

    private fun idOf(engine: EmulatedEngine): EndpointId =
        run.engines.entries.first { it.value === engine }.key

    private companion object {
        /** Requests that were under way arrive within this time, in ms. */
        const val SLACK_MS = 500L
    }
}

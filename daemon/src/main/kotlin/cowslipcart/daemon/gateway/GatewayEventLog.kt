package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.DECLINE_LIMIT_CHANGES
import cowslipcart.core.forwarding.ENDPOINT_PATH_CHANGES
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.LOST_ENDPOINT_CHANGES
import cowslipcart.core.forwarding.QUARANTINE_CHANGES
import cowslipcart.core.forwarding.STREAM_CHANGES
import cowslipcart.core.forwarding.StatedLoad
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.RequestId
import cowslipcart.core.rollout.RolloutEffect
import cowslipcart.core.store.StoreTable
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.control.RuntimeClock
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Structured log of request decisions, changes of observed state and process events. At most
 * [MAX_LINES_PER_S] lines a second are written; the rest are only counted in [metrics]. The
 * appender never blocks.
 */
internal class GatewayEventLog(
    private val clock: RuntimeClock,
    private val metrics: GatewayMetrics,
    private val lines: JsonLineLog = JsonLineLog.ofProcess
) {
    private val currentSecond = AtomicLong()
    private val linesInSecond = AtomicInteger()

    /** Writes a decision of the forwarding controller. */
    fun write(effect: ForwardingEffect) {
        when (effect) {
            is ForwardingEffect.Command -> writeCommand(effect)

            is ForwardingEffect.LogStateChange -> writeStateChange(effect)

            is ForwardingEffect.Rollout -> writeRollout(effect.effect)

            is ForwardingEffect.Quarantine,
            is ForwardingEffect.ReachChanged,
            is ForwardingEffect.Stream -> Unit

            is ForwardingEffect.Probe -> metrics.probes.inc()

            is ForwardingEffect.TellLost ->
                metrics.lostEndpoints.labelValues("told").inc(effect.endpoints.size.toDouble())
        }
    }

    private fun writeStateChange(effect: ForwardingEffect.LogStateChange) {
        if (effect.change in QUARANTINE_CHANGES) {
            metrics.quarantineChanges.labelValues(effect.change).inc()
        }
        if (effect.change in STREAM_CHANGES) {
            metrics.streamResumptions.labelValues(effect.change).inc()
        }
        if (effect.change in DECLINE_LIMIT_CHANGES) {
            metrics.declineLimits.labelValues(effect.change).inc()
        }
        if (effect.change in LOST_ENDPOINT_CHANGES) {
            metrics.lostEndpoints.labelValues("heard").inc()
        }
        if (effect.change in ENDPOINT_PATH_CHANGES) {
            metrics.pathChanges.labelValues(effect.change).inc()
        }
        line()
            ?.addKeyValue("subject", effect.subject)
            ?.addKeyValue("change", effect.change)
            ?.addKeyValue("reason", effect.reason)
            ?.log("belief")
    }

    /** Writes what became of a roll-out; its notices and reads are not logged. */
    private fun writeRollout(effect: RolloutEffect) {
        when (effect) {
            is RolloutEffect.Log -> {
                metrics.rollouts.labelValues(effect.change).inc()
                event(
                    "rollout",
                    "pool" to effect.subject,
                    "change" to effect.change,
                    "reason" to effect.reason
                )
            }

            is RolloutEffect.Write,
            is RolloutEffect.Send,
            is RolloutEffect.Follow,
            RolloutEffect.Read -> Unit
        }
    }

    /**
     * Writes the end of an attempt at an endpoint.
     *
     * @param tookMs duration of the attempt
     * @param firstEventMs time from the arrival of the request to the first event of its stream,
     * null if no event was forwarded
     * @param events events forwarded to the caller so far, over all attempts
     * @param load what the endpoint stated of its load as it began to answer, null if nothing
     */
    fun attemptEnded(
        call: ForwardedCall,
        endpoint: String,
        outcome: String,
        tookMs: Long,
        firstEventMs: Long?,
        events: Int,
        load: StatedLoad?
    ) {
        line()
            ?.addKeyValue("request", call.requestId.value)
            ?.addKeyValue("endpoint", endpoint)
            ?.addKeyValue("outcome", outcome)
            ?.addKeyValue("tookMs", tookMs)
            ?.addKeyValue("firstEventMs", firstEventMs)
            ?.addKeyValue("events", events)
            ?.addKeyValue("statedRunning", load?.running)
            ?.addKeyValue("statedWaiting", load?.waiting)
            ?.log("attempt")
    }

    /** Writes that [endpoint] is silent in an attempt, after [events] forwarded events. */
    fun attemptStalled(call: ForwardedCall, endpoint: String, events: Int) = event(
        "attempt-stalled",
        "request" to call.requestId.value,
        "endpoint" to endpoint,
        "events" to events
    )

    /** Writes that [endpoint] asked for a backoff of [text], which can't be read. */
    fun unreadableBackoff(call: ForwardedCall, endpoint: String, text: String) = event(
        "backoff-unreadable",
        "request" to call.requestId.value,
        "endpoint" to endpoint,
        "value" to text.take(MAX_VALUE_LENGTH)
    )

    /** Writes that [endpoint] stated a load of [text], which no endpoint can have. */
    fun unreadableLoad(call: ForwardedCall, endpoint: String, text: String) = event(
        "load-unreadable",
        "request" to call.requestId.value,
        "endpoint" to endpoint,
        "value" to text.take(MAX_VALUE_LENGTH)
    )

    /**
     * Writes and counts the end of a request.
     *
     * @param status status sent to the caller, 0 if no response was sent
     * @param decisions commands of the control thread that reached the request; 0 means that it was
     * never decided
     * @param goneMs time from the end of the caller's connection to the end of the work for the
     * request, null if the connection was open
     */
    fun requestEnded(
        call: ForwardedCall,
        status: Int,
        end: String,
        tookMs: Long,
        decisions: Int,
        goneMs: Long?
    ) {
        metrics.countEndedRequest(call.route.id.value, status, end, tookMs)
        goneMs?.let { metrics.observeCallerGone(it) }
        line()
            ?.addKeyValue("request", call.requestId.value)
            ?.addKeyValue("route", call.route.id.value)
            ?.addKeyValue("status", status)
            ?.addKeyValue("end", end)
            ?.addKeyValue("tookMs", tookMs)
            ?.addKeyValue("decisions", decisions)
            ?.addKeyValue("goneMs", goneMs)
            ?.log("answer")
    }

    /** Writes and counts the rejection of a request that was not admitted. */
    fun rejected(request: RequestId?, status: Int, reason: String, revision: Long?) {
        metrics.countRejection(status, reason)
        line()
            ?.addKeyValue("request", request?.value)
            ?.addKeyValue("status", status)
            ?.addKeyValue("reason", reason)
            ?.addKeyValue("revision", revision)
            ?.log("rejected")
    }

    /** Writes and counts that the record at [key] of [table] can't be read. */
    fun unreadableRecord(table: StoreTable, key: String) {
        metrics.unreadableRecords.labelValues(table.name).inc()
        event("record-unreadable", "table" to table.name, "key" to key)
    }

    /**
     * Writes and counts that a step which follows [table] threw [failure], at the record with
     * [key] if not null.
     */
    fun storeFailure(table: StoreTable, failure: Throwable, key: String? = null) {
        metrics.storeFailures.labelValues(table.name).inc()
        event(
            "store-failed",
            "table" to table.name,
            "reason" to "$failure",
            "at" to "${failure.stackTrace.firstOrNull()}",
            "key" to key
        )
    }

    /** This host asked [publisher] for its configuration, which [end] ends; null for none. */
    fun configurationAsked(publisher: SocketAddressSetting, end: LogOffset?) {
        metrics.askedConfigurations.labelValues(if (end == null) "none" else "given").inc()
        event("configuration-asked", "of" to publisher.toString(), "end" to end?.value)
    }

    /** Writes a process event such as start, stop, reload, or a dependency lost or regained. */
    fun event(name: String, vararg fields: Pair<String, Any?>) {
        var builder = line() ?: return
        for ((key, value) in fields) builder = builder.addKeyValue(key, value)
        builder.log(name)
    }

    private fun writeCommand(effect: ForwardingEffect.Command) {
        val builder = line() ?: return
        val call = effect.call
        val context = effect.context
        val described = when (val command = effect.command) {
            is CallCommand.Dispatch -> builder.addSend("dispatch", command)

            is CallCommand.TakeOver -> builder.addSend("take-over", command)

            is CallCommand.Hedge -> builder.addSend("hedge", command)

            is CallCommand.Refuse -> builder.addKeyValue("choice", "refuse")
                .addKeyValue("reason", command.reason.text)
                .addKeyValue("retryAfterMs", command.retryAfterMs)

            is CallCommand.GiveUp -> builder.addKeyValue("choice", "give-up")
                .addKeyValue("reason", command.reason.text)
        }
        described.addKeyValue("request", call.requestId.value)
            .addKeyValue("organisation", call.organisation?.value)
            .addKeyValue("pool", call.pool.value)
            .addKeyValue("tier", call.tier.rank)
            .addKeyValue("inputTokens", call.inputTokens)
            .addKeyValue("expectedTokens", call.expectedOutputTokens)
            .addKeyValue("freeSlots", context.freeSlots)
            .addKeyValue("slots", context.slotCount)
            .addKeyValue("hosts", "${context.liveHosts}/${context.knownHosts}")
            .addKeyValue("waitedMs", context.waitedMs)
            .addKeyValue("remainingMs", context.remainingMs)
            .addKeyValue("endpointRunning", context.selected?.running)
            .addKeyValue("expectedMs", context.selected?.firstTokenMs)
            .addKeyValue("unitsAsked", context.unitsAsked)
            .addKeyValue("unitsLeft", context.unitsLeft)
            .addKeyValue("revision", context.revision)
            .log("decision")
    }

    private fun Line.addSend(choice: String, command: CallCommand.Send): Line =
        addKeyValue("choice", choice)
            .addKeyValue("endpoint", command.endpoint.id.value)
            .addKeyValue("attempt", command.attempt)
            .addKeyValue("relay", command.relay?.value)

    /** Returns a builder for a line, or null if the line limit of this second is reached. */
    private fun line(): Line? {
        val nowS = clock.nowMs() / MS_PER_S
        if (currentSecond.getAndSet(nowS) != nowS) linesInSecond.set(0)
        if (linesInSecond.incrementAndGet() > MAX_LINES_PER_S) {
            metrics.droppedLines.inc()
            return null
        }
        return Line().addKeyValue("atMs", clock.nowMs())
    }

    /** A line that is being built. */
    private inner class Line {
        private val fields = ArrayList<Pair<String, Any?>>(FIELD_COUNT)

        fun addKeyValue(key: String, value: Any?): Line {
            fields += key to value
            return this
        }

        fun log(message: String) =
            lines.write(clock.wallNowMs(), LogLevel.INFO, LOGGER, message, fields)
    }

    private companion object {
        /** Three lines for each of 100 requests a second, ten times the usual rate of a host. */
        const val MAX_LINES_PER_S = 300
        const val MS_PER_S = 1_000L
        const val LOGGER = "gateway"
        const val FIELD_COUNT = 16

        /** Longer values of headers are cut. */
        const val MAX_VALUE_LENGTH = 100
    }
}

package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.model.RequestId
import cowslipcart.daemon.control.RuntimeClock
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import org.slf4j.LoggerFactory
import org.slf4j.event.Level
import org.slf4j.spi.LoggingEventBuilder

/**
 * Structured log of what touches a request or changes what the process believes. At most
 * [MAX_LINES_PER_S] lines a second are written; the others are counted. The appender never blocks.
 */
internal class DecisionJournal(
    private val clock: RuntimeClock,
    private val metrics: GatewayMetrics
) {
    private val log = LoggerFactory.getLogger("gateway")
    private val second = AtomicLong()
    private val linesInSecond = AtomicInteger()

    /** Writes a decision of control. */
    fun write(effect: ForwardingEffect) {
        when (effect) {
            is ForwardingEffect.Command -> writeCommand(effect)

            is ForwardingEffect.Belief -> line(Level.INFO)
                ?.addKeyValue("subject", effect.subject)
                ?.addKeyValue("change", effect.change)
                ?.addKeyValue("reason", effect.reason)
                ?.log("belief")
        }
    }

    /**
     * Writes the end of an attempt at an endpoint; [firstEventMs] is the time from the arrival of
     * the request to the first event of its stream, null if there is none; [events] have been
     * passed on so far.
     */
    fun attemptEnded(
        call: ForwardedCall,
        endpoint: String,
        outcome: String,
        tookMs: Long,
        firstEventMs: Long?,
        events: Int
    ) {
        line(Level.INFO)
            ?.addKeyValue("request", call.requestId.value)
            ?.addKeyValue("endpoint", endpoint)
            ?.addKeyValue("outcome", outcome)
            ?.addKeyValue("tookMs", tookMs)
            ?.addKeyValue("firstEventMs", firstEventMs)
            ?.addKeyValue("events", events)
            ?.log("attempt")
    }

    /** Writes what the caller got; [status] is 0 if nothing was sent. */
    fun answered(call: ForwardedCall, status: Int, end: String, tookMs: Long) {
        metrics.countAnswer(call.route.id.value, status, end, tookMs)
        line(Level.INFO)
            ?.addKeyValue("request", call.requestId.value)
            ?.addKeyValue("route", call.route.id.value)
            ?.addKeyValue("status", status)
            ?.addKeyValue("end", end)
            ?.addKeyValue("tookMs", tookMs)
            ?.log("answer")
    }

    /** Writes that a request was rejected before it became a call. */
    fun rejected(request: RequestId?, status: Int, reason: String, revision: Long?) {
        metrics.countRejection(status, reason)
        line(Level.INFO)
            ?.addKeyValue("request", request?.value)
            ?.addKeyValue("status", status)
            ?.addKeyValue("reason", reason)
            ?.addKeyValue("revision", revision)
            ?.log("rejected")
    }

    /** Writes an event of the process: start, stop, reload, a lost or regained dependency. */
    fun event(name: String, vararg facts: Pair<String, Any?>) {
        var builder = line(Level.INFO) ?: return
        for ((key, value) in facts) builder = builder.addKeyValue(key, value)
        builder.log(name)
    }

    private fun writeCommand(effect: ForwardingEffect.Command) {
        val builder = line(Level.INFO) ?: return
        val call = effect.call
        val facts = effect.line
        val described = when (val command = effect.command) {
            is CallCommand.Dispatch -> builder.addKeyValue("choice", "dispatch")
                .addKeyValue("endpoint", command.endpoint.id.value)
                .addKeyValue("attempt", command.attempt)

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
            .addKeyValue("freeSlots", facts.freeSlots)
            .addKeyValue("slots", facts.slotCount)
            .addKeyValue("hosts", "${facts.heardHosts}/${facts.knownHosts}")
            .addKeyValue("waitedMs", facts.waitedMs)
            .addKeyValue("unitsAsked", facts.unitsAsked)
            .addKeyValue("unitsLeft", facts.unitsLeft)
            .addKeyValue("revision", facts.revision)
            .log("decision")
    }

    /** Returns a line to fill, or null if the budget of this second is used up. */
    private fun line(level: Level): LoggingEventBuilder? {
        val nowS = clock.nowMs() / MS_PER_S
        if (second.getAndSet(nowS) != nowS) linesInSecond.set(0)
        if (linesInSecond.incrementAndGet() > MAX_LINES_PER_S) {
            metrics.droppedLines.inc()
            return null
        }
        return log.makeLoggingEventBuilder(level).addKeyValue("atMs", clock.nowMs())
    }

    private companion object {
        /** Three lines for each of 100 requests a second, ten times the usual of a host. */
        const val MAX_LINES_PER_S = 300
        const val MS_PER_S = 1_000L
    }
}

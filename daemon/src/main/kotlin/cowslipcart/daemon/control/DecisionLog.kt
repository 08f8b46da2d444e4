package cowslipcart.daemon.control

import cowslipcart.core.host.DecisionLine
import cowslipcart.core.host.OrderLine
import cowslipcart.daemon.Metrics
import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/** Logs and counts each decision on a request and each decision on an order to an engine. */
internal class DecisionLog(private val metrics: Metrics) {
    private val log = LoggerFactory.getLogger("cowslipcart.decision")

    fun write(line: DecisionLine) {
        metrics.decisions.labelValues(line.choice.substringBefore(' ')).inc()
        log.makeLoggingEventBuilder(Level.INFO)
            .addKeyValue("request", line.requestId.value)
            .addKeyValue("organisation", line.organisation.value)
            .addKeyValue("tier", line.tier.rank)
            .addKeyValue("shard", line.shard.toString())
            .addKeyValue("candidates", line.candidates.joinToString(",") { it.value })
            .addKeyValue("choice", line.choice)
            .addKeyValue("reason", line.reason)
            .addKeyValue("revision", line.revision.value)
            .log("decision")
    }

    fun write(line: OrderLine) {
        metrics.orders.labelValues(line.choice).inc()
        log.makeLoggingEventBuilder(Level.INFO)
            .addKeyValue("shard", line.shard.toString())
            .addKeyValue("endpoint", line.endpoint.value)
            .addKeyValue("choice", line.choice)
            .addKeyValue("reason", line.reason)
            .addKeyValue("fencing", line.fencing?.toString())
            .addKeyValue("revision", line.revision.value)
            .log("order")
    }
}

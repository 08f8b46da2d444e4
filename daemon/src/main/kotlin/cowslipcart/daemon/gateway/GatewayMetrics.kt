package cowslipcart.daemon.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Prometheus metrics of a gateway. */
internal class GatewayMetrics {
    private val registry = PrometheusRegistry()

    private val answers = counter("answers", "Ended requests", "route", "status", "end")
    private val rejections = counter("rejections", "Requests without a call", "status", "reason")

    /** Ended attempts at endpoints, by outcome. */
    val attempts: Counter = counter("attempts", "Ended attempts at endpoints", "outcome")

    /** Second copies of requests beside an attempt in flight: sent, or won by the copy. */
    val hedges: Counter = counter("hedges", "Second copies of requests", "stage")

    /** Log lines dropped over the limit per second. */
    val droppedLines: Counter = counter("log_lines_dropped", "Log lines over the budget")

    /**
     * Inputs of the control thread by stage, submitted or handled. A difference that stays is an
     * input that was lost.
     */
    val controlInputs: Counter = counter("control_inputs", "Inputs of the control thread", "stage")

    /** Limits on what callers may make this host hold, each time that one strikes. */
    val limitStrikes: Counter = counter("limit_strikes", "Limits that were reached", "limit")

    /** Calls to the platform's store, by operation and result. */
    val storeCalls: Counter = counter("store_calls", "Calls to the store", "call", "result")

    /** Records of the store that can't be read, each time that one is new. */
    val unreadableRecords: Counter =
        counter("unreadable_records", "Records of the store that can't be read", "table")

    /** Steps of following a table of the store that threw; the table is followed further. */
    val storeFailures: Counter =
        counter("store_failures", "Failed steps of following the store", "table")

    /** Requests and parts of prompts that were quarantined, probed or released, as logged. */
    val quarantineChanges: Counter =
        counter("quarantine_changes", "Changes of quarantines", "change")

    /** Streams that callers resume, by whether the version that began them is known. */
    val streamResumptions: Counter =
        counter("stream_resumptions", "Resumed streams", "change")

    /** Whether this host reaches the endpoints itself, each time that this changes. */
    val pathChanges: Counter =
        counter("endpoint_path_changes", "Endpoints lost, regained", "change")

    /** Endpoints that can't be connected to, of which this host told others or was told. */
    val lostEndpoints: Counter =
        counter("lost_endpoints", "Endpoints told or heard to be lost", "stage")

    /** Pools whose endpoints began or ceased to state a limit on declines. */
    val declineLimits: Counter = counter("decline_limits", "Limits on declines of pools", "change")

    /** Connections to endpoints that were made to see whether this host can. */
    val probes: Counter = Counter.builder().name("cowslipcart_gateway_endpoint_probes")
        .help("Probe connections to endpoints").register(registry)

    /** Connections to endpoints that other hosts asked this one to relay, by outcome. */
    val relayedConnections: Counter =
        counter("relayed_connections", "Connections relayed for other hosts", "outcome")

    /** Configurations that this host asked another one for, by what it got, and gave to others. */
    val askedConfigurations: Counter =
        counter("asked_configurations", "Configurations asked of other hosts", "outcome")

    /** Datagrams between hosts; the label says whether sent, received, failed or unreadable. */
    val peerReports: Counter = counter("peer_reports", "Reports between hosts", "direction")

    /** Changes of roll-outs, as they are logged. */
    val rollouts: Counter = counter("rollout_changes", "Changes of roll-outs", "change")

    private val durations = Histogram.builder()
        .name("cowslipcart_gateway_answer_seconds")
        .help("Time from the arrival of a request to the end of its answer")
        .labelNames("route")
        .classicOnly()
        .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
        .register(registry)

    private val goneDurations = Histogram.builder()
        .name("cowslipcart_gateway_caller_gone_seconds")
        .help("Time from reading a caller's close to the end of the work for its request")
        .classicOnly()
        .classicUpperBounds(0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
        .register(registry)

    private val statedQueues = Histogram.builder()
        .name("cowslipcart_gateway_stated_queue_requests")
        .help("Requests that waited at an endpoint as it began to answer, by its own statement")
        .classicOnly()
        .classicUpperBounds(0.0, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0)
        .register(registry)

    /** Counts a request that ended with [status] after [tookMs]; [end] says how. */
    fun countEndedRequest(route: String, status: Int, end: String, tookMs: Long) {
        answers.labelValues(route, "$status", end).inc()
        durations.labelValues(route).observe(tookMs / MS_PER_S)
    }

    /** Records that the work for a request ended [goneMs] after its caller's close was read. */
    fun observeCallerGone(goneMs: Long) = goneDurations.observe(goneMs / MS_PER_S)

    /** Records that an endpoint stated that [requests] waited for one of its slots. */
    fun observeStatedQueue(requests: Int) = statedQueues.observe(requests.toDouble())

    /** Counts a request that was not admitted. */
    fun countRejection(status: Int, reason: String) {
        rejections.labelValues("$status", reason).inc()
    }

    /** Encodes all metrics in the Prometheus text format. */
    fun render(): ByteArray {
        val buffer = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(buffer, registry.scrape())
        return buffer.toByteArray()
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name("cowslipcart_gateway_$name").help(help).labelNames(*labels)
            .register(registry)

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}

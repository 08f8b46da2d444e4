package cowslipcart.daemon

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Prometheus metrics of this process, except those of the gateway. */
internal class Metrics {
    private val registry = PrometheusRegistry()
    private val writer = PrometheusTextFormatWriter.builder().build()

    /** Answers to callers by tier and result: `answered`, or the name of the problem. */
    val requests: Counter = counter(
        "cowslipcart_requests",
        "Answers to callers",
        "tier",
        "result"
    )

    val outputTokens: Counter = counter("cowslipcart_output_tokens", "Output tokens from endpoints")

    val decisions: Counter = counter(
        "cowslipcart_decisions",
        "Decisions of shard owners",
        "choice"
    )

    val orders: Counter = counter("cowslipcart_orders", "Decisions about orders", "choice")

    val foreignAnswers: Counter =
        counter("cowslipcart_foreign_answers", "Endpoint replies that named another request")

    val peerFrames: Counter =
        counter("cowslipcart_peer_frames", "Frames between hosts", "direction")

    val peerBytes: Counter =
        counter("cowslipcart_peer_bytes", "Bytes of frames between hosts", "direction")

    val peerErrors: Counter =
        counter("cowslipcart_peer_errors", "Faults in the peer protocol", "kind")

    val logCalls: Counter = counter("cowslipcart_log_calls", "Calls to the log", "call", "result")

    private val promptTokensBySource: Counter = counter(
        "cowslipcart_prompt_tokens",
        "Prompt tokens of finished answers by source: read, or taken from a prefix cache",
        "source"
    )

    val cacheReads: Counter =
        counter("cowslipcart_cache_reads", "Reads of cache events of endpoints", "result")

    val cacheReadBytes: Counter =
        counter("cowslipcart_cache_read_bytes", "Bytes of pages of cache events")

    val missingCacheEvents: Counter = counter(
        "cowslipcart_cache_events_missing",
        "Cache events that endpoints did not report or no longer had"
    )

    val cacheRestarts: Counter = counter(
        "cowslipcart_cache_restarts",
        "Sequences of cache events that started anew"
    )

    val firstToken: Histogram = Histogram.builder()
        .name("cowslipcart_first_token_seconds")
        .help("Time from arrival to the first byte of the answer")
        .labelNames("tier")
        .register(registry)

    /** Stages of the time to the first byte, by [cowslipcart.daemon.session.RequestStage]. */
    val stages: Histogram = Histogram.builder()
        .name("cowslipcart_first_token_stage_seconds")
        .help("Parts of the time from arrival to the first byte of a streamed answer")
        .labelNames("stage")
        .classicOnly()
        .classicUpperBounds(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0)
        .register(registry)

    /** Counts the prompt tokens of an answer, split into read and cached by the endpoint. */
    fun countPrompt(promptTokens: Int, cachedTokens: Int) {
        promptTokensBySource.labelValues("read").inc((promptTokens - cachedTokens).toDouble())
        promptTokensBySource.labelValues("cached").inc(cachedTokens.toDouble())
    }

    /** Registers a gauge that is read when metrics are collected. */
    fun gauge(name: String, help: String, read: () -> Double) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .callback { it.call(read()) }
            .register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun render(): ByteArray {
        val buffer = ByteArrayOutputStream()
        writer.write(buffer, registry.scrape())
        return buffer.toByteArray()
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)
}

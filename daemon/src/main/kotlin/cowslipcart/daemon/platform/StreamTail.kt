package cowslipcart.daemon.platform

import cowslipcart.core.log.LogPage
import cowslipcart.core.log.LogPort
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StreamName
import cowslipcart.daemon.Metrics
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.repeatGuarded
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/** Follows a stream of the log from its start, page by page. */
internal class StreamTail(
    private val log: LogPort,
    private val stream: StreamName,
    private val metrics: Metrics,
    private val clock: RuntimeClock
) {
    private val logger = LoggerFactory.getLogger(StreamTail::class.java)
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Ends the retry delay after a failed read. */
    fun readNow() {
        wake.trySend(Unit)
    }

    /**
     * Reads in [scope] until it is cancelled.
     *
     * @param onPage called for each page, with the time on the process clock when its read was sent
     * @param onFailure called for each failed read, which is retried after a delay
     */
    fun start(
        scope: CoroutineScope,
        onPage: (page: LogPage, sentAtMs: Long) -> Unit,
        onFailure: () -> Unit
    ) {
        scope.launch {
            var next = LogOffset(0)
            repeatGuarded(logger, "reading of stream $stream") {
                val sentAtMs = clock.nowMs()
                log.read(stream, next, MAX_RECORDS, LONG_POLL_MS).fold(
                    { error ->
                        metrics.logCalls.labelValues("read", "failed").inc()
                        logger.debug("read of stream {} failed: {}", stream, error)
                        onFailure()
                        withTimeoutOrNull(RETRY_DELAY_MS) { wake.receive() }
                    },
                    { page ->
                        metrics.logCalls.labelValues("read", "ok").inc()
                        onPage(page, sentAtMs)
                        next = page.records.lastOrNull()?.offset?.next()
                            ?: maxOf(next, page.firstKeptOffset)
                    }
                )
            }
        }
    }

    private companion object {
        const val MAX_RECORDS = 256
        const val LONG_POLL_MS = 1_000L
        const val RETRY_DELAY_MS = 500L
    }
}

package cowslipcart.standins.http

import cowslipcart.core.log.LogPage
import cowslipcart.core.log.LogRecord
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StreamName
import cowslipcart.standins.log.LogFaults
import cowslipcart.standins.log.LogStore
import cowslipcart.standins.log.LogStoreError
import kotlin.random.Random
import kotlin.time.TimeSource
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull

/** Result of an append through the service. */
internal sealed interface AppendResult {
    class Appended(val record: LogRecord) : AppendResult

    class Refused(val error: LogStoreError) : AppendResult

    /** The record was appended, but the caller gets no acknowledgement. */
    data object AckLost : AppendResult

    /** The service is in an outage; nothing was appended. */
    data object Outage : AppendResult
}

/**
 * Log service with faults and long polls around a [LogStore].
 *
 * @param nowMs wall clock in milliseconds since 1970
 */
internal class LogService(
    store: LogStore,
    private val random: Random,
    private val nowMs: () -> Long
) : AutoCloseable {
    private class State(val store: LogStore, var faults: LogFaults = LogFaults())

    private val state = Confined(State(store))

    /** Number of appends and fault changes; waiting reads retry when it changes. */
    private val changeCount = MutableStateFlow(0L)

    /** Number of reads that wait for a record. */
    val waitingReads: StateFlow<Int> get() = changeCount.subscriptionCount

    /** Appends even if the caller disconnects, as a service that has read the request does. */
    suspend fun append(stream: StreamName, payload: ByteArray): AppendResult =
        withContext(NonCancellable) {
            delay(state.use { it.faults.slowMs })
            val result = state.use { appendNow(it, stream, payload) }
            changeCount.update { it + 1 }
            result
        }

    /** Returns a page, waiting up to [waitMs] for a first record; null in an outage. */
    suspend fun read(stream: StreamName, from: LogOffset, maxCount: Int, waitMs: Long): LogPage? {
        val start = TimeSource.Monotonic.markNow()
        delay(state.use { it.faults.slowMs })
        while (true) {
            val seenCount = changeCount.value
            val page = state.use { readNow(it, stream, from, maxCount) } ?: return null
            val leftMs = waitMs - start.elapsedNow().inWholeMilliseconds
            if (page.records.isNotEmpty() || leftMs <= 0) return page
            withTimeoutOrNull(leftMs) { changeCount.first { it != seenCount } }
        }
    }

    suspend fun changeFaults(change: (LogFaults) -> LogFaults): LogFaults {
        val faults = state.use { state ->
            state.faults = change(state.faults)
            state.faults
        }
        changeCount.update { it + 1 }
        return faults
    }

    override fun close() = state.close()

    private fun appendNow(state: State, stream: StreamName, payload: ByteArray): AppendResult {
        if (state.faults.isOutage) return AppendResult.Outage
        return state.store.append(stream, payload, nowMs()).fold(
            { AppendResult.Refused(it) },
            { record ->
                val isLost = random.nextDouble() < state.faults.loseAckRate
                if (isLost) AppendResult.AckLost else AppendResult.Appended(record)
            }
        )
    }

    private fun readNow(
        state: State,
        stream: StreamName,
        from: LogOffset,
        maxCount: Int
    ): LogPage? {
        if (state.faults.isOutage) return null
        return state.store.read(stream, from, maxCount, nowMs(), state.faults.staleReadsBehind)
    }
}

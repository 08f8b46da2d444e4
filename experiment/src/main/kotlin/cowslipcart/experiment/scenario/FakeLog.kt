package cowslipcart.experiment.scenario

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.EpochEntry
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.log.LogError
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/** One stream of the [FakeLog]; it stores decoded entries. */
internal class FakeStream<T> {
    private val records = ArrayList<FakeRecord<T>>()
    private var keptFrom = 0

    val endOffset: LogOffset get() = LogOffset(records.size.toLong())

    fun add(entry: T, appendedAtMs: Long): LogOffset {
        val offset = endOffset
        records += FakeRecord(offset, appendedAtMs, entry)
        return offset
    }

    /** Returns up to [MAX_RECORDS] records from [from] on, or from the first kept one. */
    fun page(from: LogOffset): FakePage<T> {
        val start = from.value.toInt().coerceIn(keptFrom, records.size)
        val end = minOf(start + MAX_RECORDS, records.size)
        return FakePage(
            records.subList(start, end).toList(),
            LogOffset(keptFrom.toLong()),
            endOffset
        )
    }

    /** Removes all records, as retention does with old ones. */
    fun trim() {
        keptFrom = records.size
    }

    private companion object {
        const val MAX_RECORDS = 256
    }
}

internal class FakeRecord<T>(val offset: LogOffset, val appendedAtMs: Long, val entry: T)

internal class FakePage<T>(
    val records: List<FakeRecord<T>>,
    val firstKeptOffset: LogOffset,
    val endOffset: LogOffset
)

/** The platform's log with outages, slow calls, lost acknowledgements and retention. */
internal class FakeLog(private val time: Timeline) {
    val config = FakeStream<ConfigEntry>()
    val epochs = FakeStream<EpochEntry>()
    val claims = List(PARTITION_COUNT) { FakeStream<List<ClaimItem>>() }

    /** Hosts whose calls to the log fail. */
    val unreachableHosts = mutableSetOf<HostId>()

    /** One-way delay of a call in ms. */
    var latencyMs = LATENCY_MS

    /** Number of next appends of claims that take effect without an acknowledgement. */
    var acksToLose = 0

    fun <T> append(
        stream: FakeStream<T>,
        entry: T,
        host: HostId,
        onResult: (Either<LogError, LogOffset>) -> Unit
    ) = time.after(latencyMs) {
        if (host in unreachableHosts) {
            onResult(LogError.Unavailable("outage").left())
            return@after
        }
        val offset = stream.add(entry, time.wallNowMs)
        if (acksToLose > 0 && claims.any { it === stream }) {
            acksToLose--
            time.note("log: acknowledgement of claims record $offset to $host lost")
            time.after(CALL_TIMEOUT_MS) { onResult(LogError.Unknown("no answer").left()) }
        } else {
            time.after(latencyMs) { onResult(offset.right()) }
        }
    }

    fun <T> read(
        stream: FakeStream<T>,
        from: LogOffset,
        host: HostId,
        onResult: (Either<LogError, FakePage<T>>) -> Unit
    ) = time.after(latencyMs) {
        if (host in unreachableHosts) {
            onResult(LogError.Unavailable("outage").left())
        } else {
            val page = stream.page(from)
            time.after(latencyMs) { onResult(page.right()) }
        }
    }

    /** Removes all claims, as retention would after a day. */
    fun trimClaims() = claims.forEach { it.trim() }

    companion object {
        const val PARTITION_COUNT = 8
        const val LATENCY_MS = 3L
        const val CALL_TIMEOUT_MS = 1_000L
    }
}

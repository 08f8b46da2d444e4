package cowslipcart.core.claims

import cowslipcart.core.log.LogError
import cowslipcart.core.model.LogOffset

/** Fake of one stream of the log service that injects faults. */
internal class FakeLog<T>(private val simulation: Simulation) {
    class Record<T>(val offset: LogOffset, val appendedAtMs: Long, val payload: T)

    class Page<T>(val records: List<Record<T>>, val firstKept: LogOffset, val end: LogOffset)

    private val records = ArrayList<Record<T>>()
    private var firstKept = 0
    private var outageUntilMs = 0L

    /** Probability of each fault: lost answer, late or duplicate write, failed or slow read. */
    var faultRate = 0.0
    var lostAnswers = 0
    var lateWrites = 0
    var isTrimmed = false
        private set

    val appendCount: Int get() = records.size

    fun startOutage(durationMs: Long) {
        outageUntilMs = simulation.nowMs + durationMs
    }

    fun trimBefore(timeMs: Long) {
        val keptFrom = records.indexOfFirst { it.appendedAtMs >= timeMs }
        firstKept = maxOf(firstKept, if (keptFrom < 0) records.size else keptFrom)
        isTrimmed = firstKept > 0
    }

    fun append(payload: T, onError: (LogError) -> Unit, onOffset: (LogOffset) -> Unit) {
        val unknown = LogError.Unknown("answer lost")
        when {
            simulation.nowMs < outageUntilMs ->
                simulation.after(5) { onError(LogError.Unavailable("outage")) }

            simulation.chance(faultRate) -> {
                lostAnswers++
                if (simulation.chance(0.8)) simulation.after(APPEND_MS) { write(payload) }
                simulation.after(simulation.between(APPEND_MS, 300)) { onError(unknown) }
            }

            simulation.chance(faultRate) -> {
                lateWrites++
                simulation.after(simulation.between(50, 200)) { onError(unknown) }
                simulation.after(lateMs()) { write(payload) }
            }

            else -> simulation.after(APPEND_MS) {
                val offset = write(payload)
                simulation.after(1) { onOffset(offset) }
                if (simulation.chance(faultRate)) simulation.after(lateMs()) { write(payload) }
            }
        }
    }

    fun read(from: LogOffset, onError: (LogError) -> Unit, onPage: (Page<T>) -> Unit) {
        when {
            simulation.nowMs < outageUntilMs ->
                simulation.after(5) { onError(LogError.Unavailable("outage")) }

            simulation.chance(faultRate) -> simulation.after(20) {
                onError(LogError.Unknown("read"))
            }

            else -> simulation.after(1) {
                val page = pageFrom(from)
                simulation.after(
                    if (simulation.chance(faultRate)) simulation.between(5, 500) else 1
                ) {
                    onPage(page)
                }
            }
        }
    }

    fun pageFrom(from: LogOffset): Page<T> {
        val start = maxOf(from.value.toInt(), firstKept)
        val page = records.drop(start).take(PAGE_SIZE)
        return Page(page, LogOffset(firstKept.toLong()), LogOffset(records.size.toLong()))
    }

    private fun write(payload: T): LogOffset {
        val offset = LogOffset(records.size.toLong())
        records += Record(offset, simulation.nowMs, payload)
        simulation.addTrace("log $offset: $payload")
        return offset
    }

    private fun lateMs(): Long = when (simulation.random.nextInt(3)) {
        0 -> simulation.between(100, 3_000)
        1 -> simulation.between(3_000, 60_000)
        else -> simulation.between(60_000, 40 * 60_000)
    }

    private companion object {
        const val APPEND_MS = 10L
        const val PAGE_SIZE = 16
    }
}

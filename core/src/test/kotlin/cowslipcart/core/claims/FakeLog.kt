package cowslipcart.core.claims

import cowslipcart.core.log.LogError
import cowslipcart.core.model.LogOffset

/** A stream of the log service with its faults. */
internal class FakeLog<T>(private val world: World) {
    class Record<T>(val offset: LogOffset, val appendedAtMs: Long, val payload: T)

    class Page<T>(val records: List<Record<T>>, val firstKept: LogOffset, val end: LogOffset)

    private val records = ArrayList<Record<T>>()
    private var firstKept = 0
    private var outageUntilMs = 0L

    /** Share of appends with a lost answer, a late write or a second write; and of failed reads. */
    var faultRate = 0.0
    var lostAnswers = 0
    var lateWrites = 0
    var isTrimmed = false
        private set

    val appendCount: Int get() = records.size

    fun startOutage(durationMs: Long) {
        outageUntilMs = world.nowMs + durationMs
    }

    fun trimBefore(timeMs: Long) {
        val keptFrom = records.indexOfFirst { it.appendedAtMs >= timeMs }
        firstKept = maxOf(firstKept, if (keptFrom < 0) records.size else keptFrom)
        isTrimmed = firstKept > 0
    }

    fun append(payload: T, onError: (LogError) -> Unit, onOffset: (LogOffset) -> Unit) {
        val unknown = LogError.Unknown("answer lost")
        when {
            world.nowMs < outageUntilMs ->
                world.after(5) { onError(LogError.Unavailable("outage")) }

            world.chance(faultRate) -> {
                lostAnswers++
                if (world.chance(0.8)) world.after(APPEND_MS) { write(payload) }
                world.after(world.between(APPEND_MS, 300)) { onError(unknown) }
            }

            world.chance(faultRate) -> {
                lateWrites++
                world.after(world.between(50, 200)) { onError(unknown) }
                world.after(lateMs()) { write(payload) }
            }

            else -> world.after(APPEND_MS) {
                val offset = write(payload)
                world.after(1) { onOffset(offset) }
                if (world.chance(faultRate)) world.after(lateMs()) { write(payload) }
            }
        }
    }

    fun read(from: LogOffset, onError: (LogError) -> Unit, onPage: (Page<T>) -> Unit) {
        when {
            world.nowMs < outageUntilMs ->
                world.after(5) { onError(LogError.Unavailable("outage")) }

            world.chance(faultRate) -> world.after(20) { onError(LogError.Unknown("read")) }

            else -> world.after(1) {
                val page = pageFrom(from)
                world.after(if (world.chance(faultRate)) world.between(5, 500) else 1) {
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
        records += Record(offset, world.nowMs, payload)
        world.note("log $offset: $payload")
        return offset
    }

    private fun lateMs(): Long = when (world.random.nextInt(3)) {
        0 -> world.between(100, 3_000)
        1 -> world.between(3_000, 60_000)
        else -> world.between(60_000, 40 * 60_000)
    }

    private companion object {
        const val APPEND_MS = 10L
        const val PAGE_SIZE = 16
    }
}

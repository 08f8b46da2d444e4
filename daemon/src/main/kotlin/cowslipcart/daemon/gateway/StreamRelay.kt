package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.QuickestPause
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.ResponseHead
import java.io.IOException

/** Events of the stream do not follow one another. */
internal class EventOrderException(message: String) : IOException(message)

/**
 * Passes the events of one request on to its caller, whole and in order, also if several endpoints
 * make them one after the other. The answer keeps the head of the first.
 */
internal class StreamRelay(private val answer: CallerAnswer, private val clock: RuntimeClock) {
    private var splitter = EventSplitter()
    private var head: ResponseHead? = null

    /** Id of the last event that was passed on; null for none. */
    var lastEventId: Long? = null
        private set

    var eventCount = 0
        private set

    var firstEventAtMs = 0L
        private set

    val quickestPause = QuickestPause()

    /** Whether an event was passed on. */
    val isStarted: Boolean get() = eventCount > 0

    /** An endpoint begins to answer with [next]; bytes of a broken event before are dropped. */
    fun begin(next: ResponseHead) {
        if (head == null || !isStarted) head = next
        splitter = EventSplitter()
    }

    suspend fun onBytes(bytes: ByteArray) {
        val events = splitter.add(bytes).filter { isNext(it) }
        if (events.isEmpty()) return
        val nowMs = clock.nowMs()
        if (eventCount == 0) firstEventAtMs = nowMs
        eventCount += events.size
        repeat(events.size) { quickestPause.onEvent(nowMs) }
        events.last().id?.let { lastEventId = it }
        val joined = events.map { it.bytes }.reduce { all, next -> all + next }
        answer.writePart(checkNotNull(head), joined)
    }

    /** The endpoint ended its stream properly. */
    suspend fun finish() {
        val rest = splitter.takeRest()
        answer.writePart(checkNotNull(head), rest)
        answer.finish()
    }

    /** Leaves out events that were passed on before, and fails where one is missing. */
    private fun isNext(event: StreamEvent): Boolean {
        val id = event.id ?: return true
        val last = lastEventId ?: return true.also { lastEventId = id }
        if (id <= last) return false
        if (id != last + 1) {
            throw EventOrderException("expected event ${last + 1}, found $id")
        }
        lastEventId = id
        return true
    }
}

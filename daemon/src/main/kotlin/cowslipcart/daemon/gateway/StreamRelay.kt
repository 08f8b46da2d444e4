package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ShortestGapWindow
import cowslipcart.core.model.VersionId
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.ResponseHead
import java.io.EOFException
import java.io.IOException

/** A stream without a length ended where the endpoint can't have ended it. */
internal class IncompleteStreamException : EOFException("connection closed within the stream")

/** An event of the stream is missing, or can't be placed. */
internal class EventOrderException(message: String) : IOException(message)

/**
 * Forwards the events of one request to its caller, complete and in order, even if a retry resumes
 * the stream at another endpoint. The response keeps the head of the endpoint that sent the first
 * forwarded event.
 */
internal class StreamRelay(private val response: CallerResponse, private val clock: RuntimeClock) {
    private var splitter = EventSplitter()
    private var head: ResponseHead? = null

    /** Version of the endpoint that sent the first forwarded event. */
    private var startedVersion: VersionId? = null
    private var version = VersionId.NONE

    /** Largest difference between the ids of two events in a row. */
    private var largestStep = 1L

    /** Whether the next event is the first one after those of another endpoint. */
    private var isResuming = false

    /** Complete events that were not looked at yet. */
    private var received = emptyList<StreamEvent>()

    /** Id of the last event that was forwarded; null if none. */
    var lastEventId: Long? = null
        private set

    /** Number of events that were forwarded. */
    var eventCount = 0
        private set

    /** Time of the first forwarded event on the monotonic clock; 0 if none. */
    var firstEventAtMs = 0L
        private set

    val shortestGaps = ShortestGapWindow()

    /** Whether an event was forwarded. */
    val isStarted: Boolean get() = eventCount > 0

    /**
     * Starts the stream of an attempt at an endpoint of [version]; what the previous one left
     * unforwarded is dropped. Throws [EventOrderException] if the stream can't go on there: events
     * without ids were forwarded, or events of another version.
     */
    fun begin(next: ResponseHead, version: VersionId = VersionId.NONE) {
        if (isStarted && startedVersion != version) {
            throw EventOrderException("expected version $startedVersion, found $version")
        }
        this.version = version
        if (isStarted && lastEventId == null) {
            throw EventOrderException("expected a stream with event ids, found one without")
        }
        if (head == null || !isStarted) head = next
        isResuming = isStarted
        splitter = EventSplitter()
        received = emptyList()
    }

    /** Takes bytes of the stream; returns whether they complete an event. */
    fun add(bytes: ByteArray): Boolean {
        received = received + splitter.add(bytes)
        return received.isNotEmpty()
    }

    /**
     * Forwards the complete events that were not forwarded before. Throws [EventOrderException] if
     * one is missing where another endpoint goes on with the stream.
     */
    suspend fun forward() {
        val events = received.filter { isNext(it) }
        received = emptyList()
        if (events.isEmpty()) return
        val nowMs = clock.nowMs()
        if (eventCount == 0) {
            firstEventAtMs = nowMs
            startedVersion = version
        }
        eventCount += events.size
        repeat(events.size) { shortestGaps.onEvent(nowMs) }
        events.last().id?.let { lastEventId = it }
        val joined = events.map { it.bytes }.reduce { all, next -> all + next }
        response.writeStreamed(checkNotNull(head), joined)
    }

    /**
     * Ends the response after the endpoint has completed its stream. With a length or chunks
     * ([isFramed]) bytes after the last event belong to the stream. Otherwise they show that the
     * stream was broken off, as does a stream without events; throws [IncompleteStreamException].
     */
    suspend fun finish(isFramed: Boolean) {
        val remainder = splitter.takeRemainder()
        if (!isFramed && (remainder.isNotEmpty() || !isStarted)) throw IncompleteStreamException()
        response.writeStreamed(checkNotNull(head), remainder)
        response.finish()
    }

    /**
     * Returns false for an event that was already forwarded. Ids of one endpoint only have to
     * increase. Where another endpoint goes on, a step larger than those before throws, since an
     * event is missing then.
     */
    private fun isNext(event: StreamEvent): Boolean {
        val id = event.id ?: return true
        val last = lastEventId ?: return true.also { lastEventId = id }
        if (id <= last) return false
        val step = id - last
        if (isResuming && step > largestStep) {
            throw EventOrderException("expected event ${last + largestStep} at most, found $id")
        }
        isResuming = false
        largestStep = maxOf(largestStep, step)
        lastEventId = id
        return true
    }
}

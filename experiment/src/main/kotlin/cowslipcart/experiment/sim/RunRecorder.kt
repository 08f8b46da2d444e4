package cowslipcart.experiment.sim

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.model.RequestId
import cowslipcart.experiment.workload.Arrival
import org.HdrHistogram.Histogram

/** How a request ended. */
internal sealed interface Outcome {
    /** The whole answer arrived before the deadline. */
    data object Answered : Outcome

    /** The deadline passed while the request ran. */
    data object MissedDeadline : Outcome

    /** The deadline passed while the request waited for a grant. */
    data object ExpiredWaiting : Outcome

    /** The scheduler refused the request. */
    data class Refused(val reason: RefusalReason) : Outcome

    /** The stream ended early and could not continue. */
    data object Unknown : Outcome

    /** The origin host died. */
    data object Lost : Outcome
}

/** Measurements of one request. */
internal class RequestRecord(val arrival: Arrival) {
    var outcome: Outcome? = null
    var firstTokenAtMs: Long? = null
    var lastTokenAtMs: Long = 0
    var receivedTokens = 0
    var gaveWayCount = 0

    /** Prompt tokens that engines read for this request, repeated reads included. */
    var readTokens = 0L

    /** Context tokens that were read again after a cancel. */
    var rereadTokens = 0L

    /** Prompt tokens that engines took from their caches. */
    var reusedTokens = 0L

    /** Length in tokens of the longest prefix in the cache of any engine at the dispatch. */
    var cachedAnywhereTokens = 0

    /** Prompt tokens that were read although another engine had them cached. */
    var missedCacheTokens = 0L

    val deadlineAtMs: Long get() = arrival.atMs + arrival.tier.deadlineMs
    val ttftMs: Long? get() = firstTokenAtMs?.let { it - arrival.atMs }

    /** Mean time between tokens, pauses included. */
    val meanGapMs: Double
        get() = firstTokenAtMs?.takeIf { receivedTokens > 1 }
            ?.let { (lastTokenAtMs - it).toDouble() / (receivedTokens - 1) } ?: 0.0

    /** Tokens read without use: all of a request that was not answered, else avoidable reads. */
    val wastedTokens: Long
        get() = if (outcome == Outcome.Answered) {
            minOf(readTokens, missedCacheTokens + rereadTokens)
        } else {
            readTokens
        }

    /** Whether the answer met the targets of its tier for the first token and the mean gap. */
    val isInTime: Boolean
        get() = outcome == Outcome.Answered &&
            (ttftMs ?: Long.MAX_VALUE) <= arrival.tier.firstTokenTargetMs &&
            meanGapMs <= arrival.tier.tokenGapTargetMs
}

/** Collects the trace and the measurements of a run. */
internal class RunRecorder(arrivals: List<Arrival>) {
    private val mutableTrace = mutableListOf<TraceEvent>()
    private val asked = mutableSetOf<RequestId>()
    private val gapsByTier = arrivals.map { it.tier.tier }.distinct()
        .associateWith { Histogram(HISTOGRAM_DIGITS) }

    val trace: List<TraceEvent> get() = mutableTrace
    val records: Map<RequestId, RequestRecord> =
        arrivals.associate { it.requestId to RequestRecord(it) }

    /** Requests that have not ended, those that have not arrived yet included. */
    var openCount = arrivals.size
        private set
    var decisionCount = 0L
    var controlBytes = 0L

    /** Appends [event] to the trace; repeated asks of a request are left out. */
    fun add(event: TraceEvent) {
        if (event is TraceEvent.Asked && !asked.add(event.requestId)) return
        mutableTrace += event
    }

    fun recordToken(record: RequestRecord, atMs: Long) {
        if (record.firstTokenAtMs == null) {
            record.firstTokenAtMs = atMs
        } else {
            gapsByTier.getValue(record.arrival.tier.tier).recordValue(atMs - record.lastTokenAtMs)
        }
        record.lastTokenAtMs = atMs
        record.receivedTokens++
    }

    fun recordEnd(record: RequestRecord, outcome: Outcome) {
        check(record.outcome == null) {
            "expected ${record.arrival.requestId} to end once, got ${record.outcome} and $outcome"
        }
        record.outcome = outcome
        openCount--
    }

    fun tokenGaps(arrival: Arrival): Histogram = gapsByTier.getValue(arrival.tier.tier)

    companion object {
        const val HISTOGRAM_DIGITS = 3
    }
}

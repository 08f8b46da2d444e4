package cowslipcart.standins.engine

import cowslipcart.core.model.RequestId

/** How a request that an engine received ended. */
public enum class JournalOutcome { RUNNING, FINISHED, CANCELLED, REFUSED, CRASHED }

/**
 * A request that an engine received.
 *
 * @property startedAtMs milliseconds since 1970
 * @property endedAtMs time of the last change of [outcome]; null while it runs
 * @property cancelCount how often its stream was cancelled; a resumed stream keeps the count
 */
public data class EngineJournalEntry(
    public val id: RequestId,
    public val startedAtMs: Long,
    public val endedAtMs: Long?,
    public val outcome: JournalOutcome,
    public val cancelCount: Int = 0
)

/**
 * Record of every request that an engine received. A request that was sent twice has two entries.
 * Not thread-safe.
 */
public class EngineJournal {
    private val journalEntries = ArrayList<EngineJournalEntry>()
    private val latestIndex = HashMap<RequestId, Int>()

    /** All entries in the order of their start. */
    public val entries: List<EngineJournalEntry> get() = journalEntries.toList()

    /** Adds a request that starts. */
    public fun recordStart(id: RequestId, nowMs: Long) {
        latestIndex[id] = journalEntries.size
        journalEntries += EngineJournalEntry(id, nowMs, null, JournalOutcome.RUNNING)
    }

    /** Adds a request that was refused. */
    public fun recordRefusal(id: RequestId, nowMs: Long) {
        journalEntries += EngineJournalEntry(id, nowMs, nowMs, JournalOutcome.REFUSED)
    }

    /** Sets the outcome of the latest start of [id]. An unknown id is ignored. */
    public fun recordOutcome(id: RequestId, outcome: JournalOutcome, nowMs: Long) {
        val index = latestIndex[id] ?: return
        val endedAtMs = if (outcome == JournalOutcome.RUNNING) null else nowMs
        val previous = journalEntries[index]
        val addedCount = if (outcome == JournalOutcome.CANCELLED) 1 else 0
        journalEntries[index] = previous.copy(
            outcome = outcome,
            endedAtMs = endedAtMs,
            cancelCount = previous.cancelCount + addedCount
        )
    }
}

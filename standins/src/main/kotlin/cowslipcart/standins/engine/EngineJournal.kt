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
 * Witness of every request that an engine received. A request that was sent twice has two entries.
 * Not thread-safe.
 */
public class EngineJournal {
    private val list = ArrayList<EngineJournalEntry>()
    private val lastIndex = HashMap<RequestId, Int>()

    /** All entries in the order of their start. */
    public val entries: List<EngineJournalEntry> get() = list.toList()

    /** Adds a request that starts. */
    public fun start(id: RequestId, nowMs: Long) {
        lastIndex[id] = list.size
        list += EngineJournalEntry(id, nowMs, null, JournalOutcome.RUNNING)
    }

    /** Adds a request that was refused. */
    public fun refuse(id: RequestId, nowMs: Long) {
        list += EngineJournalEntry(id, nowMs, nowMs, JournalOutcome.REFUSED)
    }

    /** Changes the outcome of the last start of [id]. An unknown id is ignored. */
    public fun change(id: RequestId, outcome: JournalOutcome, nowMs: Long) {
        val index = lastIndex[id] ?: return
        val endedAtMs = if (outcome == JournalOutcome.RUNNING) null else nowMs
        val before = list[index]
        val addedCount = if (outcome == JournalOutcome.CANCELLED) 1 else 0
        list[index] = before.copy(
            outcome = outcome,
            endedAtMs = endedAtMs,
            cancelCount = before.cancelCount + addedCount
        )
    }
}

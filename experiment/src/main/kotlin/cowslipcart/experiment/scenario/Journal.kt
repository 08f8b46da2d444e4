package cowslipcart.experiment.scenario

import cowslipcart.core.model.EndpointId

/**
 * A call that an endpoint started.
 *
 * @property decidedAtMs when the control state of the origin host decided to send it
 * @property isResume whether it continued a cancelled stream, which does not count as a run
 */
internal class JournalEntry(
    val atMs: Long,
    val decidedAtMs: Long,
    val endpoint: EndpointId,
    val call: EndpointCall,
    val isResume: Boolean
)

/** Calls that the endpoints started. The checks compare it with the replies to callers. */
internal class Journal {
    private val mutableEntries = ArrayList<JournalEntry>()

    val entries: List<JournalEntry> get() = mutableEntries

    /** Calls that started, without resumed streams. */
    val runs: List<JournalEntry> get() = mutableEntries.filter { !it.isResume }

    fun add(entry: JournalEntry) {
        mutableEntries += entry
    }
}

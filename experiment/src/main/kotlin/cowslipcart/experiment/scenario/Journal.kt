package cowslipcart.experiment.scenario

import cowslipcart.core.model.EndpointId

/**
 * A call that an endpoint started.
 *
 * @property decidedAtMs when control of the origin host decided to send it
 * @property isResume whether it continued a cancelled stream; that is no second run
 */
internal class JournalEntry(
    val atMs: Long,
    val decidedAtMs: Long,
    val endpoint: EndpointId,
    val call: EndpointCall,
    val isResume: Boolean
)

/** What all endpoints ran; the witness of the checks. */
internal class Journal {
    private val all = ArrayList<JournalEntry>()

    val entries: List<JournalEntry> get() = all

    /** Calls that started, without resumed streams. */
    val runs: List<JournalEntry> get() = all.filter { !it.isResume }

    fun add(entry: JournalEntry) {
        all += entry
    }
}

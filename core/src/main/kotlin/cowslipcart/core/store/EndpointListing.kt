package cowslipcart.core.store

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.LogOffset

/**
 * What an endpoint wrote about itself.
 *
 * @property startedAtMs wall-clock time of its start, which tells a restart under the same id
 * @property beatNumber counts its records since its start
 */
public data class EndpointRecord(
    public val entry: EndpointEntry,
    public val startedAtMs: Long,
    public val beatNumber: Long
)

/** One change of the table of endpoints; [record] is null if it was dropped or is unreadable. */
public data class EndpointChange(
    public val id: EndpointId,
    public val record: EndpointRecord?,
    public val offset: LogOffset
)

/**
 * The endpoints that may take work, from the records in the store. A record that an endpoint wrote
 * earlier than the known one changes nothing, whatever its place in the log. Entries that lapse
 * around an outage of the store stay for [LAPSE_GRACE_MS] after its end.
 */
public class EndpointListing {
    private class Listed(val record: EndpointRecord, val offset: LogOffset) {
        var droppedAt: LogOffset? = null
    }

    private val listed = mutableMapOf<EndpointId, Listed>()
    private var isStoreLost = false
    private var storeBackAtMs = Long.MIN_VALUE / 2

    /** A call to the store failed. */
    public fun onStoreLost() {
        isStoreLost = true
    }

    /** A call to the store succeeded at [nowMs]. */
    public fun onStoreAnswered(nowMs: Long) {
        if (isStoreLost) storeBackAtMs = nowMs
        isStoreLost = false
    }

    /**
     * Takes changes in the order of the log. Returns those that another listing needs to come to
     * the same result: a record that only confirms the known one is left out, and a dropped key
     * comes with the last record before it, so that an older one that arrives late is told.
     */
    public fun onChanges(changes: List<EndpointChange>): List<EndpointChange> =
        changes.flatMap { onChange(it) }

    private fun onChange(change: EndpointChange): List<EndpointChange> {
        val known = listed[change.id]
        if (known != null && change.offset <= known.offset) return emptyList()
        val record = change.record
        if (record == null) {
            if (known == null || known.droppedAt != null) return emptyList()
            known.droppedAt = change.offset
            return listOf(EndpointChange(change.id, known.record, known.offset), change)
        }
        if (known != null && !isNewer(record, known.record)) return emptyList()
        listed[change.id] = Listed(record, change.offset)
        val isConfirmed = known != null && known.droppedAt == null &&
            known.record.entry == record.entry && known.record.startedAtMs == record.startedAtMs
        return if (isConfirmed) emptyList() else listOf(change)
    }

    /** Takes the newest records of all endpoints; [end] is the end of the log at the read. */
    public fun onSnapshot(changes: List<EndpointChange>, end: LogOffset) {
        onChanges(changes.sortedBy { it.offset })
        val present = changes.filter { it.record != null }.map { it.id }.toSet()
        for ((id, known) in listed) {
            val isMissing = id !in present && known.offset < end
            if (isMissing && known.droppedAt == null) known.droppedAt = end
        }
    }

    /** Endpoints that may take work, or are draining, at [nowMs]. */
    public fun entries(nowMs: Long): List<EndpointEntry> {
        val mayHaveLapsed = isStoreLost || nowMs - storeBackAtMs < LAPSE_GRACE_MS
        return listed.values
            .filter { it.droppedAt == null || (mayHaveLapsed && !it.record.entry.isDraining) }
            .map { it.record.entry }
    }

    /** When the store could be read again after its last failure; null if that is long ago. */
    public fun regainedAtMs(nowMs: Long): Long? =
        storeBackAtMs.takeIf { !isStoreLost && nowMs - it < LAPSE_GRACE_MS }

    /** Another host could read the store again at [atMs]. */
    public fun onRegainedElsewhere(atMs: Long) {
        storeBackAtMs = maxOf(storeBackAtMs, atMs)
    }

    /** Time until entries that lapsed in an outage no longer count, in ms; 0 if none can. */
    public fun graceLeftMs(nowMs: Long): Long =
        if (isStoreLost) 0 else maxOf(0, storeBackAtMs + LAPSE_GRACE_MS - nowMs)

    /** Forgets endpoints that were dropped; called when none can come back any more. */
    public fun compact(nowMs: Long) {
        if (isStoreLost || nowMs - storeBackAtMs < LAPSE_GRACE_MS) return
        if (listed.size > MAX_LISTED) listed.values.removeIf { it.droppedAt != null }
    }

    private fun isNewer(next: EndpointRecord, known: EndpointRecord): Boolean =
        if (next.startedAtMs == known.startedAtMs) {
            next.beatNumber >= known.beatNumber
        } else {
            next.startedAtMs > known.startedAtMs
        }

    public companion object {
        /** Endpoints that live write their entry again within about this time, in ms. */
        public const val LAPSE_GRACE_MS: Long = 2_000

        private const val MAX_LISTED = 4_096
    }
}

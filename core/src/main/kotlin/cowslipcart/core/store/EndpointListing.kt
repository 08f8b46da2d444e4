package cowslipcart.core.store

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.LogOffset

/**
 * Heartbeat record that an endpoint writes about itself.
 *
 * @property startedAtMs wall-clock time of its start, which reveals a restart under the same id
 * @property sequence number of the record since its start
 */
public data class EndpointRecord(
    public val entry: EndpointEntry,
    public val startedAtMs: Long,
    public val sequence: Long
)

/** One change of the endpoint table; [record] is null if it was deleted or is unreadable. */
public data class EndpointChange(
    public val id: EndpointId,
    public val record: EndpointRecord?,
    public val offset: LogOffset
)

/**
 * The endpoints that may take work, by their records in the store. A record that an endpoint wrote
 * before the known one is ignored, wherever it is in the log. Entries that expire around an outage
 * of the store are kept for [EXPIRY_GRACE_MS] after its end.
 */
public class EndpointListing {
    private class KnownEndpoint(val record: EndpointRecord, val offset: LogOffset) {
        /** Offset of the deletion of its key; null if the key exists. */
        var deletedAt: LogOffset? = null
    }

    private val listed = mutableMapOf<EndpointId, KnownEndpoint>()
    private var isStoreLost = false
    private var storeRecoveredAtMs = Long.MIN_VALUE / 2

    /** A call to the store failed. */
    public fun onStoreLost() {
        isStoreLost = true
    }

    /** A call to the store succeeded at [nowMs]. */
    public fun onStoreAnswered(nowMs: Long) {
        if (isStoreLost) storeRecoveredAtMs = nowMs
        isStoreLost = false
    }

    /**
     * Applies changes in log order. Returns those that another listing needs to reach the same
     * state: heartbeats that change nothing are left out, and a deletion comes with the last record
     * before it, so that an older record that arrives late is recognised.
     */
    public fun onChanges(changes: List<EndpointChange>): List<EndpointChange> =
        changes.flatMap { onChange(it) }

    private fun onChange(change: EndpointChange): List<EndpointChange> {
        val known = listed[change.id]
        if (known != null && change.offset <= known.offset) return emptyList()
        val record = change.record
        if (record == null) {
            if (known == null || known.deletedAt != null) return emptyList()
            known.deletedAt = change.offset
            return listOf(EndpointChange(change.id, known.record, known.offset), change)
        }
        if (known != null && !isNewer(record, known.record)) return emptyList()
        listed[change.id] = KnownEndpoint(record, change.offset)
        val isHeartbeat = known != null && known.deletedAt == null &&
            known.record.entry == record.entry && known.record.startedAtMs == record.startedAtMs
        return if (isHeartbeat) emptyList() else listOf(change)
    }

    /** Applies the newest records of all endpoints; [end] was the end of the log at the read. */
    public fun onSnapshot(changes: List<EndpointChange>, end: LogOffset) {
        onChanges(changes.sortedBy { it.offset })
        val present = changes.filter { it.record != null }.map { it.id }.toSet()
        for ((id, known) in listed) {
            val isMissing = id !in present && known.offset < end
            if (isMissing && known.deletedAt == null) known.deletedAt = end
        }
    }

    /** Endpoints that may take work, or are draining, at [nowMs]. */
    public fun entries(nowMs: Long): List<EndpointEntry> {
        val mayHaveExpired = isStoreLost || nowMs - storeRecoveredAtMs < EXPIRY_GRACE_MS
        return listed.values
            .filter { it.deletedAt == null || (mayHaveExpired && !it.record.entry.isDraining) }
            .map { it.record.entry }
    }

    /** When the store recovered from its last outage; null if the grace period is over. */
    public fun recoveredAtMs(nowMs: Long): Long? =
        storeRecoveredAtMs.takeIf { !isStoreLost && nowMs - it < EXPIRY_GRACE_MS }

    /** For another host the store recovered at [atMs]. */
    public fun onRecoveredElsewhere(atMs: Long) {
        storeRecoveredAtMs = maxOf(storeRecoveredAtMs, atMs)
    }

    /** Time until entries that expired in an outage no longer count, in ms; 0 if there is none. */
    public fun graceRemainingMs(nowMs: Long): Long =
        if (isStoreLost) 0 else maxOf(0, storeRecoveredAtMs + EXPIRY_GRACE_MS - nowMs)

    /** Removes deleted endpoints if there are many, unless the grace period still needs them. */
    public fun compact(nowMs: Long) {
        if (isStoreLost || nowMs - storeRecoveredAtMs < EXPIRY_GRACE_MS) return
        if (listed.size > MAX_ENDPOINTS) listed.values.removeIf { it.deletedAt != null }
    }

    private fun isNewer(next: EndpointRecord, known: EndpointRecord): Boolean =
        if (next.startedAtMs == known.startedAtMs) {
            next.sequence >= known.sequence
        } else {
            next.startedAtMs > known.startedAtMs
        }

    public companion object {
        /** Live endpoints rewrite their entry within about this time, in ms. */
        public const val EXPIRY_GRACE_MS: Long = 2_000

        private const val MAX_ENDPOINTS = 4_096
    }
}

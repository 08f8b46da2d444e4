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
 * before the known one is ignored, wherever it is in the log, unless [CONFIRMING_RECORDS] of them
 * follow each other: then the known one, with numbers too large, is not by the endpoint. Entries
 * that may have expired in an outage of the store are kept for [EXPIRY_GRACE_MS] after its end;
 * those that were deleted before stay deleted.
 */
public class EndpointListing {
    /** [overruled] is a record with larger numbers that is not by the endpoint; null if none. */
    private class KnownEndpoint(
        val record: EndpointRecord,
        val offset: LogOffset,
        val overruled: EndpointRecord? = null
    ) {
        /** Offset of the deletion of its key; null if the key exists. */
        var deletedAt: LogOffset? = null
            private set

        /** When this host learned of the deletion. */
        var deletionKnownAtMs = 0L
            private set

        fun onDeleted(offset: LogOffset, nowMs: Long) {
            deletedAt = offset
            deletionKnownAtMs = nowMs
        }

        /** Copy of an endpoint whose record may have any offset in the next era of the store. */
        fun beforeNextEra(): KnownEndpoint = KnownEndpoint(record, BEFORE_ERA, overruled).also {
            it.deletedAt = deletedAt?.let { BEFORE_ERA }
            it.deletionKnownAtMs = deletionKnownAtMs
        }

        /** The last of the records that followed in the log although they seem older. */
        var lastOlder: EndpointChange? = null
        var olderCount = 0
    }

    private val listed = mutableMapOf<EndpointId, KnownEndpoint>()
    private val outage = StoreOutage()

    /** A call to the store failed. */
    public fun onStoreLost(): Unit = outage.onFailed()

    /**
     * A call to the store succeeded at [nowMs]; before, the table was known as of [knownAsOfMs]. To
     * be called before its result is applied.
     */
    public fun onStoreAnswered(knownAsOfMs: Long, nowMs: Long): Unit =
        outage.onAnswered(knownAsOfMs, nowMs)

    /**
     * The store came back from an older copy at [nowMs]. Offsets start anew. An endpoint that it
     * has forgotten writes its entry again; one that had left stays away until it does.
     */
    public fun onStoreReplaced(nowMs: Long) {
        listed.replaceAll { _, known -> known.beforeNextEra() }
        outage.onReplaced(nowMs)
    }

    /**
     * Applies changes in log order at [nowMs]. Returns those that another listing needs to reach
     * the same state: heartbeats that change nothing are left out, and a deletion comes with the
     * last record before it, so that an older record that arrives late is recognised.
     */
    public fun onChanges(changes: List<EndpointChange>, nowMs: Long): List<EndpointChange> =
        changes.flatMap { onChange(it, nowMs) }

    private fun onChange(change: EndpointChange, nowMs: Long): List<EndpointChange> {
        val known = listed[change.id]
        if (known != null && change.offset <= known.offset) return emptyList()
        val record = change.record
        if (record == null) {
            if (known == null || known.deletedAt != null) return emptyList()
            known.onDeleted(change.offset, nowMs)
            return listOf(changeTo(change.id, known), change)
        }
        // The older copy still holds entries that were removed since.
        if (known?.deletedAt == BEFORE_ERA && isNewer(known.record, record)) return emptyList()
        var overruled = known?.overruled
        if (known != null && !isNewer(record, known.record)) {
            if (!isConfirmed(known, change, record)) return emptyList()
            overruled = overruled ?: known.record
        }
        val next = KnownEndpoint(record, change.offset, overruled?.takeIf { !isNewer(record, it) })
        listed[change.id] = next
        val isHeartbeat = known != null && known.deletedAt == null &&
            known.record.entry == record.entry && known.record.startedAtMs == record.startedAtMs
        return if (isHeartbeat) emptyList() else listOf(changeTo(change.id, next))
    }

    /**
     * The change by which another listing comes to [known]. It has the numbers of an overruled
     * record, as the other listing may have that one.
     */
    private fun changeTo(id: EndpointId, known: KnownEndpoint): EndpointChange {
        val numbers = known.overruled ?: known.record
        val record = EndpointRecord(known.record.entry, numbers.startedAtMs, numbers.sequence)
        return EndpointChange(id, record, known.offset)
    }

    /**
     * Whether [change], with a [record] that seems older than the known one, is the last of several
     * in ascending order. A single one may have been delayed on its way to the store. An endpoint
     * that is draining or deleted stays so, since it may not get work again.
     */
    private fun isConfirmed(
        known: KnownEndpoint,
        change: EndpointChange,
        record: EndpointRecord
    ): Boolean {
        val last = known.lastOlder
        if (last != null && change.offset <= last.offset) return false
        val isAscending = last?.record?.let { isNewer(record, it) && !isNewer(it, record) } == true
        known.olderCount = if (isAscending) known.olderCount + 1 else 1
        known.lastOlder = change
        return known.olderCount >= CONFIRMING_RECORDS && known.deletedAt == null &&
            !known.record.entry.isDraining
    }

    /** Applies the newest records of all endpoints; [end] was the end of the log at the read. */
    public fun onSnapshot(changes: List<EndpointChange>, end: LogOffset, nowMs: Long) {
        onChanges(changes.sortedBy { it.offset }, nowMs)
        val present = changes.filter { it.record != null }.map { it.id }.toSet()
        for ((id, known) in listed) {
            val isMissing = id !in present && known.offset < end
            if (isMissing && known.deletedAt == null) known.onDeleted(end, nowMs)
        }
    }

    /** Endpoints that may take work, or are draining, at [nowMs]. */
    public fun entries(nowMs: Long): List<EndpointEntry> = listed.values
        .filter { it.deletedAt == null || mayHaveExpired(it, nowMs) }
        .map { it.record.entry.copy(startedAtMs = it.record.startedAtMs) }

    private fun mayHaveExpired(known: KnownEndpoint, nowMs: Long): Boolean =
        !known.record.entry.isDraining && outage.mayHaveExpired(known.deletionKnownAtMs, nowMs)

    /** When the store recovered from its last outage; null if the grace period is over. */
    public fun recoveredAtMs(nowMs: Long): Long? = outage.recoveredAtMs(nowMs)

    /**
     * For another host the store recovered at [atMs]; this one knew the table as of [knownAsOfMs].
     */
    public fun onRecoveredElsewhere(atMs: Long, knownAsOfMs: Long): Unit =
        outage.onRecoveredElsewhere(atMs, knownAsOfMs)

    /** Time until entries that expired in an outage no longer count, in ms; 0 if there is none. */
    public fun graceRemainingMs(nowMs: Long): Long = outage.graceRemainingMs(nowMs)

    /** Removes deleted endpoints if there are many, unless the grace period still needs them. */
    public fun compact(nowMs: Long) {
        if (outage.graceRemainingMs(nowMs) > 0) return
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

        /**
         * Records by which an endpoint shows that a later one is not its own. Fewer are delayed on
         * their way to the store, as an endpoint writes one about every second.
         */
        public const val CONFIRMING_RECORDS: Int = 4

        private const val MAX_ENDPOINTS = 4_096

        /** Before all offsets of the era of the store that follows. */
        private val BEFORE_ERA = LogOffset(-1)
    }
}

package cowslipcart.core.claims

import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.LogOffset
import java.util.PriorityQueue

/**
 * Replica of the claims of one partition, built by replay of its stream `claims-P`. The verdict of
 * an attempt depends only on the log up to the first valid copy of its claim, so all replicas that
 * can decide it agree.
 */
public interface ClaimReplica {
    /** Offset of the first record that is not applied yet. */
    public val nextOffset: LogOffset

    /** Number of keys held. */
    public val size: Int

    /**
     * Applies a record and returns the verdicts of the claims in it. A record below [nextOffset]
     * changes nothing. A gap before the record discards all earlier ones, like [skipTo].
     */
    public fun apply(record: ClaimRecord): List<AttemptVerdict>

    /** Discards all claims and continues at [firstKeptOffset]; earlier records were removed. */
    public fun skipTo(firstKeptOffset: LogOffset)

    /** Returns the verdict of [attempt], or null if no valid claim of it is held. */
    public fun verdictOf(key: RequestKey, attempt: AttemptId): ClaimVerdict?
}

/** Verdict of one attempt. */
public data class AttemptVerdict(public val attempt: AttemptId, public val verdict: ClaimVerdict)

/** Creates an empty replica that expects the record at offset 0 first. */
public fun createClaimReplica(): ClaimReplica = ReplayedClaimReplica()

/** How far the key time of a valid claim may lie before the time of its record. */
internal const val MAX_KEY_AGE_MS: Long = 60 * 60_000L

/** How far the key time of a valid claim may lie after the time of its record. */
internal const val MAX_KEY_AHEAD_MS: Long = 5 * 60_000L

private class ReplayedClaimReplica : ClaimReplica {
    private val claimsByKey = HashMap<RequestKey, KeyClaims>()
    private val keysByTime = PriorityQueue<RequestKey>(compareBy { it.keyTimeMs })
    private var start: ReplayStart = ReplayStart.FromBeginning

    override var nextOffset: LogOffset = LogOffset(0)
        private set

    override val size: Int get() = claimsByKey.size

    override fun apply(record: ClaimRecord): List<AttemptVerdict> {
        if (record.offset < nextOffset) return emptyList()
        if (record.offset > nextOffset) skipTo(record.offset)
        if (start == ReplayStart.AwaitingFirstRecord) {
            start = ReplayStart.AfterGap(record.appendedAtMs)
        }
        nextOffset = record.offset.next()
        dropOldKeys(record.appendedAtMs)
        return record.items.mapNotNull { applyItem(it, record.appendedAtMs) }
    }

    override fun skipTo(firstKeptOffset: LogOffset) {
        if (firstKeptOffset <= nextOffset) return
        claimsByKey.clear()
        keysByTime.clear()
        start = ReplayStart.AwaitingFirstRecord
        nextOffset = firstKeptOffset
    }

    override fun verdictOf(key: RequestKey, attempt: AttemptId): ClaimVerdict? =
        claimsByKey[key]?.verdictOf(attempt)

    private fun applyItem(item: ClaimItem, appendedAtMs: Long): AttemptVerdict? {
        val rejection = rejectionOf(item.key, appendedAtMs)
        return when (item) {
            is ClaimItem.Claim -> AttemptVerdict(
                item.attempt,
                rejection ?: entryOf(item.key).claim(item)
            )

            is ClaimItem.Release -> {
                if (rejection == null) entryOf(item.key).release(item.attempt)
                null
            }

            is ClaimItem.Outcome -> {
                claimsByKey[item.key]?.recordOutcome(item.attempt, item.answer)
                null
            }
        }
    }

    private fun rejectionOf(key: RequestKey, appendedAtMs: Long): ClaimVerdict? = when {
        key.keyTimeMs < appendedAtMs - MAX_KEY_AGE_MS -> ClaimVerdict.Expired
        key.keyTimeMs > appendedAtMs + MAX_KEY_AHEAD_MS -> ClaimVerdict.FromFuture
        !coversAllClaimsOf(key) -> ClaimVerdict.Expired
        else -> null
    }

    /**
     * Whether no valid claim of [key] can be in a missing record: a valid claim is recorded at
     * `keyTimeMs - 5 min` or later. A missing record can have the same time as the first kept one,
     * so the comparison is strict.
     */
    private fun coversAllClaimsOf(key: RequestKey): Boolean = when (val from = start) {
        ReplayStart.FromBeginning -> true
        ReplayStart.AwaitingFirstRecord -> false
        is ReplayStart.AfterGap -> key.keyTimeMs - MAX_KEY_AHEAD_MS > from.missingThroughMs
    }

    private fun entryOf(key: RequestKey): KeyClaims = claimsByKey.getOrPut(key) {
        keysByTime.add(key)
        KeyClaims()
    }

    /** No later record can hold a valid claim of a dropped key. */
    private fun dropOldKeys(logTimeMs: Long) {
        while (true) {
            val oldest = keysByTime.peek() ?: return
            if (oldest.keyTimeMs >= logTimeMs - MAX_KEY_AGE_MS) return
            claimsByKey.remove(keysByTime.remove())
        }
    }
}

/** Which records are missing before the first one applied. */
private sealed interface ReplayStart {
    /** None: the replay began at offset 0. */
    data object FromBeginning : ReplayStart

    /** Unknown until the first kept record is read, as its time bounds those of missing ones. */
    data object AwaitingFirstRecord : ReplayStart

    /** Records with times up to and including [missingThroughMs] may be missing. */
    data class AfterGap(val missingThroughMs: Long) : ReplayStart
}
